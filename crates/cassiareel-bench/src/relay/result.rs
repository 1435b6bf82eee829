//! The result of a run for its callers.

use std::fmt;

use super::stream::Stream;

/// The figures of one run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Number of streams.
    pub stream_count: usize,
    /// Number of streams that were complete and in time.
    pub in_time: usize,
    /// Fraction of streams that were complete and in time, of the accounts with their usual rate.
    pub others_in_time: f64,
    /// Number of streams that were refused.
    pub refused: usize,
    /// Number of tokens that were prefilled more than once.
    pub reread_tokens: u64,
    /// Times to the first event in milliseconds, in ascending order.
    first_event_times: Vec<f64>,
    /// Times to the end of streams in time in milliseconds, in ascending order.
    completion_times: Vec<f64>,
}

impl Outcome {
    pub(super) fn new(streams: &[Stream], reread_tokens: u64) -> Outcome {
        let first_events = streams.iter().filter(|s| !s.resumed);
        let first_events = first_events.filter_map(|s| Some(s.first_event? - s.arrived_at));
        let completed = streams.iter().filter(|s| s.is_in_time());
        let other_accounts: Vec<&Stream> = streams.iter().filter(|s| s.account > 0).collect();
        let served_others = other_accounts.iter().filter(|s| s.is_in_time()).count();
        Outcome {
            others_in_time: served_others as f64 / other_accounts.len().max(1) as f64,
            stream_count: streams.len(),
            in_time: streams.iter().filter(|s| s.is_in_time()).count(),
            refused: streams.iter().filter(|s| s.refused).count(),
            reread_tokens,
            first_event_times: sorted(first_events),
            completion_times: sorted(completed.map(|s| s.last_event - s.arrived_at)),
        }
    }

    /// Returns the fraction of streams that were complete and in time.
    pub fn goodput(&self) -> f64 {
        self.in_time as f64 / self.stream_count.max(1) as f64
    }

    /// Returns a quantile of the time to the first event, in milliseconds.
    pub fn first_event_ms(&self, fraction: f64) -> f64 {
        quantile(&self.first_event_times, fraction)
    }

    /// Returns a quantile of the time to the end of streams in time, in milliseconds.
    pub fn completion_ms(&self, fraction: f64) -> f64 {
        quantile(&self.completion_times, fraction)
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} | {:.3} | {} | {:.0} | {:.0} / {:.0} | {:.0}",
            self.stream_count,
            self.goodput(),
            self.refused,
            self.reread_tokens as f64 / 1000.0,
            self.first_event_ms(0.5),
            self.first_event_ms(0.95),
            self.completion_ms(0.5),
        )
    }
}

fn sorted<I>(values: I) -> Vec<f64>
where
    I: Iterator<Item = f64>,
{
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values
}

fn quantile(sorted: &[f64], fraction: f64) -> f64 {
    let last_index = sorted.len().saturating_sub(1);
    let index = (fraction * last_index as f64) as usize;
    sorted.get(index).copied().unwrap_or(0.0)
}
