use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, Bytes, DurationMilliSeconds};

use super::{super::ticket::ShortDigest, stored_time, Time};

/// The maximum number of parts that a loss names. The first ones are kept, since these are the ones
/// that requests share.
const MAX_LOSS_PARTS: usize = 16;

/// Identifies one attempt of a caller.
pub type AttemptKey = u64;

/// Identifies one part of a prompt; the same on all nodes.
pub type PartKey = u64;

/// Identifies one process of a backend server; the same on all nodes.
pub type ProcessKey = u64;

/// The crash of a backend server's process while it ran a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Loss {
    /// The request.
    pub content: ShortDigest,
    /// The attempt.
    pub attempt: AttemptKey,
    /// The process.
    pub process: ProcessKey,
    /// The time of the crash on the clock of the node that observed it.
    pub at: Time,
    /// Whether the run had just begun.
    pub early: bool,
    /// The parts of the request's prompt in order, without the last one. Empty for a request
    /// without a prompt.
    pub parts: Arc<[PartKey]>,
}

impl Loss {
    /// Returns the loss as it is kept: with those parts for which `is_kept` holds, if the run had
    /// just begun.
    pub(super) fn stored<F>(self, is_kept: F) -> Loss
    where
        F: Fn(&PartKey) -> bool,
    {
        let parts = self.parts.iter().copied().filter(|part| is_kept(part));
        Loss {
            at: stored_time(self.at),
            parts: parts
                .take(if self.early { MAX_LOSS_PARTS } else { 0 })
                .collect(),
            ..self
        }
    }

    /// Returns the loss as it is sent to other nodes.
    pub(super) fn report(&self, now: Time) -> ReportedLoss {
        ReportedLoss {
            content: self.content,
            attempt: self.attempt,
            process: self.process,
            age: now.saturating_sub(self.at),
            parts: self.parts.to_vec(),
        }
    }
}

/// A loss as one node reports it to another.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReportedLoss {
    #[serde_as(as = "Bytes")]
    content: ShortDigest,
    attempt: AttemptKey,
    process: ProcessKey,
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub(super) age: Duration,
    /// Left out if empty, as in reports of builds that don't know of parts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) parts: Vec<PartKey>,
}

impl ReportedLoss {
    /// Returns the loss on the clock of this node, whose stored time is `now`.
    pub(super) fn received<F>(&self, is_kept: F, now: Time) -> Loss
    where
        F: Fn(&PartKey) -> bool,
    {
        let parts = self.parts.iter().copied().filter(|part| is_kept(part));
        Loss {
            content: self.content,
            attempt: self.attempt,
            process: self.process,
            at: now.saturating_sub(self.age),
            early: true,
            parts: parts.take(MAX_LOSS_PARTS).collect(),
        }
    }
}
