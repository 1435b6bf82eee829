//! A candidate for the controller's lease, which is stored in the object API.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use slog::{info, warn, Logger};
use smol::Timer;

use crate::{
    kernel::{
        lease::{Action, Event, Grant, Lease, Record, Timing},
        Fence, Incarnation, NodeId, Time,
    },
    store::{Object, Objects, StoreError, StoreVersion},
};

/// The object kind of leases.
pub const KIND: &str = "leases";

/// The name of the controller's lease.
pub const NAME: &str = "control";

/// Time between polls, a third of the renewal interval.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Random variation of the poll interval, as a fraction of it, so that candidates don't read at the
/// same time.
const JITTER_FRACTION: f64 = 0.3;

/// A node's candidacy for the lease.
pub struct Candidate {
    lease: Mutex<Lease>,
    objects: Arc<dyn Objects>,
    start: Instant,
    log: Logger,
}

impl Candidate {
    /// Creates a candidate that has not read the lease record yet.
    pub fn new(
        node: NodeId,
        incarnation: Incarnation,
        timing: Timing,
        objects: Arc<dyn Objects>,
        log: Logger,
    ) -> Candidate {
        Candidate {
            lease: Mutex::new(Lease::new(node, incarnation, timing)),
            objects,
            start: Instant::now(),
            log,
        }
    }

    /// Returns the grant if this node holds the lease now. Callers check this before each action.
    pub fn grant(&self) -> Option<Grant> {
        let now = self.now();
        self.lock().grant(now)
    }

    /// Returns the fencing number for a command to a backend server, or `None` if the command may not
    /// be sent now.
    ///
    /// Backend servers that check fencing numbers accept commands as soon as the lease is held. For
    /// other backend servers the commands of earlier holders must have ended first.
    pub fn command_fence(&self, checks_fencing: bool) -> Option<Fence> {
        let now = self.now();
        let grant = self.lock().grant(now)?;
        (checks_fencing || now >= grant.commands_from).then_some(grant.fence)
    }

    /// Returns the most recently read lease record, for status pages.
    pub fn holder(&self) -> Option<Record> {
        self.lock().record().cloned()
    }

    /// Acquires and renews the lease while `wanted` returns true, until dropped.
    pub async fn run<F>(&self, wanted: F)
    where
        F: Fn() -> bool,
    {
        loop {
            if wanted() || self.grant().is_some() {
                self.poll().await;
            }
            Timer::after(POLL_INTERVAL.mul_f64(1.0 + JITTER_FRACTION * (fastrand::f64() - 0.5)))
                .await;
        }
    }

    /// Polls once: executes the actions that the lease's state machine requests.
    pub async fn poll(&self) {
        let before = self.grant().map(|grant| grant.fence);
        let mut event = Event::Tick;
        loop {
            let action = {
                let now = self.now();
                let mut lease = self.lock();
                let era = self.objects.era();
                if era > lease.era() {
                    warn!(self.log, "store of the lease has a new era";
                        "before" => lease.era(), "era" => era);
                }
                lease.step(now, Event::EraSeen { era });
                lease.step(now, event)
            };
            event = match action {
                Some(Action::Read) => self.read().await,
                Some(Action::Write { version, record }) => self.write(version, &record).await,
                None => break,
            };
        }
        let after = self.grant();
        match (before, after) {
            (None, Some(grant)) => info!(self.log, "lease acquired"; "fence" => grant.fence),
            (Some(fence), None) => info!(self.log, "lease lost"; "fence" => fence),
            _ => {}
        }
    }

    /// Releases the lease at a planned stop, after the last action has ended.
    pub async fn release(&self) {
        let now = self.now();
        let action = self.lock().step(now, Event::Release);
        if let Some(Action::Write { version, record }) = action {
            let event = self.write(version, &record).await;
            info!(self.log, "lease released"; "fence" => record.fence, "answer" => ?event);
        }
    }

    async fn read(&self) -> Event {
        match self.objects.get(KIND, NAME).await {
            Ok(None) => Event::Read { found: None },
            Ok(Some(object)) => match serde_json::from_value(object.spec) {
                Ok(record) => Event::Read {
                    found: Some((object.version, record)),
                },
                Err(err) => {
                    warn!(self.log, "malformed lease record"; "cause" => %err);
                    Event::ReadFailed
                }
            },
            Err(err) => {
                warn!(self.log, "lease read failed"; "cause" => %err);
                Event::ReadFailed
            }
        }
    }

    async fn write(&self, version: StoreVersion, record: &Record) -> Event {
        let spec = serde_json::json!(record);
        let object = Object {
            version,
            ..Object::new(KIND, NAME, spec)
        };
        let written = if version.is_none() {
            self.objects.create(&object).await
        } else {
            self.objects.update(&object).await
        };
        match written {
            Ok(version) => Event::Written { version },
            Err(StoreError::Conflict { .. }) => Event::Conflict,
            Err(StoreError::Ambiguous { .. }) => Event::Ambiguous,
            Err(_) => Event::NotApplied,
        }
    }

    fn now(&self) -> Time {
        self.start.elapsed()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Lease> {
        self.lease.lock().expect("the lock is not poisoned")
    }
}
