//! The calls to the platform that one node at a time makes.

use std::collections::BTreeMap;

use async_trait::async_trait;
use snafu::Snafu;

use crate::model::{AccountId, DataCentre, ServiceId};

/// The platform, as far as the holder of a duty calls it.
///
/// Nothing can be read back. A call without an answer may still take effect seconds later, after newer
/// calls.
#[async_trait]
pub trait DutyTarget: Send + Sync {
    /// Reports the usage of one window. An exact repeat has no further effect.
    ///
    /// # Errors
    ///
    /// Any [`DutyError`].
    async fn report_usage(&self, by: &DutyHolder, report: &UsageReport) -> Result<(), DutyError>;

    /// Orders the number of a service's backend servers in a data centre.
    ///
    /// # Errors
    ///
    /// Any [`DutyError`].
    async fn order_servers(&self, by: &DutyHolder, order: &ServerOrder) -> Result<(), DutyError>;
}

/// The node that makes a call, and its fencing token.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DutyHolder {
    /// The node's name.
    pub name: String,
    /// The fencing token, which increases whenever the holder changes.
    pub fence: u64,
}

/// The requests of each client account that began to run in one window.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UsageReport {
    /// The number of the window.
    pub window: u64,
    /// The number of requests by client account.
    pub counts: BTreeMap<AccountId, u64>,
}

/// The number of backend servers that a service is to have in a data centre.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerOrder {
    /// The service.
    pub service: ServiceId,
    /// The data centre.
    pub data_centre: DataCentre,
    /// The number of backend servers.
    pub count: u32,
}

/// A call that was not answered with success.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum DutyError {
    /// A higher fencing token was seen: another node holds the duty.
    #[snafu(display("another node has used a higher fencing token"))]
    Fenced,
    /// The platform takes no more calls at the moment.
    #[snafu(display("the platform's rate limit is reached"))]
    RateLimited,
    /// The platform refused the call.
    #[snafu(display("the platform refused the call with status {status}"))]
    Refused {
        /// The status of the answer.
        status: u16,
    },
    /// No answer came; the call may still take effect.
    #[snafu(display("the platform did not answer: {cause}"))]
    Unanswered {
        /// What failed.
        cause: String,
    },
}
