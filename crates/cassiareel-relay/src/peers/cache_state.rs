//! The state of a node's cache, and whether it is newer than another node's.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::losses::LossPosition;
use crate::{
    kernel::ReadSchedule,
    model::{StoreEra, StoreRevision},
};

/// How much younger a cached value has to be to be sent for its age alone.
const MIN_AGE_GAIN: Duration = Duration::from_millis(100);

/// The state of a node's cache: versions, revisions and ages.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub(super) struct CacheState {
    /// The version of the configuration.
    pub version: Option<u64>,
    /// The latest era in which the configuration was read.
    #[serde(rename = "era")]
    pub config_era: Option<StoreEra>,
    /// The revision of the registry.
    pub revision: Option<StoreRevision>,
    /// The digest of the list of the fleet's nodes.
    pub digest: Option<u64>,
    /// The age of the list of nodes.
    #[serde(rename = "members")]
    pub members_age: Option<Duration>,
    /// The age of the configuration or of the registry, whichever is older.
    pub age: Option<Duration>,
    /// Whether neither the store nor other peers answer the node, so that it can only wait.
    #[serde(rename = "patient")]
    pub is_isolated: bool,
    /// The revision of the orders.
    #[serde(rename = "orders")]
    pub orders_revision: Option<StoreRevision>,
    /// The age of the orders.
    #[serde(rename = "ordered")]
    pub orders_age: Option<Duration>,
    /// In the state of the node itself, the losses that it knows of. In a request, how far the
    /// sender has received the losses of the receiver.
    pub losses: LossPosition,
}

impl CacheState {
    /// Returns how long a request waits for an update. A node that could read the store queries
    /// another peer, or reads, the sooner the older its cached values are.
    pub(super) fn wait(&self, reading: ReadSchedule) -> Duration {
        reading.query_wait(self.age.filter(|_| !self.is_isolated))
    }

    /// Reports whether this state has an update for a node that had the state `other` at the time
    /// `elapsed` ago. A value that is older than the other node's or the same is no update: it
    /// would be sent again and again.
    pub(super) fn is_newer_than(&self, other: &CacheState, elapsed: Duration) -> bool {
        let is_fresher = |own: Option<Duration>, other: Option<Duration>| match (own, other) {
            (Some(own), Some(other)) => {
                own.saturating_add(MIN_AGE_GAIN) < other.saturating_add(elapsed)
            }
            (own, None) => own.is_some(),
            (None, Some(_)) => false,
        };
        // What was read in an earlier era is no younger, whatever its age.
        let era = |revision: Option<StoreRevision>| revision.map(StoreRevision::era);
        let is_current =
            self.config_era >= other.config_era && era(self.revision) >= era(other.revision);
        // A read that found an earlier version does not make the other node's one younger.
        let has_version = self.version >= other.version;
        let has_current_orders = era(self.orders_revision) >= era(other.orders_revision);
        self.losses.is_ahead_of(other.losses)
            || self.version > other.version
            || self.revision > other.revision
            || (self.digest != other.digest && is_fresher(self.members_age, other.members_age))
            || self.orders_revision > other.orders_revision
            || (is_current && has_version && is_fresher(self.age, other.age))
            || (has_current_orders && is_fresher(self.orders_age, other.orders_age))
    }
}
