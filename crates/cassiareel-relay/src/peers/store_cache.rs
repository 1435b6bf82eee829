//! The cache of the store's contents, filled by the node's own reads and by its peers.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use cassiareel::runtime;
use event_listener::Event;

use super::{
    cached::Cached,
    change::{Change, PackedChange},
    change_chain::ChangeChain,
    list_digest::list_digest,
    list_error::ListError,
    list_server::ListServer,
    members::Members,
    policy_cache::PolicyCache,
    roster::Roster,
};
use crate::{
    clock::{self, Moment},
    kernel::ConfigRead,
    model::{DataCentre, StoreEra, StoreRevision},
    source::{Listing, Orders, PolicyRead},
};

/// The time after a restore of the store within which each running node has written its record
/// again.
const REJOIN_LIMIT: Duration = Duration::from_secs(60);

/// A listing of the registry and its encoding, where one was encoded.
type EncodedListing = Option<(Arc<Listing>, Arc<[u8]>)>;

/// The newest known contents of the store.
#[derive(Debug)]
pub(crate) struct StoreCache {
    /// The operator's configuration.
    pub policy: PolicyCache,
    /// The registry.
    pub listing: Cached<Listing>,
    /// The operator's orders to roll services out to other versions.
    pub orders: Cached<Orders>,
    /// The nodes of the fleet.
    pub members: Cached<Members>,
    /// Notified when any cached value is new or was confirmed.
    pub updated: Event,
    /// Notified when a peer updated or confirmed any cached value.
    pub peer_updated: Event,
    /// Notified when this node learns of a new loss.
    pub loss_noted: Event,
    /// Distinguishes this run of the process from any other.
    pub incarnation: u64,
    roster: Mutex<Roster>,
    /// When the first list of nodes of the store's present era was read.
    members_era_at: Mutex<Moment>,
    /// The recent changes of the registry.
    changes: Mutex<ChangeChain>,
    /// The newest listing of the registry of which the digest was computed, and this digest.
    digest: Mutex<Option<(Arc<Listing>, u64)>>,
    /// The newest listing of the registry that was encoded whole, and its encoding.
    pub packed_listing: Mutex<EncodedListing>,
    /// The whole lists that are sent to other nodes.
    list_server: Mutex<ListServer>,
}

impl StoreCache {
    /// Creates an empty cache.
    pub(crate) fn new(own: &str, data_centre: &DataCentre) -> StoreCache {
        StoreCache {
            policy: PolicyCache::default(),
            listing: Cached::default(),
            orders: Cached::default(),
            members: Cached::default(),
            updated: Event::new(),
            peer_updated: Event::new(),
            loss_noted: Event::new(),
            incarnation: fastrand::u64(1..),
            roster: Mutex::new(Roster::new(own, data_centre)),
            members_era_at: Mutex::default(),
            changes: Mutex::default(),
            digest: Mutex::default(),
            packed_listing: Mutex::default(),
            list_server: Mutex::default(),
        }
    }

