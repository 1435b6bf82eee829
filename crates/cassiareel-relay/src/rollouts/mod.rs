/*!
The rollouts that a node takes part in: their counts, and the versions that may be used.

A backend server of a version that has just appeared may belong to a rollout that this node has not
read yet. It gets no request until the operator's orders were read at the revision of the store at
which the registry named it, or a later one; this also applies to a version that left and returns.
Revisions are the same on all nodes, also where a peer passed the value on. Right after a restore of
the store, an order may be missing until the operator has written it again.
*/

#[cfg(test)]
mod fleet_tests;
mod measured_run;
mod rollout_counts;
#[cfg(test)]
mod rollouts_tests;
mod version_rule;

use std::{
    collections::{HashMap, HashSet},
    sync::{
        atomic::{AtomicU32, Ordering},
        Arc, Mutex, MutexGuard, Weak,
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use cassiareel::runtime;

use measured_run::RunPlace;
pub(crate) use measured_run::{MeasuredRun, RunSize};
pub(crate) use rollout_counts::RolloutCounts;
pub(crate) use version_rule::{VersionRank, VersionRule};

use crate::{
    clock::Moment,
    kernel::{Baselines, RolloutDecision, ShareDraw, MIN_SHARE},
    model::{ServiceId, StoreRevision, UnprovenVersion, Version},
};

/// The parts of a rollout that requests need.
#[derive(Debug)]
pub(crate) struct ActiveRollout {
    /// The revision by which this node knows the order.
    pub order: StoreRevision,
    /// The new version.
    pub target: Version,
    /// The part of the requests that the new version gets.
    pub split: RolloutDecision,
    /// Requests that this node may send to the new version beyond its least share, until counts are
    /// pooled again.
    pub trial_budget: AtomicU32,
    /// Requests that this node may send to the new version until counts are pooled again before it sends
    /// it no more of those that other versions have no room for.
    pub exposure_budget: AtomicU32,
    /// When the time of the order began.
    pub began: Moment,
    /// The time within which the rollout has to end.
    pub duration: Duration,
    /// Versions that earlier orders of the service named and that were not completed.
    pub unproven: Arc<[UnprovenVersion]>,
}

/// The versions of services, and the rollouts between them.
#[derive(Debug, Default)]
pub(crate) struct Rollouts {
    active: ArcSwap<HashMap<ServiceId, ActiveRollout>>,
    covered: ArcSwap<HashSet<(ServiceId, Version)>>,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// The revision of the registry at which each version was first seen.
    first_seen: HashMap<(ServiceId, Version), StoreRevision>,
    counts: HashMap<(ServiceId, StoreRevision), Arc<Mutex<RolloutCounts>>>,
    /// The draws of the requests that each new version gets in any case.
    draws: HashMap<(ServiceId, StoreRevision), ShareDraw>,
    /// Runs of services that are being rolled out, which may be open.
    open_runs: Vec<Weak<MeasuredRun>>,
}

impl ActiveRollout {
    /// Counts a request to the new version.
    fn spend_exposure(&self) {
        let decrement = |left: u32| left.checked_sub(1);
        // A request that was admitted before the budget was used up is sent all the same.
        let _ = self
            .exposure_budget
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement);
    }

    /// Draws whether a request is sent to the new version beyond its least share, so that it gets
    /// `share` of all requests.
    fn draw_trial(&self, share: f64) -> bool {
        let chance = (share - MIN_SHARE) / (1.0 - MIN_SHARE);
        // The budget limits a burst between two poolings of the counts, which are infrequent.
        let decrement = |left: u32| left.checked_sub(1);
        fastrand::f64() < chance
            && self
                .trial_budget
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement)
                .is_ok()
    }
}

