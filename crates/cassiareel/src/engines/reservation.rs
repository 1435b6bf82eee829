//! A request's reservation at a backend server.

use std::{sync::Arc, time::Duration};

use async_channel::Sender;

use super::{
    health::{CallOutcome, RouteId},
    BackendServer, PoolId,
};
use crate::kernel::{health::Outcome, BackendId, Time};

/// The channels to which reservations report.
#[derive(Clone, Debug)]
pub(super) struct Signals {
    pub(super) outcomes: Sender<CallOutcome>,
    // Holds at most one message, which signals that a server may have capacity again.
    pub(super) capacity: Sender<()>,
}

/// A request's reservation at a backend server: its part of the server's load and memory.
///
/// Dropping it releases both.
#[derive(Debug)]
pub struct Reservation {
    pub(super) server: Arc<BackendServer>,
    pub(super) signals: Arc<Signals>,
    pub(super) pool: PoolId,
    pub(super) route: RouteId,
    pub(super) reserved_tokens: u64,
    pub(super) prefill_tokens: u64,
    pub(super) sent_at: Time,
    pub(super) expected_time: Duration,
    pub(super) has_first_token: bool,
    pub(super) ended_at: Option<Time>,
    pub(super) trial: bool,
}

impl Reservation {
    /// Returns the backend server's address.
    pub fn backend(&self) -> &BackendId {
        &self.server.backend
    }

    /// Returns the backend server's data centre.
    pub fn data_centre(&self) -> &crate::kernel::DataCentreId {
        &self.server.data_centre
    }

    /// Reports whether the request is a trial of an ejected server.
    pub fn is_trial(&self) -> bool {
        self.trial
    }

    /// Records the first token; further calls have no effect.
    pub fn record_first_token(&mut self, now: Time) {
        if self.has_first_token {
            return;
        }
        self.has_first_token = true;
        let took = now.saturating_sub(self.sent_at);
        self.server
            .load
            .record_first_token(self.prefill_tokens, took, self.expected_time);
        let _ = self.signals.capacity.try_send(());
    }

    /// Ends the call with an outcome; none if the call is no evidence about the server.
    pub fn end(mut self, now: Time, outcome: Option<Outcome>) {
        self.ended_at = Some(now);
        self.send_outcome(outcome);
    }

    fn send_outcome(&self, outcome: Option<Outcome>) {
        if outcome.is_none() && !self.trial {
            return;
        }
        // A full channel drops the outcome, which is harmless as it holds many others.
        let _ = self.signals.outcomes.try_send(CallOutcome {
            pool: self.pool.clone(),
            route: self.route.clone(),
            backend: self.server.backend.clone(),
            outcome,
        });
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if !self.has_first_token {
            self.server.load.cancel_backlog(self.prefill_tokens);
        }
        if self.ended_at.is_none() {
            self.send_outcome(None);
        }
        self.server.load.record_end(self.ended_at);
        self.server.memory.release(self.reserved_tokens);
        let _ = self.signals.capacity.try_send(());
    }
}
