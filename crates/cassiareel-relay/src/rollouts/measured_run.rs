/*!
One run of a request at a backend server whose service is being rolled out.

A run that is merely slow shows nothing until its answer comes, which may be after the end of the
rollout. So open runs count by their age: one that has already taken too long is as bad as a failed
one. The limit is set by the times of the old version's runs, and by the objective in any case.
*/

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use cassiareel::runtime;

use super::rollout_counts::RolloutCounts;
use crate::{
    clock::{self, Moment},
    kernel::{Baselines, Tally},
};

/// The number of events after which the time between them is measured.
const GAP_EVENTS: u64 = 8;

/// The measures by which a run is judged.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunSize {
    /// The units by which the expected time to the answer or the first event grows.
    pub units: f64,
    /// The longest allowed time to the answer or the first event, in seconds.
    pub objective: f64,
}

/// The order that a run is counted for, and the backend server that runs it.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunPlace {
    /// When the time of the order began.
    pub order_began: Moment,
    /// The time within which the rollout has to end.
    pub order_duration: Duration,
    /// The number of the backend server.
    pub backend: u64,
}

/// One run. Dropping it ends it without recording an answer.
#[derive(Debug)]
pub(crate) struct MeasuredRun {
    is_new: bool,
    began: Moment,
    place: RunPlace,
    size: RunSize,
    counts: Arc<Mutex<RolloutCounts>>,
    progress: Mutex<Progress>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    first: Option<Moment>,
    last: Moment,
    events: u64,
    /// Whether the run counts as bad; `None` while nothing is known.
    bad: Option<bool>,
    /// Whether its time to the answer or the first event was added to the counts.
    first_measured: bool,
    gap_measured: bool,
    /// Whether the run was lost with its backend server, so that it is not judged any more.
    is_lost: bool,
}

impl MeasuredRun {
    /// Begins a run at `now`.
    pub(super) fn begin(
        counts: Arc<Mutex<RolloutCounts>>,
        is_new: bool,
        place: RunPlace,
        size: RunSize,
        now: Moment,
    ) -> MeasuredRun {
        runtime::lock(&counts).tally(is_new).sent += 1;
        MeasuredRun {
            is_new,
            began: now,
            place,
            size,
            counts,
            progress: Mutex::default(),
        }
    }

    /// Records an event, or a whole answer.
    pub(crate) fn note_event(&self, now: Moment) {
        let mut progress = self.progress();
        progress.first.get_or_insert(now);
        progress.last = now;
        progress.events += 1;
        let is_decisive = progress.events == 1 || progress.events == GAP_EVENTS;
        drop(progress);
        if is_decisive {
            self.check(now);
        }
    }

    /// Records that the run was lost with its backend server. A run that only counted as slow, since no
    /// event had come, is no longer evidence against the version. All runs that are lost with one server
    /// count as one.
    pub(crate) fn note_loss(&self, now: Moment) {
        let mut counts = runtime::lock(&self.counts);
        let is_first = counts.lost_backends.insert(self.place.backend);
        let tally = counts.tally(self.is_new);
        self.progress().record_loss(tally);
        if is_first {
            let elapsed = now.saturating_sub(self.place.order_began);
            tally.record_loss(elapsed, self.place.order_duration);
        }
    }

    /// Records that the run failed.
    pub(crate) fn note_failure(&self) {
        let mut counts = runtime::lock(&self.counts);
        let tally = counts.tally(self.is_new);
        tally.failed += 1;
        self.progress().record_outcome(true, tally);
    }

    /// Judges the run by its events and its age so far.
    pub(super) fn check(&self, now: Moment) {
        let mut counts = runtime::lock(&self.counts);
        let typical = counts.typical;
        let tally = counts.tally(self.is_new);
        let mut progress = self.progress();
        if progress.is_lost {
            return;
        }
        self.judge_first(&mut progress, tally, &typical, now);
        judge_gap(&mut progress, tally, &typical);
    }

    fn judge_first(
        &self,
        progress: &mut Progress,
        tally: &mut Tally,
        typical: &Baselines,
        now: Moment,
    ) {
        let elapsed = progress.first.unwrap_or(now).saturating_sub(self.began);
        let elapsed = elapsed.as_secs_f64();
        let value = elapsed / self.size.units;
        let slow = elapsed > self.size.objective || typical.first.is_slow(value);
        if progress.first.is_none() {
            if slow {
                progress.record_outcome(true, tally);
            }
        } else if !progress.first_measured {
            progress.first_measured = true;
            tally.first.record(value);
            progress.record_outcome(slow, tally);
        }
    }

    fn progress(&self) -> MutexGuard<'_, Progress> {
        runtime::lock(&self.progress)
    }
}

/// Judges the time between events.
fn judge_gap(progress: &mut Progress, tally: &mut Tally, typical: &Baselines) {
    let Some(first) = progress.first.filter(|_| progress.events >= GAP_EVENTS) else {
        return;
    };
    if progress.gap_measured {
        return;
    }
    progress.gap_measured = true;
    let writing = progress.last.saturating_sub(first).as_secs_f64();
    let gap = writing / (progress.events - 1) as f64;
    let slow = typical.gap.is_slow(gap);
    tally.gap.record(gap);
    if slow {
        progress.record_outcome(true, tally);
    }
}

impl Progress {
    /// Counts the run once, and as bad at most once.
    fn record_outcome(&mut self, bad: bool, tally: &mut Tally) {
        match self.bad {
            None => {
                tally.answers += 1;
                tally.bad += u64::from(bad);
            }
            Some(false) if bad => tally.bad += 1,
            Some(_) => return,
        }
        self.bad = Some(bad);
    }

    /// Takes the run out of the known ones, unless events had shown how it fares.
    fn record_loss(&mut self, tally: &mut Tally) {
        if self.first.is_none() && self.bad.take().is_some_and(|bad| bad) {
            tally.answers -= 1;
            tally.bad -= 1;
        }
        self.is_lost = true;
    }
}

impl Drop for MeasuredRun {
    fn drop(&mut self) {
        self.check(clock::now());
    }
}
