//! JSON lines by `slog`.

use std::{io, sync::Mutex};

use slog::{o, Drain, Logger};

/// Lines that wait for the writing thread before further ones are dropped and counted.
const QUEUE_LINES: usize = 8192;

/// A logger that writes JSON lines to `out` from a thread of its own.
///
/// A line that finds the queue full is dropped, and the count of dropped lines is logged when there
/// is room again.
///
/// # Examples
///
/// ```
/// let log = cassiareel::observe::json_logger(std::io::sink());
/// slog::info!(log, "started"; "node" => "n1");
/// ```
pub fn json_logger<W>(out: W) -> Logger
where
    W: io::Write + Send + 'static,
{
    let json = slog_json::Json::new(out)
        .add_default_keys()
        .set_newlines(true)
        .build();
    let drain = slog_async::Async::new(Mutex::new(json).map(slog::Fuse))
        .chan_size(QUEUE_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build();
    Logger::root(drain.fuse(), o!())
}
