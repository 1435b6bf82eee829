/*!
What backend servers ask of this node on their answers: to be left alone for a while, or for good.

They hold for the process that asked, whatever the registry says of it: an entry may be late, or lapse
and come back while the store is away.
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

/// The longest time for which a backend server can ask to be left alone. A longer one is no time that
/// it can know of.
const MAX_BACKOFF: Duration = Duration::from_secs(600);

/// Processes that are gone whose wishes are kept, since they may come back into the registry.
const MAX_GONE_PROCESSES: usize = 1024;

/// What one process asked for.
#[derive(Debug, Default)]
pub(crate) struct Backoff {
    leaving: AtomicBool,
    /// Until when it wants nothing, in milliseconds.
    until_ms: AtomicU64,
}

impl Backoff {
    /// Notes that it leaves; reports whether that is new.
    pub(crate) fn mark_leaving(&self) -> bool {
        !self.leaving.swap(true, Ordering::Relaxed)
    }

    /// Notes that it wants nothing for a time.
    pub(crate) fn back_off(&self, time: Duration, now: Moment) {
        let until = now + time.min(MAX_BACKOFF);
        self.until_ms.fetch_max(millis(until), Ordering::Relaxed);
    }

    /// Reports whether it leaves.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// How long it wants nothing yet; `None` where it takes requests.
    pub(crate) fn left(&self, now: Moment) -> Option<Duration> {
        let until = Duration::from_millis(self.until_ms.load(Ordering::Relaxed));
        until.checked_sub(now).filter(|left| !left.is_zero())
    }
}

/// The wishes of all processes that are known, and of some that are gone.
#[derive(Debug, Default)]
pub(crate) struct Backoffs {
    processes: Mutex<HashMap<ProcessKey, Arc<Backoff>>>,
}

impl Backoffs {
    /// The wish of a process, which may have been in use before.
    pub(crate) fn get_or_create(&self, process: ProcessKey) -> Arc<Backoff> {
        let mut processes = lock(&self.processes);
        if processes.len() >= MAX_GONE_PROCESSES {
            // Those in use are held by their backend servers as well.
            processes.retain(|_, backoff| Arc::strong_count(backoff) > 1);
        }
        processes.entry(process).or_default().clone()
    }
}
