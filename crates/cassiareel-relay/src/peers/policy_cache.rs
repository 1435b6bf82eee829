//! The newest known configuration, and what the reads of it prove.

use std::{
    cmp::Ordering,
    sync::{Arc, Mutex},
    time::Duration,
};

use cassiareel::runtime::lock;

use crate::{
    clock::{self, Moment},
    kernel::{ConfigEras, ConfigRead},
    model::{Policy, StoreEra},
    source::PolicyRead,
};

/// The cache of the configuration. Its version only rises.
#[derive(Debug, Default)]
pub(crate) struct PolicyCache {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    eras: ConfigEras,
    known: Option<KnownPolicy>,
}

/// A configuration and what is known of it.
#[derive(Clone, Debug)]
pub(crate) struct KnownPolicy {
    /// The configuration.
    pub policy: Arc<Policy>,
    /// When the last read of the store in its latest era began.
    pub read: Moment,
    /// When the last read began that proves that no later version was acknowledged.
    pub trusted: Moment,
}

/// What a peer knows of the configuration.
#[derive(Clone, Debug)]
pub(super) struct PeerPolicy {
    /// The latest era in which it was read.
    pub era: StoreEra,
    /// The configuration, its last read and the last one that proves that it is the newest.
    pub known: KnownPolicy,
}

impl PolicyCache {
    /// Returns what is known of the configuration.
    pub(crate) fn get(&self) -> Option<KnownPolicy> {
        lock(&self.inner).known.clone()
    }

    /// Returns the latest era in which the configuration was read.
    pub(crate) fn era(&self) -> Option<StoreEra> {
        lock(&self.inner).eras.era()
    }

    /// Returns the time since the last read began.
    pub(crate) fn age(&self) -> Option<Duration> {
        Some(clock::now().saturating_sub(self.get()?.read))
    }

    /// Records this node's own read of the store, and returns what it proves.
    pub(super) fn record_read(&self, read: PolicyRead, began: Moment) -> ConfigRead {
        let mut inner = lock(&self.inner);
        let order = inner.known.as_ref().map_or(Ordering::Greater, |known| {
            read.policy.version.cmp(&known.policy.version)
        });
        let proof = inner.eras.record_read(read.era, order, began, clock::now());
        let new = KnownPolicy {
            policy: Arc::new(read.policy),
            read: began,
            trusted: began,
        };
        let known = inner.known.get_or_insert_with(|| new.clone());
        if order == Ordering::Greater {
            known.policy = new.policy;
        }
        if proof != ConfigRead::Late {
            known.read = known.read.max(began);
        }
        if proof == ConfigRead::Complete {
            known.trusted = known.trusted.max(began);
        }
        proof
    }

    /// Records what a peer knows. A higher version is taken from any era; what a peer with a lower
    /// one knows proves nothing about later versions.
    pub(super) fn record_peer(&self, peer: PeerPolicy) {
        let mut inner = lock(&self.inner);
        let is_current = inner.eras.era().is_none_or(|known| known <= peer.era);
        inner.eras.record_era(peer.era, clock::now());
        let Some(known) = inner.known.as_mut() else {
            inner.known = Some(peer.known);
            return;
        };
        if is_current {
            known.read = known.read.max(peer.known.read);
        }
        if peer.known.policy.version >= known.policy.version {
            known.trusted = known.trusted.max(peer.known.trusted);
        }
        if peer.known.policy.version > known.policy.version {
            known.policy = peer.known.policy;
        }
    }
}
