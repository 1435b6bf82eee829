//! Tests of the most recent decision lines.

use std::{
    io,
    sync::{Arc, Mutex},
};

use slog::{info, o, Drain, Logger};

use super::RecentLines;

/// A shared buffer that log lines are written to.
#[derive(Clone, Default)]
struct Sink(Arc<Mutex<Vec<u8>>>);

impl io::Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_of_a_request_are_stored_with_the_fields_of_their_logger() {
    let sink = Sink::default();
    let json = slog_json::Json::new(sink.clone())
        .set_newlines(true)
        .build();
    let root = Logger::root(Mutex::new(json).map(slog::Fuse), o!("node" => "n1"));
    let recent = RecentLines::new();
    let log = recent
        .tee(&root)
        .new(o!("request" => "r1", "account" => "mira"));
    info!(log, "routed"; "attempt" => 2u32, "choice" => None::<&str>);
    info!(recent.tee(&root), "started");
    info!(log.new(o!("request" => "r2")), "routed");
    let lines = recent.find("r1");
    assert_eq!(lines.len(), 1);
    assert_eq!(lines[0]["msg"], "routed");
    assert_eq!(lines[0]["account"], "mira");
    assert_eq!(lines[0]["attempt"], 2);
    assert!(lines[0]["choice"].is_null());
    assert_eq!(recent.find("r2").len(), 1);
    // The underlying log has every line, with the fields of all loggers.
    let text = String::from_utf8(sink.0.lock().unwrap().clone()).unwrap();
    assert_eq!(text.lines().count(), 3);
    assert!(text.lines().all(|line| line.contains("\"node\":\"n1\"")));
    assert!(text
        .lines()
        .next()
        .unwrap()
        .contains("\"account\":\"mira\""));
}

#[test]
fn oldest_lines_are_dropped_and_counted() {
    let recent = RecentLines::with_max_bytes(1000);
    let log = recent.tee(&Logger::root(slog::Discard, o!()));
    for i in 0..100 {
        info!(log, "routed"; "request" => format!("r{i}"));
    }
    assert!(recent.find("r0").is_empty());
    assert_eq!(recent.find("r99").len(), 1);
    let stored = (0..100).filter(|i| !recent.find(&format!("r{i}")).is_empty());
    assert_eq!(recent.dropped() + stored.count() as u64, 100);
}

#[test]
fn line_over_the_maximum_is_dropped() {
    let recent = RecentLines::with_max_bytes(10);
    let log = recent.tee(&Logger::root(slog::Discard, o!()));
    info!(log, "a line that is longer than the bound"; "request" => "r1");
    assert_eq!((recent.find("r1").len(), recent.dropped()), (0, 1));
}
