/*!
The decision log and the metrics.

Logs are JSON lines, one for each routing or placement decision, written by a thread of their own.
*/

mod log;

pub use log::json_logger;
