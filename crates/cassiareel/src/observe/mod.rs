/*!
The decision log and the metrics.

Logs are JSON lines, one for each routing or placement decision, written by a thread of their own.
Metrics go to a StatsD server; neither ever holds a request up.
*/

mod log;
mod metrics;
#[cfg(test)]
mod metrics_tests;
mod recent;
#[cfg(test)]
mod recent_tests;

pub use log::json_logger;
pub use metrics::{Counter, Gauge, Metrics, Timer};
pub use recent::RecentLines;
