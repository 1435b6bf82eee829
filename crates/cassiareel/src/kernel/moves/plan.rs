//! The plan of a move, and the check whether it can be completed in time.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::Cell;
use crate::kernel::{AccountId, CallerId, DataCentreId, ServiceId, VersionId};

/// The part of a service's traffic that a move affects; a field without a value does not restrict
/// it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Scope {
    /// One client account.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<AccountId>,
    /// One caller within the account.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub caller: Option<CallerId>,
    /// One route, given as its path.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub route: Option<String>,
    /// One data centre: that of the node that receives the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data_centre: Option<DataCentreId>,
}

impl Scope {
    /// Reports whether the traffic of a cell, caller and data centre belongs to the scope.
    pub fn contains(&self, cell: &Cell, caller: &str, data_centre: &str) -> bool {
        self.account.as_ref().is_none_or(|a| *a == cell.account)
            && self.caller.as_ref().is_none_or(|c| &**c == caller)
            && self.route.as_ref().is_none_or(|r| **r == *cell.route)
            && self
                .data_centre
                .as_ref()
                .is_none_or(|d| &**d == data_centre)
    }
}

/// A move as requested by an operator.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Plan {
    /// The service.
    pub service: ServiceId,
    /// The proven version.
    pub from: VersionId,
    /// The new version.
    pub to: VersionId,
    /// The traffic.
    #[serde(default)]
    pub scope: Scope,
    /// The time limit of the move, from its start, in seconds.
    pub within_secs: u64,
}

/// The resources available to a move.
#[derive(Clone, Copy, Debug, Default)]
pub struct Resources {
    /// Backend servers placed for the new version.
    pub servers: usize,
    /// The number of these servers that have it loaded.
    pub loaded: usize,
    /// The number of loads that may run at the same time.
    pub parallel_loads: usize,
    /// The time that one load takes.
    pub load_time: Duration,
}

/// The reason why a move is rejected.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum PlanError {
    /// Both versions are the same.
    #[snafu(display("{version} is the version already in use; name another with --to"))]
    SameVersion {
        /// The version.
        version: VersionId,
    },
    /// The new version has no placement.
    #[snafu(display("{version} has no placement; add one to the settings first"))]
    Unplaced {
        /// The version.
        version: VersionId,
    },
    /// The weight store is too slow for the time limit.
    #[snafu(display(
        "{loads} loads of {version} take {load_time:?} at the weight store's rate, and the move needs \
         {ramp_time:?} after them; allow more time than {within:?}"
    ))]
    TooSlow {
        /// The version.
        version: VersionId,
        /// The number of loads still to be made.
        loads: usize,
        /// The time needed for the loads.
        load_time: Duration,
        /// The time needed for the steps after the loads.
        ramp_time: Duration,
        /// The requested time limit.
        within: Duration,
    },
    /// The time limit is too short to judge the version.
    #[snafu(display("{within:?} is too short to judge a version; allow at least {min:?}"))]
    TooShort {
        /// The requested time limit.
        within: Duration,
        /// The shortest time limit.
        min: Duration,
    },
}

/// The shortest duration of a move's steps.
pub const MIN_DURATION: Duration = Duration::from_secs(60);

impl Plan {
    /// Returns the time limit of the move.
    pub fn within(&self) -> Duration {
        Duration::from_secs(self.within_secs)
    }

    /// Checks before the start whether the move can be completed in time.
    ///
    /// # Errors
    ///
    /// Returns the first obstacle found; its message suggests a remedy.
    pub fn check(&self, resources: Resources) -> Result<(), PlanError> {
        let version = self.to.clone();
        if self.from == self.to {
            return Err(PlanError::SameVersion { version });
        }
        if resources.servers == 0 {
            return Err(PlanError::Unplaced { version });
        }
        let within = self.within();
        if within < MIN_DURATION {
            return Err(PlanError::TooShort {
                within,
                min: MIN_DURATION,
            });
        }
        let loads = resources.servers.saturating_sub(resources.loaded);
        let rounds = loads.div_ceil(resources.parallel_loads.max(1));
        let load_time = resources.load_time * u32::try_from(rounds).unwrap_or(u32::MAX);
        if load_time + MIN_DURATION > within {
            return Err(PlanError::TooSlow {
                version,
                loads,
                load_time,
                ramp_time: MIN_DURATION,
                within,
            });
        }
        Ok(())
    }
}
