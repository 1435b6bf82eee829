/*!
Finds out whether the process of a backend server has exited after a run there was lost.

A lost run alone is no proof: connections are reset and responses are lost while the process stays
alive. A connection attempt gives an answer at once, since it is refused where the process has
exited. An attempt that hangs proves nothing; the registry or another request may provide evidence
later.
*/

use std::time::Duration;

use cassiareel::runtime::within;
use smol::Timer;

use crate::{backends::Backend, net::SendError};

/// Timeout of the connection attempt that shows whether a process is alive.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Longest idle time of a kept connection that counts as evidence that the process is alive.
const MAX_IDLE: Duration = Duration::from_millis(1200);

/// Delay before a process that seems to be alive is checked again.
const RECHECK_DELAY: Duration = Duration::from_millis(60);

/// Delays before the later checks of a process that has not been found to have exited: a process
/// that writes a core dump may listen for a while, and a busy node may have had no time to read the
/// answer.
const LATE_RECHECK_DELAYS: [Duration; 2] =
    [Duration::from_millis(400), Duration::from_millis(1000)];

/// How long to wait for evidence from elsewhere if the connection attempts proved nothing.
const EVIDENCE_TIMEOUT: Duration = Duration::from_secs(6);

/// Interval between checks for such evidence.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Whether a process is still running.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ProcessStatus {
    /// The process has exited.
    Exited,
    /// The process accepts connections.
    Alive,
    /// There is no evidence either way.
    Unknown,
}

impl ProcessStatus {
    /// Returns the name in logs and metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            ProcessStatus::Exited => "ended",
            ProcessStatus::Alive => "lives",
            ProcessStatus::Unknown => "unknown",
        }
    }
}

/// Checks by a connection attempt whether a process is alive; a connection that succeeds is kept.
///
/// A process that exits may accept connections for a moment after it closed others, so a process
/// that seems to be alive is checked a second time.
pub(super) async fn check(member: &Backend) -> ProcessStatus {
    let first = probe_connection(member).await;
    if first != ProcessStatus::Alive {
        return first;
    }
    Timer::after(RECHECK_DELAY).await;
    probe_connection(member).await
}

/// Takes a kept connection to the process or opens a new one.
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

/// Checks a process again that was not found to have exited. If it does not answer, waits for
/// evidence from elsewhere.
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

/// Waits for evidence against a process that does not answer. The registry drops such a process
/// after a while.
async fn wait_for_evidence(member: &Backend) -> ProcessStatus {
    let mut waited = Duration::ZERO;
    while waited < EVIDENCE_TIMEOUT {
        if member.has_ended() || member.is_removed() {
            return ProcessStatus::Exited;
        }
        Timer::after(POLL_INTERVAL).await;
        waited += POLL_INTERVAL;
    }
    ProcessStatus::Unknown
}
