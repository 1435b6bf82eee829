//! The result of a run.

use std::time::Duration;

use hdrhistogram::Histogram;

/// The measurements of a run.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// Times to the first token in microseconds.
    pub first_token: Histogram<u64>,
    /// Times between tokens in microseconds.
    pub between_tokens: Histogram<u64>,
    /// Requests that arrived.
    pub offered: u64,
    /// Completed requests whose first token came in time and while the load lasted.
    pub good: u64,
    /// Completed requests.
    pub completed: u64,
    /// Requests that were refused without running.
    pub refused: u64,
    /// Requests that were neither completed nor refused.
    pub incomplete: u64,
    /// Fraction of the prompt tokens that were found in a cache.
    pub hit_ratio: f64,
    /// Prompt tokens of attempts that were lost with their engine. The prompt of a resumed attempt
    /// includes the tokens generated before.
    pub wasted_tokens: u64,
    /// Steps after which an engine used more than its memory.
    pub overflows: u64,
    /// Tokens (prompt and answer) of completed requests whose answer began while the load lasted,
    /// by account.
    pub served_by_account: Vec<f64>,
    /// Tokens of all requests, by account.
    pub requested_by_account: Vec<f64>,
    /// The same as `served_by_account` for each caller of the first account.
    pub served_by_caller: Vec<f64>,
    /// Tokens of all requests, by caller of the first account.
    pub requested_by_caller: Vec<f64>,
    /// Time during which requests were measured.
    pub duration: Duration,
}

/// Largest value of the histograms, in microseconds.
const MAX_TIME_US: u64 = 600_000_000;

impl RunResult {
    pub(super) fn new(accounts: usize, callers: usize, duration: Duration) -> RunResult {
        // INVARIANT: the maximum and the precision are valid.
        let histogram = || Histogram::new_with_max(MAX_TIME_US, 3).expect("the bounds are valid");
        RunResult {
            first_token: histogram(),
            between_tokens: histogram(),
            offered: 0,
            good: 0,
            completed: 0,
            refused: 0,
            incomplete: 0,
            hit_ratio: 0.0,
            wasted_tokens: 0,
            overflows: 0,
            served_by_account: vec![0.0; accounts],
            requested_by_account: vec![0.0; accounts],
            served_by_caller: vec![0.0; callers],
            requested_by_caller: vec![0.0; callers],
            duration,
        }
    }

    /// Returns a quantile of the time to the first token, in milliseconds.
    pub fn first_token_ms(&self, quantile: f64) -> f64 {
        self.first_token.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Returns a quantile of the time between tokens, in milliseconds.
    pub fn between_tokens_ms(&self, quantile: f64) -> f64 {
        self.between_tokens.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Returns the number of good requests per second.
    pub fn goodput(&self) -> f64 {
        self.good as f64 / self.duration.as_secs_f64()
    }

    /// Returns Jain's fairness index across accounts, of the tokens that each was served divided by
    /// its fair share.
    pub fn account_fairness(&self) -> f64 {
        fairness_index(&self.served_by_account, &self.requested_by_account)
    }

    /// Returns Jain's fairness index across the callers of the first account.
    pub fn caller_fairness(&self) -> f64 {
        fairness_index(&self.served_by_caller, &self.requested_by_caller)
    }
}

/// Returns Jain's fairness index: 1 if all values are equal, 1/n if one of n has everything.
///
/// # Examples
///
/// ```
/// use cassiareel_bench::model::jain;
///
/// assert_eq!(jain(&[2.0, 2.0, 2.0]), 1.0);
/// assert_eq!(jain(&[1.0, 0.0]), 0.5);
/// ```
pub fn jain(values: &[f64]) -> f64 {
    let sum: f64 = values.iter().sum();
    let squares: f64 = values.iter().map(|v| v * v).sum();
    if squares == 0.0 {
        return 1.0;
    }
    sum * sum / (values.len() as f64 * squares)
}

/// Returns Jain's index of the served amounts, each divided by its max-min fair share of the total
/// served.
fn fairness_index(served: &[f64], demand: &[f64]) -> f64 {
    let shares = fair_shares(served.iter().sum(), demand);
    let parts: Vec<f64> = served
        .iter()
        .zip(&shares)
        .filter(|(_, &share)| share > 0.0)
        .map(|(&served, &share)| served / share)
        .collect();
    jain(&parts)
}

/// Returns the max-min fair shares of a total: each gets its demand or an equal part of the rest.
fn fair_shares(total: f64, demand: &[f64]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demand.len()).collect();
    order.sort_by(|&a, &b| demand[a].total_cmp(&demand[b]));
    let mut shares = vec![0.0; demand.len()];
    let mut remaining = total;
    for (assigned, &i) in order.iter().enumerate() {
        let part = remaining / (demand.len() - assigned) as f64;
        shares[i] = demand[i].min(part);
        remaining -= shares[i];
    }
    shares
}
