//! Calls of the store with a log line for each change between answered and not answered.

use std::{future::Future, time::Duration};

use slog::{info, warn};

use crate::{
    clock::{self, Moment},
    metrics::Metrics,
    source::SourceError,
    state::State,
};

/// Pause after the first call that failed.
const FIRST_PAUSE: Duration = Duration::from_millis(120);

/// The longest pause between calls that fail.
const LONGEST_PAUSE: Duration = Duration::from_millis(480);

/// A series of calls of one kind.
#[derive(Debug)]
pub(super) struct Caller {
    what: &'static str,
    failing: Option<Moment>,
    failures: u32,
}

impl Caller {
    /// No call was made yet. `what` names the calls in the log.
    pub(super) fn new(what: &'static str) -> Caller {
        Caller {
            what,
            failing: None,
            failures: 0,
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

    /// Notes an answer.
    pub(super) fn answered(&mut self, state: &State) {
        Metrics::count(&state.metrics.store, "answered");
        self.failures = 0;
        if let Some(since) = self.failing.take() {
            let lost = clock::now().saturating_sub(since);
            info!(state.log, "store regained"; "call" => self.what, "lost_ms" => lost.as_millis() as u64);
        }
    }

    /// Notes a failure.
    pub(super) fn failed(&mut self, state: &State, err: &SourceError) {
        Metrics::count(&state.metrics.store, "failed");
        self.failures += 1;
        if self.failing.is_none() {
            self.failing = Some(clock::now());
            warn!(state.log, "store lost"; "call" => self.what, "cause" => %err);
        }
    }

    /// How long to wait before the next call, when the last one failed. The pauses of nodes that
    /// failed together spread.
    pub(super) fn pause(&self) -> Duration {
        let doubled = FIRST_PAUSE * 2u32.pow(self.failures.saturating_sub(1).min(4));
        doubled
            .min(LONGEST_PAUSE)
            .mul_f64(0.75 + fastrand::f64() / 2.0)
    }
}