impl Rollouts {
    /// Records the versions in the registry at a revision; reports whether one is new.
    ///
    /// A version that has left while others of its service stay is forgotten. Where it returns, it
    /// may belong to an order that was not read yet.
    pub(crate) fn note_versions<I>(&self, versions: I, revision: StoreRevision) -> bool
    where
        I: Iterator<Item = (ServiceId, Version)>,
    {
        let versions: HashSet<(ServiceId, Version)> = versions.collect();
        let services: HashSet<&ServiceId> = versions.iter().map(|(service, _)| service).collect();
        let mut inner = self.lock();
        let has_left =
            |seen: &(ServiceId, Version)| services.contains(&seen.0) && !versions.contains(seen);
        inner.first_seen.retain(|seen, _| !has_left(seen));
        let known = self.covered.load();
        if known.iter().any(has_left) {
            let covered = known.iter().filter(|seen| !has_left(seen)).cloned();
            self.covered.store(Arc::new(covered.collect()));
        }
        let before = inner.first_seen.len();
        for version in versions {
            inner.first_seen.entry(version).or_insert(revision);
        }
        inner.first_seen.len() > before
    }

    /// Returns the versions in the registry with the revisions at which they were first seen, none of
    /// them later than `newest`, that of the newest list.
    pub(crate) fn seen_versions(
        &self,
        newest: StoreRevision,
    ) -> Vec<(ServiceId, Version, StoreRevision)> {
        let inner = self.lock();
        let seen = inner.first_seen.iter();
        let seen = seen.filter(|(_, seen)| **seen <= newest);
        seen.map(|((service, version), seen)| (service.clone(), version.clone(), *seen))
            .collect()
    }

    /// Records versions that a peer has seen in the registry, before this node knows any: an order
    /// that was written before a version appeared is in each list of orders from the revision on at
    /// which any node saw that version.
    pub(crate) fn note_seen(&self, versions: Vec<(ServiceId, Version, StoreRevision)>) {
        let mut inner = self.lock();
        for (service, version, seen) in versions {
            inner.first_seen.entry((service, version)).or_insert(seen);
        }
    }

    /// Replaces the rollouts by those of the operator's orders at a revision. `is_complete` is
    /// whether that list has all orders: a restored store may lack some for a while, and a version
    /// that appears meanwhile may belong to one of them, unless its service has no other.
    pub(crate) fn replace(
        &self,
        active: HashMap<ServiceId, ActiveRollout>,
        revision: StoreRevision,
        is_complete: bool,
    ) {
        let mut inner = self.lock();
        inner.forget_orders(&active);
        self.active.store(active.into());
        let known = self.covered.load();
        let covered: HashSet<_> = inner
            .first_seen
            .iter()
            .filter(|(version, seen)| {
                let is_covered = is_complete || inner.is_only_version(version);
                known.contains(*version) || (**seen <= revision && is_covered)
            })
            .map(|(version, _)| version.clone())
            .collect();
        if covered.len() != known.len() {
            self.covered.store(covered.into());
        }
    }

    /// Reports whether a version appeared after a revision of the orders.
    pub(crate) fn has_later_version(&self, revision: StoreRevision) -> bool {
        self.lock().first_seen.values().any(|seen| *seen > revision)
    }

    /// Reports whether the operator's orders were read since this version appeared.
    pub(crate) fn is_covered(&self, service: &ServiceId, version: &Version) -> bool {
        let version = (service.clone(), version.clone());
        self.covered.load().contains(&version)
    }

    /// Reports whether a rollout of a service has no verdict yet.
    pub(crate) fn is_open(&self, service: &ServiceId) -> bool {
        let active_rollouts = self.active.load();
        let active = active_rollouts.get(service);
        active.is_some_and(|active| matches!(active.split, RolloutDecision::Share(_)))
    }

    /// Draws the rule for the version of one request.
    pub(crate) fn version_rule(&self, service: &ServiceId) -> VersionRule {
        let active_rollouts = self.active.load();
        let Some(active) = active_rollouts.get(service) else {
            return VersionRule::Any;
        };
        let target = active.target.clone();
        match active.split {
            RolloutDecision::Complete => VersionRule::Prefer(target),
            RolloutDecision::RollBack => VersionRule::Never(target),
            RolloutDecision::Share(share)
                if self.draw_least_share(service, active, share) || active.draw_trial(share) =>
            {
                VersionRule::Prefer(target)
            }
            // Where the other versions lose their backend servers, a bad version would get all requests.
            RolloutDecision::Share(_) if active.exposure_budget.load(Ordering::Relaxed) == 0 => {
                VersionRule::Never(target)
            }
            RolloutDecision::Share(_) => VersionRule::Avoid(target),
        }
    }

