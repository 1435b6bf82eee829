/*!
The log of decisions and the metrics.

The log has one JSON line for each routing or placement decision and is written by its own thread.
Metrics are sent to a StatsD server. Neither ever delays a request.
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
