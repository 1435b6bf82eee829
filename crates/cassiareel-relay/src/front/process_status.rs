/*!
Whether a backend server's process ended when a run there was lost.

A lost run alone does not tell: connections are reset and answers lost while the process lives. A
connection tells at once, since nobody listens where a process has ended. One that hangs tells
nothing; the registry or another request may tell later.
*/

use std::time::Duration;

use cassiareel::runtime::within;
use smol::Timer;

use crate::{backends::Backend, net::SendError};

/// How long a connection may take that shows whether a process lives.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// How long the connection may have been idle by which a process is looked at again.
const MAX_IDLE: Duration = Duration::from_millis(1200);

/// The time after which a process that seems to live is looked at again.
const RECHECK_DELAY: Duration = Duration::from_millis(60);

/// The times after which it is looked at once more, where it did not show that it ended: one that writes
/// out its memory may listen for a while, and a busy node may have had no time for an answer.
const LATE_RECHECK_DELAYS: [Duration; 2] =
    [Duration::from_millis(400), Duration::from_millis(1000)];

/// How long others' evidence is waited for where a connection showed nothing.
const EVIDENCE_TIMEOUT: Duration = Duration::from_secs(6);

/// The time between looks for it.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// What became of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ProcessStatus {
    /// It has ended.
    Exited,
    /// It listens.
    Alive,
    /// Nothing tells.
    Unknown,
}

impl ProcessStatus {
    /// The name in logs and metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            ProcessStatus::Exited => "ended",
            ProcessStatus::Alive => "lives",
            ProcessStatus::Unknown => "unknown",
        }
    }
}

/// Finds out what became of a process by a connection, which is kept where it lives.
///
/// A process that ends may accept connections for a moment after it closed others, so that one which
/// seems to live is looked at once more.
pub(super) async fn check(member: &Backend) -> ProcessStatus {
    let first = probe_connection(member).await;
    if first != ProcessStatus::Alive {
        return first;
    }
    Timer::after(RECHECK_DELAY).await;
    probe_connection(member).await
}

/// Takes the connection that is kept, or opens one.
async fn probe_connection(member: &Backend) -> ProcessStatus {
    if member.has_ended() {
        return ProcessStatus::Exited;
    }
    match within(CONNECT_TIMEOUT, member.pool.take(MAX_IDLE, CONNECT_TIMEOUT)).await {
        Some(Ok(lease)) => {
            lease.put_back(None);
            ProcessStatus::Alive
        }
        Some(Err(SendError::Refused)) => {
            member.mark_ended();
            ProcessStatus::Exited
        }
        _ => ProcessStatus::Unknown,
    }
}

/// Looks again at a process that was not found to have ended, and waits for others' evidence of one that
/// does not answer.
pub(super) async fn recheck(member: &Backend) -> ProcessStatus {
    let mut status = ProcessStatus::Unknown;
    for wait in LATE_RECHECK_DELAYS {
        Timer::after(wait).await;
        status = probe_connection(member).await;
        if status == ProcessStatus::Exited {
            return status;
        }
    }
    if status == ProcessStatus::Alive {
        return status;
    }
    wait_for_evidence(member).await
}

async fn wait_for_evidence(member: &Backend) -> ProcessStatus {
    let mut waited = Duration::ZERO;
    while waited < EVIDENCE_TIMEOUT {
        if member.has_ended() {
            return ProcessStatus::Exited;
        }
        Timer::after(POLL_INTERVAL).await;
        waited += POLL_INTERVAL;
    }
    ProcessStatus::Unknown
}
