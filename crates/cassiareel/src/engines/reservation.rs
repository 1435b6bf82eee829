//! A request's place at a backend server.

use std::{sync::Arc, time::Duration};

use async_channel::Sender;

use super::{
    judge::{RouteId, Told},
    Member, PoolId,
};
use crate::kernel::{health::Outcome, BackendId, Time};

/// Where a reservation tells what happened.
#[derive(Clone, Debug)]
pub(super) struct Signals {
    pub(super) told: Sender<Told>,
    // Holds at most one word: there is room again.
    pub(super) room: Sender<()>,
}

/// A request's place at a backend server, with its part of the server's memory.
///
/// Dropping it gives both back.
#[derive(Debug)]
pub struct Reservation {
    pub(super) member: Arc<Member>,
    pub(super) signals: Arc<Signals>,
    pub(super) pool: PoolId,
    pub(super) route: RouteId,
    pub(super) need: u64,
    pub(super) read: u64,
    pub(super) sent: Time,
    pub(super) expected: Duration,
    pub(super) began: bool,
    pub(super) ended: Option<Time>,
    pub(super) trial: bool,
}

impl Reservation {
    /// The backend server.
    pub fn backend(&self) -> &BackendId {
        &self.member.backend
    }

    /// Its data centre.
    pub fn data_centre(&self) -> &crate::kernel::DataCentreId {
        &self.member.data_centre
    }

    /// Reports whether the request tries a server that was ejected.
    pub fn is_trial(&self) -> bool {
        self.trial
    }

    /// Notes the first token; further calls change nothing.
    pub fn record_first_token(&mut self, now: Time) {
        if self.began {
            return;
        }
        self.began = true;
        let took = now.saturating_sub(self.sent);
        self.member
            .load
            .record_first_token(self.read, took, self.expected);
        let _ = self.signals.room.try_send(());
    }

    /// Ends the call with an outcome; none where it told nothing of the server.
    pub fn end(mut self, now: Time, outcome: Option<Outcome>) {
        self.ended = Some(now);
        self.tell(outcome);
    }

    fn tell(&self, outcome: Option<Outcome>) {
        if outcome.is_none() && !self.trial {
            return;
        }
        // A full channel drops an outcome: there are plenty more where that happens.
        let _ = self.signals.told.try_send(Told {
            pool: self.pool.clone(),
            route: self.route.clone(),
            backend: self.member.backend.clone(),
            outcome,
        });
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if !self.began {
            self.member.load.cancel_backlog(self.read);
        }
        if self.ended.is_none() {
            self.tell(None);
        }
        self.member.load.record_end(self.ended);
        self.member.memory.release(self.need);
        let _ = self.signals.room.try_send(());
    }
}
