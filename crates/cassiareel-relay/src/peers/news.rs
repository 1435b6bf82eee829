//! What a node holds of the store's contents, its own reads and its peers' words.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use cassiareel::runtime;
use event_listener::Event;

use super::{held::Held, roster::Roster};
use crate::{
    clock::{self, Moment},
    model::{Policy, Rollout},
    source::Listing,
};

/// The newest contents of the store, as far as they are known.
#[derive(Debug)]
pub(crate) struct News {
    /// The operator's configuration.
    pub policy: Held<Policy>,
    /// The registry.
    pub listing: Held<Listing>,
    /// The operator's moves between versions.
    pub rollouts: Held<Vec<Rollout>>,
    /// Told when a policy or a registry is new.
    pub changed: Event,
    /// Told when any word was renewed by a peer.
    pub heard: Event,
    roster: Mutex<Roster>,
}

impl News {
    /// Nothing is known.
    pub(crate) fn new(own: &str) -> News {
        News {
            policy: Held::default(),
            listing: Held::default(),
            rollouts: Held::default(),
            changed: Event::new(),
            heard: Event::new(),
            roster: Mutex::new(Roster::new(own)),
        }
    }

    /// The nodes of the fleet.
    pub(crate) fn roster(&self) -> MutexGuard<'_, Roster> {
        runtime::lock(&self.roster)
    }

    /// Takes in a configuration. An older one, as an answer that was held up may bring, is ignored.
    pub(crate) fn put_policy(&self, policy: Arc<Policy>, began: Moment) {
        let known = self.policy.get().map(|(known, _)| known.version);
        if known.is_none_or(|known| policy.version > known) {
            self.policy.replace(policy, began);
            self.changed.notify(usize::MAX);
        } else if known == Some(policy.version) {
            self.policy.confirm(began);
        }
    }

    /// Takes in a registry. An older one is ignored.
    pub(crate) fn put_listing(&self, listing: Arc<Listing>, began: Moment) {
        let known = self.listing.get().map(|(known, _)| known.revision);
        if known.is_none_or(|known| listing.revision > known) {
            self.listing.replace(listing, began);
            self.changed.notify(usize::MAX);
        } else if known == Some(listing.revision) {
            self.listing.confirm(began);
        }
    }

    /// Takes in the operator's moves. Those of an earlier read are ignored.
    pub(crate) fn put_rollouts(&self, rollouts: Arc<Vec<Rollout>>, began: Moment) {
        let known = self.rollouts.get();
        if known.is_none_or(|(_, known)| known <= began) {
            self.rollouts.replace(rollouts, began);
        }
    }

    /// Reports whether all that is held is at most `age` old.
    pub(crate) fn is_fresh(&self, age: Duration) -> bool {
        self.policy.fresh(age).is_some() && self.listing.fresh(age).is_some()
    }

    /// Reports whether some nodes hear the store through others.
    pub(crate) fn is_large(&self) -> bool {
        self.roster().is_large()
    }

    /// Reports whether this node reads the store.
    pub(crate) fn reads_store(&self) -> bool {
        self.roster().reads(clock::now())
    }
}
