/*!
What is usual for a version, and what is several times slower.

Times of requests differ by their sizes and by what runs beside them, so that means are taken of
logarithms: a few very long ones don't hide the rest. Sums add up over nodes, none of which sees enough
by itself.
*/

use serde::{Deserialize, Serialize};

/// How many times as long as usual is too slow.
const SLOWER: f64 = 2.5;

/// Values from which a mean is usual.
const ENOUGH: u64 = 8;

/// The least value, in the unit of the values, so that each has a logarithm.
const LEAST: f64 = 1e-9;

/// Sums over logarithms of times.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LogTimes {
    /// How many.
    pub count: u64,
    /// The sum of their natural logarithms.
    #[serde(rename = "logs")]
    pub log_sum: f64,
}

impl LogTimes {
    /// Adds a time, in any unit that is the same for all.
    pub fn record(&mut self, time: f64) {
        self.count += 1;
        self.log_sum += time.max(LEAST).ln();
    }

    /// The sum of two nodes' sums.
    pub fn merge(self, other: LogTimes) -> LogTimes {
        LogTimes {
            count: self.count + other.count,
            log_sum: self.log_sum + other.log_sum,
        }
    }

    /// What is usual, where enough was seen.
    pub fn baseline(self) -> Baseline {
        let mean = || (self.log_sum / self.count as f64).exp();
        Baseline((self.count >= ENOUGH).then(mean))
    }
}

/// A usual time; `None` where it is not known.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Baseline(Option<f64>);

impl Baseline {
    /// Reports whether a time is several times as long.
    pub fn is_slow(self, time: f64) -> bool {
        self.0.is_some_and(|usual| time > usual * SLOWER)
    }
}

/// Usual times of one version.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Baselines {
    /// To an answer or a first event, by the size of its request.
    pub first: Baseline,
    /// Between events.
    pub gap: Baseline,
}
