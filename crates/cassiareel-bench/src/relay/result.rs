//! The result of a run for its callers.

use std::fmt;

use super::{
    pattern::ACCOUNTS,
    stream::{Class, Stream, PREMIUM, STANDARD},
};

/// The figures of one run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Number of streams.
    pub stream_count: usize,
    /// Number of streams that were complete and in time.
    pub in_time: usize,
    /// Fraction of streams that were complete and in time, of the accounts with their usual rate.
    pub others_in_time: f64,
    /// Fractions of streams that were complete and in time, of the higher and the lower priority.
    pub priority_in_time: [f64; 2],
    /// The smallest fraction in time of streams of one account or of a third of the prompt sizes.
    pub worst_in_time: f64,
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
            priority_in_time: [PREMIUM, STANDARD].map(|class| in_time_part(streams, class)),
            worst_in_time: worst_in_time(streams),
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

/// Returns the fraction of the streams of a class that were complete and in time.
fn in_time_part(streams: &[Stream], class: Class) -> f64 {
    part_in_time(streams, |s| s.class == class)
}

/// Returns the smallest fraction in time of streams of one account or of a third of the prompt
/// sizes.
fn worst_in_time(streams: &[Stream]) -> f64 {
    let accounts = (0..ACCOUNTS).map(|account| part_in_time(streams, |s| s.account == account));
    let sizes = (0..3).map(|third| part_in_time(streams, |s| s.size_third() == third));
    accounts.chain(sizes).fold(1.0, f64::min)
}

/// Returns the fraction of some of the streams that were complete and in time.
fn part_in_time<F>(streams: &[Stream], counts: F) -> f64
where
    F: Fn(&Stream) -> bool,
{
    let counted: Vec<&Stream> = streams.iter().filter(|s| counts(s)).collect();
    let in_time = counted.iter().filter(|s| s.is_in_time()).count();
    in_time as f64 / counted.len().max(1) as f64
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
