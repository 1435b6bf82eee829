//! Routing decisions, as recorded for the log and for operators.

use std::fmt::Write;

use crate::kernel::{
    routing::{Candidate, Choice, SkipReason},
    BackendId,
};

/// Number of candidates that a decision lists; the others are only counted.
const MAX_LISTED: usize = 6;

/// Why a choice was made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The policy gave the server the best score, or picked it at random among the best.
    Policy,
    /// The server was ejected, and this request is a trial of it.
    Trial,
    /// No candidate can take the request.
    NoneFit,
    /// The settings place no backend server for the version.
    Unplaced,
}

impl Reason {
    /// Returns the name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Reason::Policy => "policy",
            Reason::Trial => "trial",
            Reason::NoneFit => "none_fit",
            Reason::Unplaced => "unplaced",
        }
    }
}

/// A candidate of a decision.
#[derive(Clone, Debug, PartialEq)]
pub struct ScoredCandidate {
    /// The backend server.
    pub backend: BackendId,
    /// Its score; lower is better.
    pub score: f64,
    /// Leading blocks of the prompt that are expected in its cache.
    pub cached: u32,
    /// Estimated number of outstanding requests.
    pub outstanding: u32,
    /// Why it was not chosen; none for the chosen one.
    pub skip_reason: Option<SkipReason>,
}

/// A routing decision.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// The policy's name.
    pub policy: &'static str,
    /// Why the choice was made.
    pub reason: Reason,
    /// The chosen backend server.
    pub chosen: Option<BackendId>,
    /// The chosen candidate and the best of the others.
    pub listed: Vec<ScoredCandidate>,
    /// Number of candidates that are not listed.
    pub omitted: usize,
}

impl Decision {
    /// Creates a decision without candidates.
    pub(super) fn unplaced(policy: &'static str) -> Decision {
        Decision {
            policy,
            reason: Reason::Unplaced,
            chosen: None,
            listed: Vec::new(),
            omitted: 0,
        }
    }

    /// Creates the record of a choice.
    pub(super) fn new(
        policy: &'static str,
        reason: Reason,
        candidates: &[Candidate<'_>],
        choice: &Choice,
    ) -> Decision {
        let order = best_first(choice);
        let listed: Vec<ScoredCandidate> = order
            .iter()
            .map(|&i| ScoredCandidate {
                backend: candidates[i].backend.clone(),
                score: choice.scores[i].0,
                cached: candidates[i].cached_blocks,
                outstanding: candidates[i].outstanding,
                skip_reason: choice.scores[i].1,
            })
            .collect();
        Decision {
            policy,
            reason,
            chosen: choice.index.map(|i| candidates[i].backend.clone()),
            omitted: candidates.len() - listed.len(),
            listed,
        }
    }

    /// Formats the listed candidates for one field of a log line, such as
    /// `10.0.0.1:80 score=12.5 cached=3 outstanding=4 chosen; 10.0.0.2:80 score=...`.
    pub fn format_candidates(&self) -> String {
        let mut text = String::new();
        for (i, c) in self.listed.iter().enumerate() {
            let separator = if i > 0 { "; " } else { "" };
            let skip_reason = c.skip_reason.map_or("chosen", SkipReason::name);
            // Writing to a string can't fail.
            let _ = write!(
                text,
                "{separator}{} score={:.1} cached={} outstanding={} {skip_reason}",
                c.backend, c.score, c.cached, c.outstanding
            );
        }
        text
    }
}

/// Returns the first [`MAX_LISTED`] candidates: the chosen one, then those that lost by score in
/// ascending order, then the others.
fn best_first(choice: &Choice) -> Vec<usize> {
    let rank = |i: usize| {
        let (score, skip_reason) = &choice.scores[i];
        let class = match skip_reason {
            None => 0u8,
            Some(SkipReason::Score) => 1,
            Some(_) => 2,
        };
        (class, score.max(0.0).to_bits())
    };
    let mut best: Vec<((u8, u64), usize)> = Vec::with_capacity(MAX_LISTED + 1);
    for i in 0..choice.scores.len() {
        let rank = rank(i);
        if best.len() == MAX_LISTED && best[MAX_LISTED - 1].0 <= rank {
            continue;
        }
        let at = best.partition_point(|(other, _)| *other <= rank);
        best.insert(at, (rank, i));
        best.truncate(MAX_LISTED);
    }
    best.into_iter().map(|(_, i)| i).collect()
}
