//! What an operator asks for, and whether it can be done in time.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::Cell;
use crate::kernel::{AccountId, CallerId, DataCentreId, ServiceId, VersionId};

/// The part of a service's traffic that a move is about; what is not named is included whole.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Scope {
    /// One client account.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<AccountId>,
    /// One caller beneath it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub caller: Option<CallerId>,
    /// One route, as its path.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub route: Option<String>,
    /// One data centre, of the node that takes the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data_centre: Option<DataCentreId>,
}

impl Scope {
    /// Reports whether traffic belongs to the scope.
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

/// A move as asked for.
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
    /// The time from the start by which it is to be done, in seconds.
    pub within_secs: u64,
}

/// What a move has to work with.
#[derive(Clone, Copy, Debug, Default)]
pub struct Resources {
    /// Backend servers placed for the new version.
    pub servers: usize,
    /// Those of them that have it loaded.
    pub loaded: usize,
    /// Loads that the weight store allows at one time.
    pub parallel_loads: usize,
    /// Time that one load takes.
    pub load_time: Duration,
}

/// Why a move can't be done.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum PlanError {
    /// Both versions are the same.
    #[snafu(display("{version} is the version already in use; name another with --to"))]
    SameVersion {
        /// The version.
        version: VersionId,
    },
    /// The version has no place.
    #[snafu(display("{version} has no placement; add one to the settings first"))]
    Unplaced {
        /// The version.
        version: VersionId,
    },
    /// The weight store is too slow.
    #[snafu(display(
        "{loads} loads of {version} take {need:?} at the weight store's rate, and the move needs \
         {left:?} after them; ask for a later time than {within:?}"
    ))]
    TooSlow {
        /// The version.
        version: VersionId,
        /// Loads still to be made.
        loads: usize,
        /// Time for the loads.
        need: Duration,
        /// Time for the steps.
        left: Duration,
        /// Time asked for.
        within: Duration,
    },
    /// The time asked for is too short to judge the version in.
    #[snafu(display("{within:?} is too short to judge a version in; ask for {least:?} at least"))]
    TooShort {
        /// Time asked for.
        within: Duration,
        /// The shortest time.
        least: Duration,
    },
}

/// The shortest time that a move's steps take.
pub const LEAST: Duration = Duration::from_secs(60);

impl Plan {
    /// The time asked for.
    pub fn within(&self) -> Duration {
        Duration::from_secs(self.within_secs)
    }

    /// Tells at the start whether the move can be done in time.
    ///
    /// # Errors
    ///
    /// Says what stands in the way and what would help.
    pub fn check(&self, resources: Resources) -> Result<(), PlanError> {
        let version = self.to.clone();
        if self.from == self.to {
            return Err(PlanError::SameVersion { version });
        }
        if resources.servers == 0 {
            return Err(PlanError::Unplaced { version });
        }
        let within = self.within();
        if within < LEAST {
            return Err(PlanError::TooShort {
                within,
                least: LEAST,
            });
        }
        let loads = resources.servers.saturating_sub(resources.loaded);
        let rounds = loads.div_ceil(resources.parallel_loads.max(1));
        let need = resources.load_time * u32::try_from(rounds).unwrap_or(u32::MAX);
        if need + LEAST > within {
            return Err(PlanError::TooSlow {
                version,
                loads,
                need,
                left: LEAST,
                within,
            });
        }
        Ok(())
    }
}
