//! One version of the operator's configuration.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{AccountId, Route, Service};

/// One version of the operator's configuration, whole.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Policy {
    /// The version, which only rises.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// The client accounts; `None` where requests carry no keys.
    #[serde(rename = "tenants")]
    pub accounts: Option<Vec<Account>>,
    /// What a caller may send.
    pub limits: Limits,
}

/// A client account and its keys.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Account {
    /// The name, which backend servers see.
    pub name: AccountId,
    /// The keys in force.
    pub keys: Vec<String>,
    /// The rank of its requests, 0 first, before that of the route.
    pub priority: Option<u8>,
}

/// Bounds on what a caller sends and how long it may take.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// The largest head, in bytes.
    pub header_bytes: usize,
    /// The largest body, in bytes.
    pub body_bytes: usize,
    /// The longest time for a head to arrive.
    pub header_time: Duration,
    /// How long a connection may stay idle.
    pub idle_time: Duration,
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
