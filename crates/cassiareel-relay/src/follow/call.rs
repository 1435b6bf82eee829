//! Calls of the store with a log line for each change between answered and not answered.

use std::{future::Future, sync::atomic::Ordering, time::Duration};

use cassiareel::runtime::within;
use slog::{info, warn};
use smol::Timer;

use crate::{
    clock::{self, Moment},
    kernel::{Backoff, StoreStatus},
    metrics::Metrics,
    source::{Readable, SourceError},
    state::State,
};

/// Nodes of a fleet that may ask a store that is away at the full rate.
const CROWD: u32 = 6;

/// The most by which a node's pauses grow with the size of its fleet.
const MOST_SHARE: u32 = 12;

/// A series of calls of one kind.
#[derive(Debug)]
pub(super) struct Caller {
    what: &'static str,
    probes: bool,
    failing: Option<Moment>,
    pauses: Backoff,
}

impl Caller {
    /// No call was made yet. `what` names the calls in the log.
    pub(super) fn new(what: &'static str) -> Caller {
        Caller {
            what,
            probes: false,
            failing: None,
            pauses: Backoff::default(),
        }
    }

    /// Calls by which the node finds out that the store is back.
    pub(super) fn probing(what: &'static str) -> Caller {
        Caller {
            probes: true,
            ..Caller::new(what)
        }
    }

    /// Makes one call. A failure is logged when it is the first of its series.
    pub(super) async fn call<F, T>(&mut self, state: &State, call: F) -> Option<T>
    where
        F: Future<Output = Result<T, SourceError>>,
    {
        match call.await {
            Ok(value) => {
                self.answered(state);
                Some(value)
            }
            Err(err) => {
                self.failed(state, &err);
                None
            }
        }
    }

    /// Takes out what could be read, with a line on the rest.
    pub(super) fn readable<T>(&self, state: &State, read: Readable<T>) -> Vec<T> {
        self.note_unreadable(state, &read.unreadable);
        read.items
    }

    /// Logs objects that could not be read.
    pub(super) fn note_unreadable(&self, state: &State, names: &[String]) {
        if let Some(first) = names.first() {
            warn!(state.log, "objects unreadable"; "call" => self.what, "count" => names.len(),
                "first" => first);
        }
    }

    /// Notes an answer.
    pub(super) fn answered(&mut self, state: &State) {
        Metrics::count(&state.metrics.store_calls, "answered");
        self.tell(state, false);
        self.pauses.record_answer();
        if let Some(since) = self.failing.take() {
            let lost = clock::now().saturating_sub(since);
            if self.probes {
                let now = clock::millis(clock::now());
                state.store_back_at_ms.store(now, Ordering::Relaxed);
                state.store_back.notify(usize::MAX);
                state.store_cache.roster().clear_exclusions();
            }
            info!(state.log, "store regained"; "call" => self.what, "lost_ms" => lost.as_millis() as u64);
        }
    }

    /// Notes a failure.
    pub(super) fn failed(&mut self, state: &State, err: &SourceError) {
        Metrics::count(&state.metrics.store_calls, "failed");
        self.tell(state, true);
        let store = match state.store_lost.load(Ordering::Relaxed) {
            _ if self.probes => StoreStatus::Probing,
            true => StoreStatus::Unreachable,
            false => StoreStatus::Reachable,
        };
        self.pauses
            .record_failure(clock::now(), store, times(state));
        if self.failing.is_none() {
            self.failing = Some(clock::now());
            warn!(state.log, "store lost"; "call" => self.what, "cause" => %err);
        }
    }

    /// Tells the other tasks whether the store is lost, where this kind of call finds it out.
    fn tell(&self, state: &State, lost: bool) {
        if self.probes {
            state.store_lost.store(lost, Ordering::Relaxed);
        }
    }

    /// Reports whether a call may be made now: not during the rest after one that failed.
    pub(super) fn may_call(&self, state: &State) -> bool {
        let word = Duration::from_millis(state.store_back_at_ms.load(Ordering::Relaxed));
        self.pauses.may_call(clock::now(), word)
    }

    /// Waits as long as what is known is gone by, or, after a call that failed, until the next one.
    pub(super) async fn wait(&self, state: &State, left: Option<Duration>) {
        match left {
            Some(left) => {
                Timer::after(left).await;
            }
            None => self.rest(state).await,
        }
    }

    /// Waits before the next call, after the last one failed.
    pub(super) async fn rest(&self, state: &State) {
        let back = state.store_back.listen();
        if self.may_call(state) {
            return;
        }
        let left = self.pauses.remaining(clock::now());
        if self.probes {
            Timer::after(left).await;
        } else {
            within(left, back).await;
        }
    }
}

/// How much longer a node's pauses are than those of one that reads the store for the others: nodes
/// that hear the store through others ask it themselves only now and then.
fn times(state: &State) -> f64 {
    let nodes = state.node_count.load(Ordering::Relaxed);
    let share = if state.store_cache.is_relay() {
        1
    } else {
        (nodes / CROWD).clamp(1, MOST_SHARE)
    };
    let spread = 0.75 + fastrand::f64() / 2.0;
    spread * f64::from(share)
}
