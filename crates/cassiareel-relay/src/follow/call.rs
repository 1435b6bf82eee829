//! Calls of the store, with a log line for each change between success and failure.

use std::{future::Future, sync::atomic::Ordering, time::Duration};

use cassiareel::runtime::within;
use slog::{info, warn};
use smol::Timer;

use crate::{
    clock::{self, Moment},
    kernel::{remaining, Backoff, StoreStatus},
    metrics::Metrics,
    source::{ReadObjects, SourceError},
    state::State,
};

/// The size of a fleet up to which all nodes may call an unavailable store at the full rate.
const MAX_FULL_RATE_NODES: u32 = 6;

/// The largest factor by which a node's pauses grow with the size of its fleet.
const MAX_PAUSE_FACTOR: u32 = 12;

/// The status with which the store refuses calls beyond its rate limit.
const TOO_MANY_REQUESTS: u16 = 429;

/// The longest time by which a task of a small, busy node runs later than it is due. One that runs
/// even later was suspended.
const MAX_DELAY: Duration = Duration::from_millis(700);

/// A series of calls of one kind.
#[derive(Debug)]
pub(super) struct StoreCaller {
    name: &'static str,
    probes: bool,
    failing_since: Option<Moment>,
    /// Whether the last failure was an answer that could not be read.
    is_unreadable: bool,
    pauses: Backoff,
    /// When the last answered call began.
    last_answered: Option<Moment>,
}

impl StoreCaller {
    /// Creates a series without a call. `name` names the calls in the log.
    pub(super) fn new(name: &'static str) -> StoreCaller {
        StoreCaller {
            name,
            probes: false,
            failing_since: None,
            is_unreadable: false,
            pauses: Backoff::default(),
            last_answered: None,
        }
    }

    /// Creates a series of the calls by which the node detects that the store is available again.
    pub(super) fn probing(name: &'static str) -> StoreCaller {
        StoreCaller {
            probes: true,
            ..StoreCaller::new(name)
        }
    }

    /// Makes one call. A failure is logged when it is the first of its series, or the first answer
    /// that can't be read after other failures.
    pub(super) async fn call<F, T>(&mut self, state: &State, call: F) -> Option<T>
    where
        F: Future<Output = Result<T, SourceError>>,
    {
        let began = clock::now();
        match call.await {
            Ok(value) => {
                self.last_answered = Some(began);
                self.note_success(state);
                Some(value)
            }
            Err(err) => {
                self.note_failure(state, &err);
                note_refusal(state, &err);
                None
            }
        }
    }

    /// Returns the objects that could be read, and logs the names of the others.
    pub(super) fn items<T>(&self, state: &State, read: ReadObjects<T>) -> Vec<T> {
        self.log_unreadable(state, &read.unreadable);
        read.items
    }

    /// Logs objects that could not be read.
    pub(super) fn log_unreadable(&self, state: &State, names: &[String]) {
        if let Some(first) = names.first() {
            state.metrics.count_unreadable(self.name, names.len());
            warn!(state.log, "objects unreadable"; "call" => self.name, "count" => names.len(),
                "first" => first);
        }
    }

    /// Records a successful call.
    pub(super) fn note_success(&mut self, state: &State) {
        Metrics::count(&state.metrics.store_calls, "answered");
        state.refusal_pause().record_answer(clock::now());
        self.set_store_lost(state, false);
        self.pauses.record_answer();
        if let Some(since) = self.failing_since.take() {
            let outage = clock::now().saturating_sub(since);
            if self.probes {
                let now = clock::millis(clock::now());
                state.store_back_at_ms.store(now, Ordering::Relaxed);
                state.store_back.notify(usize::MAX);
                state.store_cache.roster().clear_exclusions();
            }
            info!(state.log, "store available"; "call" => self.name, "lost_ms" => outage.as_millis() as u64);
        }
    }

