//! A candidate for the controller's lease, at the object API.

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
    store::{Object, Objects, StoreError},
};

/// The kind of the object.
pub const KIND: &str = "leases";

/// The name of the controller's lease.
pub const NAME: &str = "control";

/// Time between looks; a third of a renewal.
const LOOK: Duration = Duration::from_secs(1);

/// The part of a look by which candidates differ, so that they don't read in step.
const JITTER: f64 = 0.3;

/// A node's candidacy.
pub struct Candidate {
    lease: Mutex<Lease>,
    objects: Arc<dyn Objects>,
    origin: Instant,
    log: Logger,
}

impl Candidate {
    /// A candidate that has not read the record yet.
    pub fn new(
        me: NodeId,
        life: Incarnation,
        timing: Timing,
        objects: Arc<dyn Objects>,
        log: Logger,
    ) -> Candidate {
        Candidate {
            lease: Mutex::new(Lease::new(me, life, timing)),
            objects,
            origin: Instant::now(),
            log,
        }
    }

    /// The power to act right now; ask before each action.
    pub fn held(&self) -> Option<Grant> {
        let now = self.now();
        self.lock().grant(now)
    }

    /// The fencing number for an order to a backend server that checks it or not.
    pub fn order_fence(&self, checks_fencing: bool) -> Option<Fence> {
        let now = self.now();
        let held = self.lock().grant(now)?;
        (checks_fencing || now >= held.commands_from).then_some(held.fence)
    }

    /// The holder by the newest record read, for status pages.
    pub fn holder(&self) -> Option<Record> {
        self.lock().record().cloned()
    }

    /// Takes and renews the lease while `wanted` says so.
    pub async fn run<F>(&self, wanted: F)
    where
        F: Fn() -> bool,
    {
        loop {
            if wanted() || self.held().is_some() {
                self.look().await;
            }
            Timer::after(LOOK.mul_f64(1.0 + JITTER * (fastrand::f64() - 0.5))).await;
        }
    }

    /// Looks once: carries out what the machine asks for.
    pub async fn look(&self) {
        let before = self.held().map(|held| held.fence);
        let mut event = Event::Tick;
        loop {
            let action = {
                let now = self.now();
                self.lock().step(now, event)
            };
            event = match action {
                Some(Action::Read) => self.read().await,
                Some(Action::Write { version, record }) => self.write(version, &record).await,
                None => break,
            };
        }
        let after = self.held();
        match (before, after) {
            (None, Some(held)) => info!(self.log, "lease taken"; "fence" => held.fence),
            (Some(fence), None) => info!(self.log, "lease lost"; "fence" => fence),
            _ => {}
        }
    }

    /// Gives the lease up at a planned stop, once the last action has ended.
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
                    warn!(self.log, "lease can't be read"; "cause" => %err);
                    Event::ReadFailed
                }
            },
            Err(err) => {
                warn!(self.log, "lease not read"; "cause" => %err);
                Event::ReadFailed
            }
        }
    }

    async fn write(&self, version: u64, record: &Record) -> Event {
        let spec = serde_json::json!(record);
        let object = Object {
            version,
            ..Object::new(KIND, NAME, spec)
        };
        let written = match version {
            0 => self.objects.create(&object).await,
            _ => self.objects.update(&object).await,
        };
        match written {
            Ok(version) => Event::Written { version },
            Err(StoreError::Conflict { .. }) => Event::Conflict,
            Err(StoreError::Ambiguous { .. }) => Event::Ambiguous,
            Err(_) => Event::NotApplied,
        }
    }

    fn now(&self) -> Time {
        self.origin.elapsed()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Lease> {
        self.lease.lock().expect("no holder panics")
    }
}
