//! The update of the configuration that a node sends to its peers.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use super::policy_cache::{KnownPolicy, PeerPolicy, PolicyCache};
use crate::{
    clock::Moment,
    model::{Policy, StoreEra},
};

/// What a node knows of the configuration.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct PolicyUpdate {
    /// The latest era in which it was read.
    era: StoreEra,
    /// Its version.
    version: u64,
    /// The time since its last read began.
    age: Duration,
    /// The time since the last read began that proves that it is the newest.
    #[serde(rename = "proved")]
    trusted_age: Duration,
    /// The configuration, where the querying node has an older one.
    value: Option<Arc<Policy>>,
}

impl PolicyUpdate {
    /// Returns the update for a node that has the version `known`; `None` where there is no
    /// configuration.
    pub(super) fn new(
        cache: &PolicyCache,
        known: Option<u64>,
        now: Moment,
    ) -> Option<PolicyUpdate> {
        let KnownPolicy {
            policy,
            read,
            trusted,
        } = cache.get()?;
        Some(PolicyUpdate {
            era: cache.era()?,
            version: policy.version,
            age: now.saturating_sub(read),
            trusted_age: now.saturating_sub(trusted),
            value: (Some(policy.version) > known).then_some(policy),
        })
    }

    /// Applies the update, whose ages are those at `answered_at`. One without the configuration is
    /// ignored where this node has learnt of another version meanwhile.
    pub(super) fn apply(&self, cache: &PolicyCache, answered_at: Moment) {
        let held = cache.get().map(|known| known.policy);
        let held = held.filter(|held| held.version == self.version);
        let Some(policy) = self.value.clone().or(held) else {
            return;
        };
        cache.record_peer(PeerPolicy {
            era: self.era,
            known: KnownPolicy {
                policy,
                read: answered_at.saturating_sub(self.age),
                trusted: answered_at.saturating_sub(self.trusted_age),
            },
        });
    }
}
