//! One version of the operator's configuration.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{AccountId, Route, Service};

/// One complete version of the operator's configuration.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Policy {
    /// The version number, which only increases.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// The client accounts; `None` if requests need no key.
    #[serde(rename = "tenants")]
    pub accounts: Option<Vec<Account>>,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
}

/// A client account and its API keys.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Account {
    /// The name, which is also sent to backend servers.
    pub name: AccountId,
    /// The valid keys.
    pub keys: Vec<String>,
    /// The priority of its requests, 0 being the highest; overrides the route's priority.
    pub priority: Option<u8>,
}

/// Limits on the size of callers' requests and on the time of their connections.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// The largest request head, in bytes.
    pub header_bytes: usize,
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// The longest time for a request head to arrive.
    pub header_time: Duration,
    /// How long a connection may stay idle.
    pub idle_time: Duration,
}

impl Limits {
    /// Returns these limits with the longer one of each time.
    pub fn longest(self, other: &Limits) -> Limits {
        Limits {
            header_time: self.header_time.max(other.header_time),
            idle_time: self.idle_time.max(other.idle_time),
            ..self
        }
    }
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}
