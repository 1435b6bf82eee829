/*!
The backoff requests of backend servers, in the headers of their answers: to get no requests for a
while, or none any more.

They apply to the process that sent them, whatever the registry says of it: an entry may be late, or
expire and come back while the store is unavailable.
*/

use std::{
    collections::HashMap,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    time::Duration,
};

use cassiareel::{kernel::suspect::ProcessKey, runtime::lock};

use crate::clock::{millis, Moment};

/// The longest backoff that a backend server can request. A process can't know of a longer time.
const MAX_BACKOFF: Duration = Duration::from_secs(600);

/// The number of processes from which on those that are gone are dropped. Until then their backoffs
/// are kept, since they may come back into the registry.
const MAX_KEPT_PROCESSES: usize = 1024;

/// The backoff that one process has requested.
#[derive(Debug, Default)]
pub(crate) struct Backoff {
    leaving: AtomicBool,
    /// Until when the process takes no requests, in milliseconds.
    until_ms: AtomicU64,
}

impl Backoff {
    /// Records that the process is leaving; reports whether that is new.
    pub(crate) fn mark_leaving(&self) -> bool {
        !self.leaving.swap(true, Ordering::Relaxed)
    }

    /// Records that the process takes no requests for `time`.
    pub(crate) fn back_off(&self, time: Duration, now: Moment) {
        let until = now + time.min(MAX_BACKOFF);
        self.until_ms.fetch_max(millis(until), Ordering::Relaxed);
    }

    /// Reports whether the process is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Returns how long the process takes no requests; `None` where it takes them.
    pub(crate) fn left(&self, now: Moment) -> Option<Duration> {
        let until = Duration::from_millis(self.until_ms.load(Ordering::Relaxed));
        until.checked_sub(now).filter(|left| !left.is_zero())
    }
}

/// The backoffs of all known processes, and of some that are gone.
#[derive(Debug, Default)]
pub(crate) struct Backoffs {
    processes: Mutex<HashMap<ProcessKey, Arc<Backoff>>>,
}

impl Backoffs {
    /// Returns the backoff of a process, which may have been in use before.
    pub(crate) fn get_or_create(&self, process: ProcessKey) -> Arc<Backoff> {
        let mut processes = lock(&self.processes);
        if processes.len() >= MAX_KEPT_PROCESSES {
            // The backoffs of processes in use are also owned by their backend servers.
            processes.retain(|_, backoff| Arc::strong_count(backoff) > 1);
        }
        processes.entry(process).or_default().clone()
    }
}
