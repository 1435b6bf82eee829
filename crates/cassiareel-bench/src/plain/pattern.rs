//! Loads of a plain service.

use std::ops::Range;

/// A load of one plain service.
#[derive(Clone, Debug)]
pub struct PlainPattern {
    /// Number of nodes, which get the same load.
    pub nodes: usize,
    /// Number of servers.
    pub servers: usize,
    /// Requests that a server runs at once.
    pub slots: usize,
    /// Requests that wait at a server before it rejects others.
    pub queue: usize,
    /// Mean time of a request's work, in milliseconds.
    pub work_ms: f64,
    /// Demand as a part of the servers' capacity, outside of the burst.
    pub usual: f64,
    /// Demand as a part of the servers' capacity, in the burst.
    pub burst: f64,
    /// The time of the burst, in milliseconds.
    pub burst_ms: Range<f64>,
    /// Time during which requests arrive, in milliseconds.
    pub duration_ms: f64,
    /// Whether servers differ in speed, and change it all the time.
    pub uneven: bool,
}

impl PlainPattern {
    /// Returns a burst of `burst` times the capacity of a few servers for 12 seconds.
    pub fn burst(nodes: usize, servers: usize, burst: f64) -> PlainPattern {
        PlainPattern {
            nodes,
            servers,
            slots: 6,
            queue: 24,
            work_ms: 60.0,
            usual: 0.6,
            burst,
            burst_ms: 5_000.0..17_000.0,
            duration_ms: 22_000.0,
            uneven: false,
        }
    }

    /// Returns a steady load of `usual` times the capacity of servers of uneven speed.
    pub fn uneven(nodes: usize, servers: usize, usual: f64) -> PlainPattern {
        PlainPattern {
            usual,
            burst_ms: 0.0..0.0,
            duration_ms: 30_000.0,
            uneven: true,
            ..PlainPattern::burst(nodes, servers, usual)
        }
    }

    /// Returns the requests a second that the servers can run.
    pub fn capacity_per_s(&self) -> f64 {
        (self.servers * self.slots) as f64 / self.work_ms * 1000.0
    }

    /// Returns the requests that the servers can run in the burst.
    pub fn burst_capacity(&self) -> f64 {
        self.capacity_per_s() * (self.burst_ms.end - self.burst_ms.start) / 1000.0
    }

    /// Returns the requests a second that arrive at a time.
    pub(super) fn rate_at(&self, now: f64) -> f64 {
        let part = if self.burst_ms.contains(&now) {
            self.burst
        } else {
            self.usual
        };
        self.capacity_per_s() * part
    }
}
