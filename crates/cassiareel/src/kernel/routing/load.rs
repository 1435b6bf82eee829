/*!
The load of a backend server as estimated by one node.

Reports are stale when they arrive. The node therefore adds the requests that it has sent itself
since the report was made and subtracts those that have ended. The other nodes that share the server
read the same report and behave alike, so a part of the node's own change is added for each of them.
*/

use std::{
    sync::atomic::{AtomicI32, AtomicU32, AtomicU64, Ordering},
    time::Duration,
};

use crate::kernel::Time;

/// The part of a server's load report that routing uses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReportedLoad {
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Time between tokens, in milliseconds.
    pub token_ms: f32,
    /// Age of the report.
    pub age: Duration,
}

/// Duration of one span of the request counts.
const SPAN: Duration = Duration::from_millis(256);
/// Number of spans that are kept. A report older than all of them is corrected only by the counts
/// that are still kept.
const SPAN_COUNT: usize = 64;
/// Time after which a report is ignored as stale.
const STALE_AFTER: Duration = Duration::from_secs(15);
/// Fraction of the node's own change that is added for each other node sharing the server.
const SHARER_WEIGHT: f64 = 0.5;
/// Weight of the newest time to first token in the slowdown.
const SLOWDOWN_GAIN: f32 = 0.1;
/// Fraction by which the slowdown returns to 1 with each report if it is not measured again.
const SLOWDOWN_DECAY: f32 = 0.01;
/// Lower and upper bound of the slowdown.
const SLOWDOWN_RANGE: (f32, f32) = (0.2, 20.0);

/// The load of a server.
///
/// All fields are atomics, so that requests on any thread read and update them without a lock. A
/// reader may see a mix of two states, which only leads to a slightly worse choice.
#[derive(Debug)]
pub struct Load {
    running: AtomicU32,
    waiting: AtomicU32,
    token_ms: AtomicU32,
    reported_at: AtomicU64,
    slowdown: AtomicU32,
    open_requests: AtomicU32,
    backlog_tokens: AtomicU64,
    // Requests sent minus requests ended by this node since the report was made.
    since_report: AtomicI32,
    // The number of a span in the upper 32 bits; requests sent minus requests ended in the lower
    // 32.
    spans: [AtomicU64; SPAN_COUNT],
}

impl Default for Load {
    fn default() -> Load {
        Load {
            running: AtomicU32::new(0),
            waiting: AtomicU32::new(0),
            token_ms: AtomicU32::new(0),
            reported_at: AtomicU64::new(0),
            slowdown: AtomicU32::new(1f32.to_bits()),
            open_requests: AtomicU32::new(0),
            backlog_tokens: AtomicU64::new(0),
            since_report: AtomicI32::new(0),
            spans: std::array::from_fn(|_| AtomicU64::new(0)),
        }
    }
}

impl Load {
    /// Records a load report.
    pub fn record_report(&self, now: Time, reported: &ReportedLoad) {
        // The span in which the report was made counts if most of it lies after the report.
        let first = span_number(now.saturating_sub(reported.age) + SPAN / 2);
        let since: i32 = self
            .spans
            .iter()
            .map(|s| unpack(s.load(Ordering::Relaxed)))
            .filter(|&(number, _)| number >= first)
            .map(|(_, count)| count)
            .sum();
        self.running.store(reported.running, Ordering::Relaxed);
        self.waiting.store(reported.waiting, Ordering::Relaxed);
        self.token_ms
            .store(reported.token_ms.to_bits(), Ordering::Relaxed);
        self.since_report.store(since, Ordering::Relaxed);
        self.reported_at.store(micros(now), Ordering::Relaxed);
        let slowdown = self.slowdown();
        self.set_slowdown(slowdown + SLOWDOWN_DECAY * (1.0 - slowdown));
    }

    /// Records a sent request and the number of prompt tokens that the server must prefill for it.
    pub fn record_send(&self, now: Time, read: u64) {
        self.open_requests.fetch_add(1, Ordering::Relaxed);
        self.backlog_tokens.fetch_add(read, Ordering::Relaxed);
        self.count(now, 1);
    }