    /// Returns what is left of the requests that this node may send to the new version of an order.
    pub(crate) fn exposure_left(&self, service: &ServiceId, order: StoreRevision) -> u32 {
        let active_rollouts = self.active.load();
        let active = active_rollouts
            .get(service)
            .filter(|active| active.order == order);
        active.map_or(0, |active| active.exposure_budget.load(Ordering::Relaxed))
    }

    /// Returns the versions of a service that earlier orders named and that were not completed.
    pub(crate) fn unproven_versions(&self, service: &ServiceId) -> Arc<[UnprovenVersion]> {
        let active_rollouts = self.active.load();
        let active = active_rollouts.get(service);
        active.map_or_else(Arc::default, |active| active.unproven.clone())
    }

    /// Draws whether a request is one of those that the new version gets in any case.
    fn draw_least_share(&self, service: &ServiceId, active: &ActiveRollout, share: f64) -> bool {
        let key = (service.clone(), active.order);
        let mut inner = self.lock();
        let draw = inner.draws.entry(key);
        let draw = draw.or_insert_with(|| ShareDraw::new(fastrand::f64()));
        draw.draw(share.min(MIN_SHARE), fastrand::f64())
    }

    /// Begins to measure a run at the backend server with the number `backend`; returns `None` where its service has no undecided
    /// rollout.
    pub(crate) fn begin_run(
        &self,
        service: &ServiceId,
        version: &Version,
        backend: u64,
        size: RunSize,
        now: Moment,
    ) -> Option<Arc<MeasuredRun>> {
        let active_rollouts = self.active.load();
        let active = active_rollouts.get(service)?;
        if !matches!(active.split, RolloutDecision::Share(_)) {
            return None;
        }
        let is_new = *version == active.target;
        if is_new {
            active.spend_exposure();
        }
        let place = RunPlace {
            order_began: active.began,
            order_duration: active.duration,
            backend,
        };
        let mut inner = self.lock();
        let counted = inner.counts_of(service, active.order);
        let run = Arc::new(MeasuredRun::begin(counted, is_new, place, size, now));
        inner.open_runs.push(Arc::downgrade(&run));
        Some(run)
    }

    /// Judges the open runs by their age.
    pub(crate) fn check_open_runs(&self, now: Moment) {
        let open: Vec<Arc<MeasuredRun>> = {
            let mut inner = self.lock();
            inner.open_runs.retain(|run| run.strong_count() > 0);
            inner.open_runs.iter().filter_map(Weak::upgrade).collect()
        };
        // A run that ends meanwhile is dropped here, and takes locks of its own.
        open.iter().for_each(|run| run.check(now));
    }

    /// Returns the counts of a rollout.
    pub(crate) fn counts_of(&self, service: &ServiceId, order: StoreRevision) -> RolloutCounts {
        let counts = self.lock().counts_of(service, order);
        let counted = runtime::lock(&counts).clone();
        counted
    }

    /// Sets the typical times of the old version of a rollout, over all nodes.
    pub(crate) fn set_typical(
        &self,
        service: &ServiceId,
        order: StoreRevision,
        typical: Baselines,
    ) {
        let counts = self.lock().counts_of(service, order);
        runtime::lock(&counts).typical = typical;
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        runtime::lock(&self.inner)
    }
}

impl Inner {
    /// Reports whether a service has had no version but this one.
    fn is_only_version(&self, version: &(ServiceId, Version)) -> bool {
        let mut versions = self.first_seen.keys();
        !versions.any(|other| other.0 == version.0 && other.1 != version.1)
    }

    /// Forgets the counts and draws of orders that are no longer in force. A run that began under
    /// such an order ends with counts that nobody reads.
    fn forget_orders(&mut self, active: &HashMap<ServiceId, ActiveRollout>) {
        let is_active = |(service, order): &(ServiceId, StoreRevision)| {
            active.get(service).is_some_and(|a| a.order == *order)
        };
        self.counts.retain(|key, _| is_active(key));
        self.draws.retain(|key, _| is_active(key));
    }

    fn counts_of(
        &mut self,
        service: &ServiceId,
        order: StoreRevision,
    ) -> Arc<Mutex<RolloutCounts>> {
        let key = (service.clone(), order);
        self.counts.entry(key).or_default().clone()
    }
}