    /// Records a failed call.
    pub(super) fn note_failure(&mut self, state: &State, err: &SourceError) {
        let is_unreadable = matches!(err, SourceError::Unreadable { .. });
        let outcome = if is_unreadable {
            "unreadable"
        } else {
            "failed"
        };
        Metrics::count(&state.metrics.store_calls, outcome);
        // A store whose answer can't be read is within reach.
        self.set_store_lost(state, !is_unreadable);
        let store = match state.store_lost.load(Ordering::Relaxed) {
            _ if self.probes => StoreStatus::Probing,
            true => StoreStatus::Unreachable,
            false => StoreStatus::Reachable,
        };
        self.pauses
            .record_failure(clock::now(), store, pause_factor(state));
        let is_first = self.failing_since.is_none();
        if is_unreadable && (is_first || !self.is_unreadable) {
            warn!(state.log, "answer unreadable"; "call" => self.name, "cause" => %err);
        } else if is_first {
            warn!(state.log, "store unavailable"; "call" => self.name, "cause" => %err);
        }
        self.is_unreadable = is_unreadable;
        self.failing_since.get_or_insert_with(clock::now);
    }

    /// Sets whether the store is lost for the other tasks, where this kind of call detects it.
    fn set_store_lost(&self, state: &State, lost: bool) {
        if self.probes {
            state.store_lost.store(lost, Ordering::Relaxed);
        }
    }

    /// Reports whether a call may be made now: not during the pause after a failed one, nor during
    /// that of all calls of the node.
    pub(super) fn may_call(&self, state: &State) -> bool {
        let now = clock::now();
        let back_at = Duration::from_millis(state.store_back_at_ms.load(Ordering::Relaxed));
        let pause_left = state.refusal_pause().remaining(now);
        pause_left.is_zero() && self.pauses.may_call(now, back_at)
    }

    /// Returns the time until `interval` after the start of the last answered call, if it is not over.
    /// An answer need not renew the cached value, and the value's age alone would then cause the next
    /// call at once.
    pub(super) fn interval_left(&self, interval: Duration) -> Option<Duration> {
        let spent = clock::now().saturating_sub(self.last_answered?);
        remaining(interval, spent)
    }

    /// Waits for `left`, as long as the cached value may be used, or, after a call that failed,
    /// until the next one.
    pub(super) async fn wait(&self, state: &State, left: Option<Duration>) {
        match left {
            Some(left) => {
                let due = clock::now() + left;
                Timer::after(left).await;
                if clock::now() > due + MAX_DELAY {
                    state.note_wake();
                }
            }
            None => self.wait_to_retry(state).await,
        }
    }

    /// Waits before the next call, after the last one failed.
    pub(super) async fn wait_to_retry(&self, state: &State) {
        let back = state.store_back.listen();
        if self.may_call(state) {
            return;
        }
        let now = clock::now();
        let pause_left = state.refusal_pause().remaining(now);
        let left = self.pauses.remaining(now).max(pause_left);
        if self.probes {
            Timer::after(left).await;
        } else {
            within(left, back).await;
        }
    }
}

/// Pauses all calls of the node where the store refused one because of its rate limit.
fn note_refusal(state: &State, err: &SourceError) {
    let is_limit = matches!(err, SourceError::Refused { status } if *status == TOO_MANY_REQUESTS);
    if !is_limit {
        return;
    }
    let now = clock::now();
    let factor = pause_factor(state);
    let mut pause = state.refusal_pause();
    if pause.record_refusal(now, factor) {
        let millis = pause.remaining(now).as_millis() as u64;
        info!(state.log, "store calls paused"; "pause_ms" => millis);
    }
}

/// Returns the factor by which a node's pauses are longer than those of a node that reads the store
/// for the others: nodes that get updates from peers call the store itself only now and then.
fn pause_factor(state: &State) -> f64 {
    let nodes = state.node_count.load(Ordering::Relaxed);
    let factor = if state.store_cache.is_forwarder() {
        1
    } else {
        (nodes / MAX_FULL_RATE_NODES).clamp(1, MAX_PAUSE_FACTOR)
    };
    let spread = 0.75 + fastrand::f64() / 2.0;
    spread * f64::from(factor)
}
