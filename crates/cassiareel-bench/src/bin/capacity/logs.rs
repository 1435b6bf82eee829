//! The cost of decision log lines and of metrics.

use std::{
    io,
    net::UdpSocket,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    time::Instant,
};

use cassiareel::observe::{json_logger, Counter, Metrics};
use cassiareel_bench::process;

use super::Figure;

/// The figures of logs and metrics.
pub const FIGURES: [Figure; 4] = [
    Figure {
        name: "decision line, processor time of the process",
        unit: "us",
        per: "line",
        sizes: &[50_000, 100_000, 200_000],
        run: |lines| write_lines(lines).0,
    },
    Figure {
        name: "decision line, time of the request's thread",
        unit: "us",
        per: "line",
        sizes: &[2_000, 4_000, 8_000],
        run: |lines| write_lines(lines).1,
    },
    Figure {
        name: "decision line, bytes written",
        unit: "bytes",
        per: "line",
        sizes: &[2_000, 4_000, 8_000],
        run: |lines| write_lines(lines).2,
    },
    Figure {
        name: "metric by UDP, processor time of the process",
        unit: "us",
        per: "metric",
        sizes: &[100_000, 200_000, 400_000],
        run: send_metrics,
    },
];

/// Number of lines between waits for the writing thread, so that no line is dropped.
const LINES_BATCH: usize = 4_000;

/// A writer that counts the bytes written to it.
#[derive(Clone, Default)]
struct ByteCounter(Arc<AtomicU64>);

impl io::Write for ByteCounter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.fetch_add(buf.len() as u64, Ordering::Relaxed);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes routing log lines. Returns the processor time of the process and the elapsed time of this
/// thread, both in microseconds, and the number of bytes written.
fn write_lines(lines: usize) -> (f64, f64, f64) {
    let written = ByteCounter::default();
    let cpu = process::cpu_time();
    let mut thread_us = 0.0;
    let mut remaining = lines;
    while remaining > 0 {
        let batch = remaining.min(LINES_BATCH);
        let log = json_logger(written.clone());
        let log = log.new(slog::o!("node" => "zg1-a", "request" => "r-0123456789abcdef",
            "generation" => "g-0123456789abcdef", "account" => "wedding-shops", "caller" => "till-7",
            "service" => "draft"));
        let start = Instant::now();
        for i in 0..batch {
            slog::info!(log, "routed"; "attempt" => 1, "version" => "v1", "policy" => "first-token",
                "choice" => "10.20.30.40:8000", "score" => i, "reason" => "cached prefix",
                "candidates" => "10.20.30.41:8000 1.25 score, 10.20.30.42:8000 1.50 score");
        }
        thread_us += start.elapsed().as_secs_f64() * 1e6;
        // Dropping the last logger waits until all lines are written.
        drop(log);
        remaining -= batch;
    }
    let cpu = (process::cpu_time() - cpu).as_secs_f64() * 1e6;
    (cpu, thread_us, written.0.load(Ordering::Relaxed) as f64)
}

/// Sends metrics to a socket of this process. Returns the processor time of the process in
/// microseconds.
fn send_metrics(metrics: usize) -> f64 {
    let server = UdpSocket::bind(("127.0.0.1", 0)).expect("a loopback port is free");
    let addr = server.local_addr().expect("the socket is bound");
    let cpu = process::cpu_time();
    let sender = Metrics::udp(addr).expect("a loopback port is free");
    for _ in 0..metrics {
        sender.count(
            Counter::Requests,
            1,
            &[("service", "draft"), ("outcome", "complete")],
        );
    }
    drop(sender);
    (process::cpu_time() - cpu).as_secs_f64() * 1e6
}