    /// Records a first token, the time it took and the expected time.
    pub fn record_first_token(&self, read: u64, took: Duration, expected: Duration) {
        self.backlog_tokens.fetch_sub(read, Ordering::Relaxed);
        let ratio = took.as_secs_f32() / expected.as_secs_f32().max(f32::MIN_POSITIVE);
        let slowdown = self.slowdown();
        self.set_slowdown(slowdown + SLOWDOWN_GAIN * (ratio - slowdown));
    }

    /// Removes from the backlog what a request without a first token added to it.
    pub fn cancel_backlog(&self, read: u64) {
        self.backlog_tokens.fetch_sub(read, Ordering::Relaxed);
    }

    /// Records the end of a request. Without a time, only the count of open requests changes.
    pub fn record_end(&self, now: Option<Time>) {
        self.open_requests.fetch_sub(1, Ordering::Relaxed);
        if let Some(now) = now {
            self.count(now, -1);
        }
    }

    /// Estimates the outstanding requests of all nodes at the server.
    pub fn outstanding(&self, now: Time, sharers: u32) -> u32 {
        let open = self.open_requests();
        if self.is_stale(now) {
            return open.saturating_mul(sharers.max(1));
        }
        let (running, waiting) = (&self.running, &self.waiting);
        let reported = running
            .load(Ordering::Relaxed)
            .saturating_add(waiting.load(Ordering::Relaxed));
        let since = f64::from(self.since_report.load(Ordering::Relaxed)) * sharer_factor(sharers);
        let corrected = (f64::from(reported) + since).max(0.0).round() as u32;
        corrected.max(open)
    }

    /// Estimates the prompt tokens of all nodes that wait for their first token at the server.
    pub fn backlog_tokens(&self, sharers: u32) -> u64 {
        (self.own_backlog_tokens() as f64 * sharer_factor(sharers)) as u64
    }

    /// Returns the prompt tokens of this node that wait for their first token at the server.
    pub fn own_backlog_tokens(&self) -> u64 {
        self.backlog_tokens.load(Ordering::Relaxed)
    }

    /// Returns the number of requests that this node has open at the server.
    pub fn open_requests(&self) -> u32 {
        self.open_requests.load(Ordering::Relaxed)
    }

    /// Returns the time between tokens in milliseconds, or 0 if it is unknown.
    pub fn token_ms(&self) -> f32 {
        f32::from_bits(self.token_ms.load(Ordering::Relaxed))
    }

    /// Returns the recent ratio of the measured to the expected time to the first token.
    pub fn slowdown(&self) -> f32 {
        f32::from_bits(self.slowdown.load(Ordering::Relaxed))
    }

    fn is_stale(&self, now: Time) -> bool {
        let at = self.reported_at.load(Ordering::Relaxed);
        at == 0 || micros(now).saturating_sub(at) > micros(STALE_AFTER)
    }

    fn set_slowdown(&self, slowdown: f32) {
        let slowdown = slowdown.clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1);
        self.slowdown.store(slowdown.to_bits(), Ordering::Relaxed);
    }

    fn count(&self, now: Time, by: i32) {
        self.since_report.fetch_add(by, Ordering::Relaxed);
        let number = span_number(now);
        let next = |packed: u64| {
            let (kept, count) = unpack(packed);
            let count = if kept == number { count } else { 0 };
            Some(pack(number, count + by))
        };
        let span = &self.spans[number as usize % SPAN_COUNT];
        // The closure always returns a value, so this can't fail.
        let _ = span.fetch_update(Ordering::Relaxed, Ordering::Relaxed, next);
    }
}

/// Returns the factor from the node's own change to that of all nodes sharing the server.
fn sharer_factor(sharers: u32) -> f64 {
    1.0 + SHARER_WEIGHT * f64::from(sharers.max(1) - 1)
}

/// Returns the number of the span that contains a time. Numbers start at 1.
fn span_number(time: Time) -> u32 {
    (time.as_millis() / SPAN.as_millis()) as u32 + 1
}

fn pack(number: u32, count: i32) -> u64 {
    u64::from(number) << 32 | u64::from(count as u32)
}

fn unpack(packed: u64) -> (u32, i32) {
    ((packed >> 32) as u32, packed as u32 as i32)
}

/// Returns a time in microseconds, at least 1, since 0 stands for no time.
fn micros(time: Time) -> u64 {
    (time.as_micros() as u64).max(1)
}
