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

    /// Takes in a configuration, unless it is older than the one that is held.
    pub(crate) fn put_policy(&self, policy: Arc<Policy>, began: Moment) {
        if self.policy.advance(policy, began, |policy| policy.version) {
            self.changed.notify(usize::MAX);
        }
    }

    /// Takes in a registry, unless it is older than the one that is held.
    pub(crate) fn put_listing(&self, listing: Arc<Listing>, began: Moment) {
        if self
            .listing
            .advance(listing, began, |listing| listing.revision)
        {
            self.changed.notify(usize::MAX);
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
