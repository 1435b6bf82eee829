//! What every policy has in common: who is fit, and the shape of a choice.

use super::{Candidate, Choice, RoutingRequest, SkipReason};

/// Tells why a candidate can't be chosen at all.
pub(super) fn fitness(ask: &RoutingRequest, candidate: &Candidate<'_>) -> Option<SkipReason> {
    if candidate.skip_reason.is_some() {
        candidate.skip_reason
    } else if candidate.health <= 0.0 {
        Some(SkipReason::Ejected)
    } else if ask.memory_tokens() > candidate.free_tokens {
        Some(SkipReason::Memory)
    } else {
        None
    }
}

/// Makes a choice of an index and each candidate's score and unfitness.
pub(super) fn settle(index: Option<usize>, mut scores: Vec<(f64, Option<SkipReason>)>) -> Choice {
    for (i, score) in scores.iter_mut().enumerate() {
        if score.1.is_none() && index != Some(i) {
            score.1 = Some(SkipReason::Score);
        }
    }
    Choice { index, scores }
}

/// Finds the fit candidate with the lowest score, looking from `start` on, so that ties fall to the
/// first one there.
pub(super) fn lowest(scores: &[(f64, Option<SkipReason>)], start: u64) -> Option<usize> {
    let start = (start % scores.len().max(1) as u64) as usize;
    (0..scores.len())
        .map(|i| (start + i) % scores.len())
        .filter(|&i| scores[i].1.is_none())
        .min_by(|&a, &b| scores[a].0.total_cmp(&scores[b].0))
}
