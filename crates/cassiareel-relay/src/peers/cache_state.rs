//! What a node holds, and what is new to another one.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::losses::LossPosition;
use crate::{kernel::ReadSchedule, model::Revision};

/// How much younger a word has to be to be told for its age alone.
const MIN_AGE_GAIN: Duration = Duration::from_millis(100);

/// What a node holds: versions, revisions and ages.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub(super) struct CacheState {
    /// The configuration's version.
    pub version: Option<u64>,
    /// The registry's revision.
    pub revision: Option<Revision>,
    /// The digest of the fleet's nodes.
    pub digest: Option<u64>,
    /// The age of the word on them.
    #[serde(rename = "members")]
    pub members_age: Option<Duration>,
    /// The age of the older word of configuration and registry.
    pub age: Option<Duration>,
    /// Whether neither the store nor other peers told it anything: it can only wait then.
    #[serde(rename = "patient")]
    pub is_isolated: bool,
    /// The revision of the orders.
    #[serde(rename = "orders")]
    pub orders_revision: Option<Revision>,
    /// The age of the word on them.
    #[serde(rename = "ordered")]
    pub orders_age: Option<Duration>,
    /// What this node knows of losses, or how far the one that asks has heard those of the one that is
    /// asked.
    pub losses: LossPosition,
}

impl CacheState {
    /// How long a question waits for something new. A node that could read the store asks another peer,
    /// or reads, the sooner the older its word is.
    pub(super) fn wait(&self, reading: ReadSchedule) -> Duration {
        reading.query_wait(self.age.filter(|_| !self.is_isolated))
    }

    /// Reports whether this holds something new to a node that had `other` some time ago. What is
    /// older there or the same is none: it would be told again and again.
    pub(super) fn is_newer_than(&self, other: &CacheState, elapsed: Duration) -> bool {
        let is_fresher = |own: Option<Duration>, other: Option<Duration>| match (own, other) {
            (Some(own), Some(other)) => own + MIN_AGE_GAIN < other + elapsed,
            (own, None) => own.is_some(),
            (None, Some(_)) => false,
        };
        self.losses.is_ahead_of(other.losses)
            || self.version > other.version
            || self.revision > other.revision
            || (self.digest != other.digest && is_fresher(self.members_age, other.members_age))
            || is_fresher(self.age, other.age)
            || is_fresher(self.orders_age, other.orders_age)
    }
}
