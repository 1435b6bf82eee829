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
const CONNECT: Duration = Duration::from_millis(150);

/// How long the connection may have been idle by which a process is looked at again.
const KEPT: Duration = Duration::from_millis(1200);

/// The time after which a process that seems to live is looked at again.
const AGAIN: Duration = Duration::from_millis(60);

/// The times after which it is looked at once more, where it did not show that it ended: one that writes
/// out its memory may listen for a while, and a busy node may have had no time for an answer.
const LATER: [Duration; 2] = [Duration::from_millis(400), Duration::from_millis(1000)];

/// How long others' evidence is waited for where a connection showed nothing.
const WATCH: Duration = Duration::from_secs(6);

/// The time between looks for it.
const LOOK: Duration = Duration::from_millis(250);

/// What became of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Fate {
    /// It has ended.
    Ended,
    /// It listens.
    Lives,
    /// Nothing tells.
    Unknown,
}

impl Fate {
    /// The name in logs and metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            Fate::Ended => "ended",
            Fate::Lives => "lives",
            Fate::Unknown => "unknown",
        }
    }
}

/// Finds out what became of a process by a connection, which is kept where it lives.
///
/// A process that ends may accept connections for a moment after it closed others, so that one which
/// seems to live is looked at once more.
pub(super) async fn find(member: &Backend) -> Fate {
    let first = look(member).await;
    if first != Fate::Lives {
        return first;
    }
    Timer::after(AGAIN).await;
    look(member).await
}

/// Takes the connection that is kept, or opens one.
async fn look(member: &Backend) -> Fate {
    if member.has_ended() {
        return Fate::Ended;
    }
    match within(CONNECT, member.pool.take(KEPT, CONNECT)).await {
        Some(Ok(lease)) => {
            lease.put_back(None);
            Fate::Lives
        }
        Some(Err(SendError::Refused)) => {
            member.mark_ended();
            Fate::Ended
        }
        _ => Fate::Unknown,
    }
}

/// Looks again at a process that was not found to have ended, and waits for others' evidence of one that
/// does not answer.
pub(super) async fn find_later(member: &Backend) -> Fate {
    let mut found = Fate::Unknown;
    for wait in LATER {
        Timer::after(wait).await;
        found = look(member).await;
        if found == Fate::Ended {
            return found;
        }
    }
    if found == Fate::Lives {
        return found;
    }
    wait_known(member).await
}

async fn wait_known(member: &Backend) -> Fate {
    let mut waited = Duration::ZERO;
    while waited < WATCH {
        if member.has_ended() {
            return Fate::Ended;
        }
        Timer::after(LOOK).await;
        waited += LOOK;
    }
    Fate::Unknown
}
