//! What happened to the requests of a run.

use std::fmt;

/// The outcome of a run.
#[derive(Clone, Debug, Default)]
pub struct PlainOutcome {
    /// Requests that arrived, in the burst.
    pub asked: usize,
    /// Requests that were served in time, in the burst.
    pub in_time: usize,
    /// Requests that were served late.
    pub late: usize,
    /// Requests that were refused by their node at once.
    pub refused: usize,
    /// Requests that were refused after a server had rejected them.
    pub refused_after_send: usize,
    /// Arrivals at servers.
    pub arrivals: usize,
    /// Arrivals that servers rejected.
    pub rejected: usize,
    /// Times from arrival to refusal, in milliseconds.
    pub refusal_ms: Vec<f64>,
    /// Requests that arrived outside of the burst.
    pub calm_asked: usize,
    /// Those that were served in time.
    pub calm_in_time: usize,
    /// Requests that waited while a slot of another server was free, times the milliseconds.
    pub idle_wait_ms: f64,
    /// The work at each server, its requests over its speed, each 100 ms.
    pub work: Vec<f64>,
    /// Requests that the servers could have run in the burst.
    pub capacity: f64,
}

impl PlainOutcome {
    /// Returns the sums of two runs.
    pub fn merge(mut self, other: PlainOutcome) -> PlainOutcome {
        self.asked += other.asked;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.refused_after_send += other.refused_after_send;
        self.arrivals += other.arrivals;
        self.rejected += other.rejected;
        self.refusal_ms.extend(other.refusal_ms);
        self.calm_asked += other.calm_asked;
        self.calm_in_time += other.calm_in_time;
        self.idle_wait_ms += other.idle_wait_ms;
        self.work.extend(other.work);
        self.capacity += other.capacity;
        self
    }

    /// Returns the part of served requests that were late.
    pub fn late_part(&self) -> f64 {
        self.late as f64 / (self.in_time + self.late).max(1) as f64
    }

    /// Returns the part of arrivals at servers that were rejected.
    pub fn rejected_part(&self) -> f64 {
        self.rejected as f64 / self.arrivals.max(1) as f64
    }

    /// Returns the part of requests outside of the burst that were served in time.
    pub fn calm_part(&self) -> f64 {
        self.calm_in_time as f64 / self.calm_asked.max(1) as f64
    }

    /// Returns a quantile of the time from arrival to refusal, in milliseconds.
    pub fn refusal_quantile(&self, quantile: f64) -> f64 {
        self::quantile(&self.refusal_ms, quantile)
    }

    /// Returns the 99th percentile of the work at a server over the mean.
    pub fn work_excess(&self) -> f64 {
        let mean = self.work.iter().sum::<f64>() / self.work.len().max(1) as f64;
        quantile(&self.work, 0.99) / mean.max(f64::EPSILON)
    }

    /// Returns the time that a request waits on the mean while a slot of another server is free, in
    /// milliseconds.
    pub fn mean_idle_wait(&self) -> f64 {
        self.idle_wait_ms / (self.asked + self.calm_asked).max(1) as f64
    }
}

fn quantile(values: &[f64], quantile: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let index = (sorted.len() as f64 * quantile) as usize;
    let last = sorted.len().saturating_sub(1);
    sorted.get(index.min(last)).copied().unwrap_or(0.0)
}

impl fmt::Display for PlainOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} | {} | {:.3} | {:.3} | {} ({:.3}) | {} | {:.0} | {:.3}",
            self.asked,
            self.in_time,
            self.in_time as f64 / self.capacity,
            self.late_part(),
            self.rejected,
            self.rejected_part(),
            self.refused_after_send,
            self.refusal_quantile(0.99),
            self.calm_part(),
        )
    }
}
