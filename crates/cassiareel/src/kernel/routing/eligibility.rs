//! Eligibility of candidates and construction of a [`Choice`], shared by all policies.

use super::{Candidate, Choice, RoutingRequest, SkipReason};

/// The score of each candidate, the lowest being the best, and why it is not eligible.
pub(super) type Scores = Vec<(f64, Option<SkipReason>)>;

/// Returns the scores of candidates by `score`.
pub(super) fn scores<F>(request: &RoutingRequest, candidates: &[Candidate<'_>], score: F) -> Scores
where
    F: Fn(&Candidate<'_>) -> f64,
{
    let scored = |c: &Candidate<'_>| (score(c), skip_reason(request, c));
    candidates.iter().map(scored).collect()
}

/// Returns the index of the eligible candidate that is preceded by `n` others.
pub(super) fn nth_eligible(scores: &Scores, n: usize) -> Option<usize> {
    let indices = 0..scores.len();
    indices.filter(|&i| scores[i].1.is_none()).nth(n)
}

/// Returns why a candidate is not eligible, or `None` if it is.
fn skip_reason(request: &RoutingRequest, candidate: &Candidate<'_>) -> Option<SkipReason> {
    if candidate.skip_reason.is_some() {
        candidate.skip_reason
    } else if candidate.health <= 0.0 {
        Some(SkipReason::Ejected)
    } else if request.memory_tokens() > candidate.free_tokens {
        Some(SkipReason::Memory)
    } else {
        None
    }
}

/// Builds a choice from the chosen index and the score and skip reason of each candidate.
///
/// Eligible candidates that were not chosen get [`SkipReason::Score`].
pub(super) fn into_choice(index: Option<usize>, mut scores: Scores) -> Choice {
    for (i, score) in scores.iter_mut().enumerate() {
        if score.1.is_none() && index != Some(i) {
            score.1 = Some(SkipReason::Score);
        }
    }
    Choice { index, scores }
}

/// Returns the eligible candidate with the lowest score. The search starts at index `start` modulo
/// the number of candidates, and the first candidate found wins a tie.
pub(super) fn lowest_score(scores: &Scores, start: u64) -> Option<usize> {
    let start = (start % scores.len().max(1) as u64) as usize;
    (0..scores.len())
        .map(|i| (start + i) % scores.len())
        .filter(|&i| scores[i].1.is_none())
        .min_by(|&a, &b| scores[a].0.total_cmp(&scores[b].0))
}