    /// Locks the roster of the fleet's nodes.
    pub(crate) fn roster(&self) -> MutexGuard<'_, Roster> {
        runtime::lock(&self.roster)
    }

    /// Caches the configuration of this node's own read, unless it is older than the cached one;
    /// returns what the read proves.
    pub(crate) fn update_policy(&self, read: PolicyRead, began: Moment) -> ConfigRead {
        let proof = self.policy.record_read(read, began);
        self.updated.notify(usize::MAX);
        proof
    }

    /// Locks the whole lists that are sent to other nodes.
    pub(super) fn list_server(&self) -> MutexGuard<'_, ListServer> {
        runtime::lock(&self.list_server)
    }

    /// Caches a registry listing, unless it is older than the cached one.
    pub(crate) fn update_listing(&self, listing: Arc<Listing>, began: Moment) {
        let known = self.listing.get();
        let older = known.filter(|(known, _)| known.revision < listing.revision);
        let change = older.map(|(older, _)| {
            let change = Arc::new(Change::between(&older, &listing));
            (change, self.listing_digest(&older))
        });
        if !self.replace_listing(listing, began) {
            return;
        }
        let mut changes = runtime::lock(&self.changes);
        match change {
            Some((change, digest)) => changes.push(change, digest),
            None => changes.clear(),
        }
    }

    /// Replaces the cached registry listing if the new one is newer; reports whether it was.
    fn replace_listing(&self, listing: Arc<Listing>, began: Moment) -> bool {
        let key = |listing: &Listing| listing.revision;
        let is_new = self.listing.replace_if_newer(listing, began, key);
        self.updated.notify(usize::MAX);
        is_new
    }

    /// Returns the change that turns an earlier listing, which has the revision `from` and, where it
    /// is known, the digest `digest`, into `new`; `None` where that listing is not known.
    pub(super) fn change_to(
        &self,
        new: &Arc<Listing>,
        from: Option<StoreRevision>,
        digest: Option<u64>,
    ) -> Option<Arc<Change>> {
        let from = from.filter(|from| *from < new.revision)?;
        if digest == Some(self.listing_digest(new)) {
            return Some(Arc::new(Change::of_revision(from, new)));
        }
        runtime::lock(&self.changes).change(from, digest, new.revision)
    }

    /// Returns the digest of a listing, which is kept for the next call.
    pub(super) fn listing_digest(&self, listing: &Arc<Listing>) -> u64 {
        let mut kept = runtime::lock(&self.digest);
        match kept.as_ref() {
            Some((known, digest)) if Arc::ptr_eq(known, listing) => *digest,
            _ => {
                let digest = list_digest(&listing.entries);
                *kept = Some((listing.clone(), digest));
                digest
            }
        }
    }

    /// Applies a change of an earlier build to the cached listing. A change of another listing is
    /// ignored: the next request asks for one that applies.
    pub(super) fn apply_change(&self, change: &Change, began: Moment) {
        let changed = self.listing.get().and_then(|(held, _)| change.apply(&held));
        if let Some(listing) = changed {
            self.update_listing(Arc::new(listing), began);
        }
    }

    /// Applies a change to the cached listing.
    ///
    /// # Errors
    ///
    /// Fails where the change does not lead from the cached listing to that of the sender.
    pub(super) fn apply_packed(
        &self,
        change: &PackedChange,
        began: Moment,
    ) -> Result<(), ListError> {
        let Some((held, _)) = self.listing.get() else {
            return Ok(());
        };
        let before = self.listing_digest(&held);
        let digest = change.digest();
        let (listing, change) = change.apply(&held)?;
        let listing = Arc::new(listing);
        if self.replace_listing(listing.clone(), began) {
            runtime::lock(&self.changes).push(Arc::new(change), before);
            *runtime::lock(&self.digest) = Some((listing, digest));
        }
        Ok(())
    }

    /// Caches the operator's orders, unless they are older than the cached ones.
    pub(crate) fn update_orders(&self, orders: Arc<Orders>, began: Moment) {
        self.orders
            .replace_if_newer(orders, began, |orders| orders.revision);
        self.updated.notify(usize::MAX);
    }

    /// Caches the nodes of the fleet, and those of the cached list whose records the store has lost;
    /// reports whether it did. Those of an earlier era or an earlier read are ignored.
    pub(crate) fn update_members(&self, members: Arc<Members>, began: Moment) -> bool {
        let members = match self.members.get() {
            Some((known, read)) if (members.era, began) < (known.era, read) => return false,
            Some((known, _)) if self.may_be_lost(&members, &known, began) => {
                members.keep_lost(&known)
            }
            _ => members,
        };
        self.roster().replace(members.clone());
        self.members.replace(members, began);
        self.updated.notify(usize::MAX);
        true
    }

    /// Reports whether nodes that a list lacks may have lost their records in a restore: each one
    /// that still runs writes its record again within a limit.
    fn may_be_lost(&self, members: &Members, known: &Members, began: Moment) -> bool {
        let mut entered = runtime::lock(&self.members_era_at);
        if known.era < members.era {
            *entered = began;
        }
        began.saturating_sub(*entered) < REJOIN_LIMIT
    }

    /// Returns the newest era of the store that a cached list is of.
    pub(crate) fn newest_era(&self) -> StoreEra {
        let listing = self
            .listing
            .get()
            .map(|(listing, _)| listing.revision.era());
        let orders = self.orders.get().map(|(orders, _)| orders.revision.era());
        let members = self.members.get().map(|(members, _)| members.era);
        let eras = [listing, orders, members].into_iter().flatten();
        eras.max().unwrap_or_default()
    }

    /// Causes a new loss to be sent to the peer that this node queries and to the peers that query
    /// this node.
    pub(crate) fn notify_loss(&self) {
        self.loss_noted.notify(usize::MAX);
        self.updated.notify(usize::MAX);
    }

    /// Returns the age of the configuration or of the registry, whichever is older.
    pub(crate) fn age(&self) -> Option<Duration> {
        Some(self.policy.age()?.max(self.listing.age()?))
    }

    /// Reports whether configuration and registry are at most `age` old.
    pub(crate) fn is_fresh(&self, age: Duration) -> bool {
        self.age().is_some_and(|held| held <= age)
    }

    /// Returns the node's rank among those that read the store, 0 for the first reader.
    pub(crate) fn reader_rank(&self) -> usize {
        self.roster().reader_rank(clock::now())
    }

    /// Reports whether this node passes updates on to others.
    pub(crate) fn is_forwarder(&self) -> bool {
        self.roster().is_forwarder(clock::now())
    }
}
