/*!
The typical times of a version, and which times are several times longer.

The times of requests vary with the requests' sizes and with the load beside them, so geometric
means are used: a few very long times do not hide the others. Sums of several nodes can be merged,
since no single node sees enough requests.
*/

use serde::{Deserialize, Serialize};

/// The multiple of the baseline above which a time counts as slow.
const SLOW_FACTOR: f64 = 2.5;

/// The number of times from which on their mean is used as a baseline.
const MIN_SAMPLES: u64 = 8;

/// The smallest recorded value, in the unit of the values, so that each has a logarithm.
const MIN_VALUE: f64 = 1e-9;

/// The number of recorded times and the sum of their logarithms.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LogTimes {
    /// The number of recorded times.
    pub count: u64,
    /// The sum of their natural logarithms.
    #[serde(rename = "logs")]
    pub log_sum: f64,
}

impl LogTimes {
    /// Records a time, in any unit that is the same for all.
    pub fn record(&mut self, time: f64) {
        self.count += 1;
        self.log_sum += time.max(MIN_VALUE).ln();
    }

    /// Returns the sum of both, as recorded by two nodes.
    pub fn merge(self, other: LogTimes) -> LogTimes {
        LogTimes {
            count: self.count + other.count,
            log_sum: self.log_sum + other.log_sum,
        }
    }

    /// Returns the baseline, which is unknown before enough times are recorded.
    pub fn baseline(self) -> Baseline {
        let mean = || (self.log_sum / self.count as f64).exp();
        Baseline((self.count >= MIN_SAMPLES).then(mean))
    }
}

/// The typical value of a time; `None` if too few times were recorded.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Baseline(Option<f64>);

impl Baseline {
    /// Reports whether a time exceeds the baseline several times over; `false` if none is known.
    pub fn is_slow(self, time: f64) -> bool {
        self.0.is_some_and(|baseline| time > baseline * SLOW_FACTOR)
    }
}

/// The typical times of one version.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Baselines {
    /// The time to an answer or to the first event, divided by the size of the request.
    pub first: Baseline,
    /// The time between events.
    pub gap: Baseline,
}
