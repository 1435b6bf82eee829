//! The logger, which writes JSON lines with `slog`.

use std::{io, sync::Mutex};

use slog::{o, Drain, Logger};

/// Maximum number of lines that wait for the writing thread; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 8192;

/// Returns a logger that writes JSON lines to `out` from its own thread.
///
/// If the queue is full, lines are dropped. The number of dropped lines is logged once there is room
/// again.
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
        .chan_size(MAX_QUEUED_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build();
    Logger::root(drain.fuse(), o!())
}
