//! A candidate for a lease, which is stored as one object and replaced by conditional update.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use slog::{info, warn, Logger};
use smol::Timer;

use super::boot_time;
use crate::{
    kernel::{
        lease::{Action, Event, Grant, Lease, Record, Timing},
        Fence, Incarnation, NodeId, Time,
    },
    runtime::lock,
    store::{ConditionalStore, Object, StoreError, StoreVersion},
};

/// The object kind of the controller's lease.
pub const KIND: &str = "leases";

/// The name of the controller's lease.
pub const NAME: &str = "control";

/// Time between polls for the controller's lease, a third of the renewal interval.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Random variation of the poll interval, as a fraction of it, so that candidates don't read at the
/// same time.
const JITTER_FRACTION: f64 = 0.3;

/// The shortest time between two polls, so that a tick that is due again at once does not loop.
const MIN_POLL_DELAY: Duration = Duration::from_millis(5);

/// The largest factor by which the pauses of a candidate grow whose calls fail.
const MAX_PAUSE_FACTOR: u32 = 8;

/// A clock for the times of a lease; it has to count the time during which the VM is suspended.
pub type Clock = Arc<dyn Fn() -> Time + Send + Sync>;

/// The lease that a candidate is for.
#[derive(Clone)]
pub struct LeaseOptions {
    /// The kind of the lease's object.
    pub kind: &'static str,
    /// The name of the lease's object.
    pub name: &'static str,
    /// The times, the same on every candidate.
    pub timing: Timing,
    /// The time between two reads of a candidate that waits.
    pub poll: Duration,
    /// The clock.
    pub clock: Clock,
}

impl Default for LeaseOptions {
    /// Returns the controller's lease.
    fn default() -> LeaseOptions {
        LeaseOptions {
            kind: KIND,
            name: NAME,
            timing: Timing::default(),
            poll: POLL_INTERVAL,
            clock: Arc::new(boot_time),
        }
    }
}

/// A node's candidacy for a lease.
pub struct Candidate {
    lease: Mutex<Lease>,
    options: LeaseOptions,
    store: Arc<dyn ConditionalStore>,
    /// The fencing number that the log last named as held.
    logged_fence: Mutex<Option<Fence>>,
    /// The factor by which the next pause is longer, since calls failed.
    pause_factor: Mutex<u32>,
    log: Logger,
}

impl Candidate {
    /// Creates a candidate that has not read the lease record yet.
    pub fn new(
        node: NodeId,
        incarnation: Incarnation,
        options: LeaseOptions,
        store: Arc<dyn ConditionalStore>,
        log: Logger,
    ) -> Candidate {
        Candidate {
            lease: Mutex::new(Lease::new(node, incarnation, options.timing)),
            options,
            store,
            logged_fence: Mutex::default(),
            pause_factor: Mutex::new(1),
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
            Timer::after(self.poll_delay(1.0)).await;
        }
    }

    /// Returns the time until the next poll: a holder waits until its renewal is due, and another
    /// candidate at most for the poll interval times `factor`.
    pub fn poll_delay(&self, factor: f64) -> Duration {
        let now = self.now();
        let (due, is_held) = {
            let lease = self.lock();
            (lease.due_at(now), lease.grant(now).is_some())
        };
        let jitter = 1.0 + JITTER_FRACTION * (fastrand::f64() - 0.5);
        let pause = match is_held {
            true => self.options.poll.mul_f64(jitter),
            false => self.failure_pause().mul_f64(jitter * factor),
        };
        let left = due.and_then(|due| due.checked_sub(now));
        match left.filter(|left| !left.is_zero()) {
            Some(left) if is_held => left,
            Some(left) => left.min(pause),
            None => pause,
        }
        .max(MIN_POLL_DELAY)
    }

    /// Returns the poll interval, longer after calls that failed.
    fn failure_pause(&self) -> Duration {
        self.options.poll * *lock(&self.pause_factor)
    }

    /// Polls once: executes the actions that the lease's state machine requests.
    pub async fn poll(&self) {
        let mut event = Event::Tick;
        loop {
            let action = {
                let now = self.now();
                let mut lease = self.lock();
                let era = self.store.era();
                if era > lease.era() {
                    warn!(self.log, "store of the lease has a new era";
                        "before" => lease.era(), "era" => era);
                }
                lease.step(now, Event::EraSeen { era });
                let action = lease.step(now, event);
                match action {
                    // The record that was read allows a write at once.
                    None if lease.can_acquire(now) => lease.step(now, Event::Tick),
                    action => action,
                }
            };
            event = match action {
                Some(Action::Read) => self.read().await,
                Some(Action::Write { version, record }) => self.write(version, &record).await,
                None => break,
            };
            self.note_answer(&event);
        }
        self.log_change();
    }

    /// Gives up a fencing number that the receiver of an action refused. It is never granted again;
    /// the next one is at least `next`.
    pub fn fence_off(&self, fence: Fence, next: Fence) {
        let now = self.now();
        self.lock().step(now, Event::Fenced { fence, next });
        self.log_change();
    }

    /// Logs whether the lease was acquired or lost since the last call.
    fn log_change(&self) {
        let held = self.grant().map(|grant| grant.fence);
        let before = std::mem::replace(&mut *lock(&self.logged_fence), held);
        if before == held {
            return;
        }
        if let Some(fence) = before {
            info!(self.log, "lease lost"; "fence" => fence);
        }
        if let Some(fence) = held {
            info!(self.log, "lease acquired"; "fence" => fence);
        }
    }

    /// Lengthens the pauses while calls fail.
    fn note_answer(&self, event: &Event) {
        let mut factor = lock(&self.pause_factor);
        *factor = match event {
            Event::ReadFailed | Event::NotApplied => (*factor * 2).min(MAX_PAUSE_FACTOR),
            _ => 1,
        };
    }

    /// Releases the lease at a planned stop, after the last action has ended.
    pub async fn release(&self) {
        let now = self.now();
        let action = self.lock().step(now, Event::Release);
        if let Some(Action::Write { version, record }) = action {
            *lock(&self.logged_fence) = None;
            let event = self.write(version, &record).await;
            info!(self.log, "lease released"; "fence" => record.fence, "answer" => ?event);
        }
    }

    async fn read(&self) -> Event {
        match self.store.get(self.options.kind, self.options.name).await {
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
                if *lock(&self.pause_factor) == 1 {
                    warn!(self.log, "lease read failed"; "cause" => %err);
                }
                Event::ReadFailed
            }
        }
    }

    async fn write(&self, version: StoreVersion, record: &Record) -> Event {
        let spec = serde_json::json!(record);
        let object = Object {
            version,
            ..Object::new(self.options.kind, self.options.name, spec)
        };
        let written = if version.is_none() {
            self.store.create(&object).await
        } else {
            self.store.update(&object).await
        };
        match written {
            Ok(version) => Event::Written { version },
            Err(StoreError::Conflict { .. }) => Event::Conflict,
            Err(StoreError::Ambiguous { .. }) => Event::Ambiguous,
            Err(_) => Event::NotApplied,
        }
    }

    fn now(&self) -> Time {
        (self.options.clock)()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Lease> {
        lock(&self.lease)
    }
}
