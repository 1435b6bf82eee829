/*!
The moves between versions that a node takes part in: what they count, and which versions may be
used.

A backend server of a version that has just appeared may belong to a move that this node has not
read yet. It gets no request until the operator's orders were read at the store's revision at which the
registry named it, or a later one. Revisions hold on all nodes, also where a peer passed the word on.
*/

mod counted;
#[cfg(test)]
mod moves_tests;
mod trial;

use std::{
    collections::{HashMap, HashSet},
    sync::{
        atomic::{AtomicU32, Ordering},
        Arc, Mutex, MutexGuard, Weak,
    },
};

use arc_swap::ArcSwap;
use cassiareel::runtime;

pub(crate) use counted::Counted;
pub(crate) use trial::{Size, Trial};

use crate::{
    clock::Moment,
    kernel::{Baselines, RolloutDecision, MIN_SHARE},
    model::{Revision, ServiceId, Version},
};

/// A move as far as requests go by it.
#[derive(Debug)]
pub(crate) struct Move {
    /// The revision at which the order was created.
    pub order: Revision,
    /// The new version.
    pub target: Version,
    /// What it gets.
    pub split: RolloutDecision,
    /// Requests that this node may send to it beyond its least share, until counts are pooled again.
    pub trial: AtomicU32,
}

/// The versions of services, and the moves between them.
#[derive(Debug, Default)]
pub(crate) struct Moves {
    under_way: ArcSwap<HashMap<ServiceId, Move>>,
    checked: ArcSwap<HashSet<(ServiceId, Version)>>,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// The revision of the registry at which each version was first seen.
    seen: HashMap<(ServiceId, Version), Revision>,
    counted: HashMap<(ServiceId, Revision), Arc<Mutex<Counted>>>,
    /// Runs of services that move, which may be open.
    trials: Vec<Weak<Trial>>,
}

/// Which version one request may go to.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Rule {
    /// Any.
    Any,
    /// This one, or another where there is none of it.
    Prefer(Version),
    /// Any but this one, or this one where there is no other.
    Avoid(Version),
    /// Any but this one.
    Never(Version),
}

impl Move {
    /// Draws whether a request goes to the new version.
    fn draws(&self, share: f64) -> bool {
        let drawn = fastrand::f64();
        if drawn < share.min(MIN_SHARE) {
            return true;
        }
        // Counts are pooled only now and then, and a burst may come between.
        let take = |left: u32| left.checked_sub(1);
        drawn < share
            && self
                .trial
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
                .is_ok()
    }
}

impl Moves {
    /// Notes the versions in the registry at a revision; reports whether one is new.
    pub(crate) fn see<I>(&self, versions: I, revision: Revision) -> bool
    where
        I: Iterator<Item = (ServiceId, Version)>,
    {
        let mut inner = self.lock();
        let before = inner.seen.len();
        for version in versions {
            inner.seen.entry(version).or_insert(revision);
        }
        inner.seen.len() > before
    }

    /// Takes in the moves by the operator's orders at a revision.
    pub(crate) fn replace(&self, moves: HashMap<ServiceId, Move>, revision: Revision) {
        self.under_way.store(moves.into());
        let inner = self.lock();
        let checked: HashSet<_> = inner
            .seen
            .iter()
            .filter(|(_, seen)| **seen <= revision)
            .map(|(version, _)| version.clone())
            .collect();
        if checked.len() != self.checked.load().len() {
            self.checked.store(checked.into());
        }
    }

    /// Reports whether a version appeared after a revision of the orders.
    pub(crate) fn is_behind(&self, revision: Revision) -> bool {
        self.lock().seen.values().any(|seen| *seen > revision)
    }

    /// Reports whether the operator's orders were read since this version appeared.
    pub(crate) fn is_checked(&self, service: &ServiceId, version: &Version) -> bool {
        let version = (service.clone(), version.clone());
        self.checked.load().contains(&version)
    }

    /// Draws the version for one request.
    pub(crate) fn rule(&self, service: &ServiceId) -> Rule {
        let moves = self.under_way.load();
        let Some(one) = moves.get(service) else {
            return Rule::Any;
        };
        let target = one.target.clone();
        match one.split {
            RolloutDecision::Complete => Rule::Prefer(target),
            RolloutDecision::RollBack => Rule::Never(target),
            RolloutDecision::Share(share) if one.draws(share) => Rule::Prefer(target),
            RolloutDecision::Share(_) => Rule::Avoid(target),
        }
    }

    /// Notes a run that begins; `None` where its service does not move.
    pub(crate) fn begin(
        &self,
        service: &ServiceId,
        version: &Version,
        size: Size,
        now: Moment,
    ) -> Option<Arc<Trial>> {
        let moves = self.under_way.load();
        let one = moves.get(service)?;
        if !matches!(one.split, RolloutDecision::Share(_)) {
            return None;
        }
        let is_new = *version == one.target;
        let mut inner = self.lock();
        let counted = inner.counts(service, one.order);
        let trial = Arc::new(Trial::begin(counted, is_new, size, now));
        inner.trials.push(Arc::downgrade(&trial));
        Some(trial)
    }

    /// Judges the runs that are open by their age.
    pub(crate) fn look(&self, now: Moment) {
        let open: Vec<Arc<Trial>> = {
            let mut inner = self.lock();
            inner.trials.retain(|trial| trial.strong_count() > 0);
            inner.trials.iter().filter_map(Weak::upgrade).collect()
        };
        // A run that ends meanwhile is dropped here, and takes locks of its own.
        open.iter().for_each(|trial| trial.look(now));
    }

    /// What was counted of a move.
    pub(crate) fn counted(&self, service: &ServiceId, order: Revision) -> Counted {
        let counts = self.lock().counts(service, order);
        let counted = *runtime::lock(&counts);
        counted
    }

    /// Takes in what is usual for the old version of a move, on all nodes.
    pub(crate) fn set_typical(&self, service: &ServiceId, order: Revision, typical: Baselines) {
        let counts = self.lock().counts(service, order);
        runtime::lock(&counts).typical = typical;
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        runtime::lock(&self.inner)
    }
}

impl Inner {
    fn counts(&mut self, service: &ServiceId, order: Revision) -> Arc<Mutex<Counted>> {
        let key = (service.clone(), order);
        self.counted.entry(key).or_default().clone()
    }
}
