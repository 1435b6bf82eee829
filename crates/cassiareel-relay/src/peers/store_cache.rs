//! What a node holds of the store's contents, its own reads and its peers' words.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use cassiareel::runtime;
use event_listener::Event;

use super::{cached::Cached, change::Change, members::Members, roster::Roster};
use crate::{
    clock::{self, Moment},
    model::{DataCentre, Policy, Revision},
    source::{Listing, Orders},
};

/// Lists of backend servers that are kept to tell changes from.
const MAX_RECENT_LISTINGS: usize = 8;

/// The newest contents of the store, as far as they are known.
#[derive(Debug)]
pub(crate) struct StoreCache {
    /// The operator's configuration.
    pub policy: Cached<Policy>,
    /// The registry.
    pub listing: Cached<Listing>,
    /// The operator's orders to move services between versions.
    pub orders: Cached<Orders>,
    /// The nodes of the fleet.
    pub members: Cached<Members>,
    /// Told when any word is new or was confirmed.
    pub updated: Event,
    /// Told when any word was renewed by a peer.
    pub peer_updated: Event,
    /// Told when a request is suspected that was not before.
    pub loss_noted: Event,
    /// Tells this run of the process from any other.
    pub incarnation: u64,
    roster: Mutex<Roster>,
    /// The last lists of backend servers, the newest last.
    recent_listings: Mutex<VecDeque<Arc<Listing>>>,
}

impl StoreCache {
    /// Nothing is known.
    pub(crate) fn new(own: &str, data_centre: &DataCentre) -> StoreCache {
        StoreCache {
            policy: Cached::default(),
            listing: Cached::default(),
            orders: Cached::default(),
            members: Cached::default(),
            updated: Event::new(),
            peer_updated: Event::new(),
            loss_noted: Event::new(),
            incarnation: fastrand::u64(1..),
            roster: Mutex::new(Roster::new(own, data_centre)),
            recent_listings: Mutex::default(),
        }
    }

    /// The nodes of the fleet.
    pub(crate) fn roster(&self) -> MutexGuard<'_, Roster> {
        runtime::lock(&self.roster)
    }

    /// Takes in a configuration, unless it is older than the one that is held.
    pub(crate) fn update_policy(&self, policy: Arc<Policy>, began: Moment) {
        self.policy
            .replace_if_newer(policy, began, |policy| policy.version);
        self.updated.notify(usize::MAX);
    }

    /// Takes in a registry, unless it is older than the one that is held.
    pub(crate) fn update_listing(&self, listing: Arc<Listing>, began: Moment) {
        let key = |listing: &Listing| listing.revision;
        if self.listing.replace_if_newer(listing.clone(), began, key) {
            let mut recent_listings = runtime::lock(&self.recent_listings);
            recent_listings.push_back(listing);
            if recent_listings.len() > MAX_RECENT_LISTINGS {
                recent_listings.pop_front();
            }
        }
        self.updated.notify(usize::MAX);
    }

    /// What makes `new` of the list of an earlier revision; `None` where that is not known any more.
    pub(crate) fn change_to(&self, new: &Listing, from: Option<Revision>) -> Option<Change> {
        let from = from.filter(|from| *from < new.revision)?;
        let recent_listings = runtime::lock(&self.recent_listings);
        let old = recent_listings.iter().find(|old| old.revision == from)?;
        Some(Change::between(old, new))
    }

    /// Takes in what changed in the registry. A change of another list than the one that is held is
    /// ignored: the next question asks for one that fits.
    pub(crate) fn apply_change(&self, change: Change, began: Moment) {
        let changed = self.listing.get().and_then(|(held, _)| change.apply(&held));
        if let Some(listing) = changed {
            self.update_listing(Arc::new(listing), began);
        }
    }

    /// Takes in the operator's orders, unless they are older than those that are held.
    pub(crate) fn update_orders(&self, orders: Arc<Orders>, began: Moment) {
        self.orders
            .replace_if_newer(orders, began, |orders| orders.revision);
        self.updated.notify(usize::MAX);
    }

    /// Takes in the nodes of the fleet; reports whether it did. Those of an earlier read are ignored.
    pub(crate) fn update_members(&self, members: Arc<Members>, began: Moment) -> bool {
        if self.members.get().is_some_and(|(_, known)| known > began) {
            return false;
        }
        self.roster().replace(members.clone());
        self.members.replace(members, began);
        self.updated.notify(usize::MAX);
        true
    }

    /// Has peers told of a loss that is new: the one above this node, and those that ask it.
    pub(crate) fn notify_loss(&self) {
        self.loss_noted.notify(usize::MAX);
        self.updated.notify(usize::MAX);
    }

    /// The time since the older of the reads of configuration and registry began.
    pub(crate) fn age(&self) -> Option<Duration> {
        Some(self.policy.age()?.max(self.listing.age()?))
    }

    /// Reports whether configuration and registry are at most `age` old.
    pub(crate) fn is_fresh(&self, age: Duration) -> bool {
        self.age().is_some_and(|held| held <= age)
    }

    /// The node's place among those that read the store, 0 for the first reader.
    pub(crate) fn reader_rank(&self) -> usize {
        self.roster().reader_rank(clock::now())
    }

    /// Reports whether this node passes words on to others.
    pub(crate) fn is_forwarder(&self) -> bool {
        self.roster().is_forwarder(clock::now())
    }
}
