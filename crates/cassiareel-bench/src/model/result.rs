//! What a run measured.

use std::time::Duration;

use hdrhistogram::Histogram;

/// What a run measured.
#[derive(Clone, Debug)]
pub struct Result {
    /// Times to the first token, in microseconds.
    pub first: Histogram<u64>,
    /// Times between tokens, in microseconds.
    pub between: Histogram<u64>,
    /// Requests that came.
    pub offered: u64,
    /// First tokens that came in time, of requests answered whole, while the load lasted.
    pub good: u64,
    /// Requests answered whole.
    pub whole: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Requests that ended early.
    pub broken: u64,
    /// Part of the prompts' tokens that were found in a cache.
    pub hits: f64,
    /// Tokens read or generated for attempts that were lost.
    pub wasted: u64,
    /// Steps after which an engine held more than its memory.
    pub overflows: u64,
    /// Tokens of whole answers and their prompts that began while the load lasted, by account.
    pub accounts: Vec<f64>,
    /// Tokens asked for, by account.
    pub asked: Vec<f64>,
    /// Tokens of whole answers and their prompts, by caller of the first account.
    pub callers: Vec<f64>,
    /// Tokens asked for, by caller of the first account.
    pub callers_asked: Vec<f64>,
    /// How long requests came.
    pub span: Duration,
}

/// Longest time that is told apart, in microseconds.
const LONGEST: u64 = 600_000_000;

impl Result {
    pub(super) fn new(accounts: usize, callers: usize, span: Duration) -> Result {
        // INVARIANT: the bounds and the precision are valid.
        let histogram = || Histogram::new_with_max(LONGEST, 3).expect("the bounds are valid");
        Result {
            first: histogram(),
            between: histogram(),
            offered: 0,
            good: 0,
            whole: 0,
            refused: 0,
            broken: 0,
            hits: 0.0,
            wasted: 0,
            overflows: 0,
            accounts: vec![0.0; accounts],
            asked: vec![0.0; accounts],
            callers: vec![0.0; callers],
            callers_asked: vec![0.0; callers],
            span,
        }
    }

    /// A quantile of the time to the first token, in milliseconds.
    pub fn first_ms(&self, quantile: f64) -> f64 {
        self.first.value_at_quantile(quantile) as f64 / 1e3
    }

    /// A quantile of the time between tokens, in milliseconds.
    pub fn between_ms(&self, quantile: f64) -> f64 {
        self.between.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Good requests a second.
    pub fn goodput(&self) -> f64 {
        self.good as f64 / self.span.as_secs_f64()
    }

    /// Jain's index across accounts, each served in proportion to its fair share.
    pub fn account_index(&self) -> f64 {
        index(&self.accounts, &self.asked)
    }

    /// Jain's index across the callers of the first account.
    pub fn caller_index(&self) -> f64 {
        index(&self.callers, &self.callers_asked)
    }
}

/// Jain's index: 1 where all are equal, 1 in n where one has everything.
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

/// Jain's index of what each got over its max-min fair share of all that was served.
fn index(got: &[f64], asked: &[f64]) -> f64 {
    let shares = fair_shares(got.iter().sum(), asked);
    let parts: Vec<f64> = got
        .iter()
        .zip(&shares)
        .filter(|(_, &share)| share > 0.0)
        .map(|(&got, &share)| got / share)
        .collect();
    jain(&parts)
}

/// Max-min fair shares of a total: each gets what it asked for or an equal part of the rest.
fn fair_shares(total: f64, asked: &[f64]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..asked.len()).collect();
    order.sort_by(|&a, &b| asked[a].total_cmp(&asked[b]));
    let mut shares = vec![0.0; asked.len()];
    let mut left = total;
    for (done, &i) in order.iter().enumerate() {
        let part = left / (asked.len() - done) as f64;
        shares[i] = asked[i].min(part);
        left -= shares[i];
    }
    shares
}
