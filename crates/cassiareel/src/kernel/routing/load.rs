/*!
A backend server's load as one node believes it.

Reports are late. What the node itself sent and saw end since the report's moment is counted on top,
and since the other nodes that share the server read the same report and do much the same, the
node's own difference stands for theirs too, in part.
*/

use std::{
    sync::atomic::{AtomicI32, AtomicU32, AtomicU64, Ordering},
    time::Duration,
};

use crate::kernel::Time;

/// What a server's report says, without what routing does not need.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Time between tokens, in milliseconds.
    pub token_ms: f32,
    /// How old the report is.
    pub age: Duration,
}

/// Span of one count of the recent past.
const SPAN: Duration = Duration::from_millis(256);
/// Counts kept: reports older than these are corrected by what the counts still hold.
const SPANS: usize = 64;
/// Time after which a report says nothing.
const STALE: Duration = Duration::from_secs(15);
/// Part of the node's own difference that each other sharer is believed to add.
const OTHERS: f64 = 0.5;
/// Weight of the newest time to a first token in the pace.
const PACE_GAIN: f32 = 0.1;
/// Part by which a pace that is not seen anew goes back to 1 with each report.
const PACE_DECAY: f32 = 0.01;
/// Bounds on the pace.
const PACE_RANGE: (f32, f32) = (0.2, 20.0);

/// A server's load. All of it is atomics, so that requests on any thread read and change it without
/// a lock; a reader may see a mix of two moments, which costs a slightly worse choice.
#[derive(Debug)]
pub struct Load {
    running: AtomicU32,
    waiting: AtomicU32,
    token_ms: AtomicU32,
    reported: AtomicU64,
    pace: AtomicU32,
    open: AtomicU32,
    backlog: AtomicU64,
    // Sent less ended by this node since the report's moment.
    since: AtomicI32,
    // A span's number in the upper half and its count, sent less ended, in the lower.
    spans: [AtomicU64; SPANS],
}

impl Default for Load {
    fn default() -> Load {
        Load {
            running: AtomicU32::new(0),
            waiting: AtomicU32::new(0),
            token_ms: AtomicU32::new(0),
            reported: AtomicU64::new(0),
            pace: AtomicU32::new(1f32.to_bits()),
            open: AtomicU32::new(0),
            backlog: AtomicU64::new(0),
            since: AtomicI32::new(0),
            spans: std::array::from_fn(|_| AtomicU64::new(0)),
        }
    }
}

impl Load {
    /// Takes a report.
    pub fn record_report(&self, now: Time, reported: &ReportedLoad) {
        // The span that the report's moment lies in counts where most of it is after the moment.
        let first = span(now.saturating_sub(reported.age) + SPAN / 2);
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
        self.since.store(since, Ordering::Relaxed);
        self.reported.store(micros(now), Ordering::Relaxed);
        let pace = self.slowdown();
        self.set_pace(pace + PACE_DECAY * (1.0 - pace));
    }

    /// Counts a request that is sent, with the tokens of its prompt that the server must read.
    pub fn record_send(&self, now: Time, read: u64) {
        self.open.fetch_add(1, Ordering::Relaxed);
        self.backlog.fetch_add(read, Ordering::Relaxed);
        self.count(now, 1);
    }

    /// Counts a first token, with what was expected of it.
    pub fn record_first_token(&self, read: u64, took: Duration, expected: Duration) {
        self.backlog.fetch_sub(read, Ordering::Relaxed);
        let ratio = took.as_secs_f32() / expected.as_secs_f32().max(f32::MIN_POSITIVE);
        let pace = self.slowdown();
        self.set_pace(pace + PACE_GAIN * (ratio - pace));
    }

    /// Takes back what a request without a first token added to the backlog.
    pub fn cancel_backlog(&self, read: u64) {
        self.backlog.fetch_sub(read, Ordering::Relaxed);
    }

    /// Counts a request that has ended; without a time only what is open here changes.
    pub fn record_end(&self, now: Option<Time>) {
        self.open.fetch_sub(1, Ordering::Relaxed);
        if let Some(now) = now {
            self.count(now, -1);
        }
    }

    /// Requests outstanding there, of all nodes, as far as can be told.
    pub fn outstanding(&self, now: Time, sharers: u32) -> u32 {
        let open = self.open_requests();
        if self.is_stale(now) {
            return open.saturating_mul(sharers.max(1));
        }
        let reported = self.running.load(Ordering::Relaxed) + self.waiting.load(Ordering::Relaxed);
        let since = f64::from(self.since.load(Ordering::Relaxed)) * spread(sharers);
        let corrected = (f64::from(reported) + since).max(0.0).round() as u32;
        corrected.max(open)
    }

    /// Tokens of prompts that wait there for their first token, of all nodes.
    pub fn backlog_tokens(&self, sharers: u32) -> u64 {
        (self.own_backlog_tokens() as f64 * spread(sharers)) as u64
    }

    /// Tokens of this node's prompts that wait there for their first token.
    pub fn own_backlog_tokens(&self) -> u64 {
        self.backlog.load(Ordering::Relaxed)
    }

    /// This node's requests that are open there.
    pub fn open_requests(&self) -> u32 {
        self.open.load(Ordering::Relaxed)
    }

    /// Time between tokens, in milliseconds; 0 when unknown.
    pub fn token_ms(&self) -> f32 {
        f32::from_bits(self.token_ms.load(Ordering::Relaxed))
    }

    /// Recent times to the first token over those expected.
    pub fn slowdown(&self) -> f32 {
        f32::from_bits(self.pace.load(Ordering::Relaxed))
    }

    fn is_stale(&self, now: Time) -> bool {
        let at = self.reported.load(Ordering::Relaxed);
        at == 0 || micros(now).saturating_sub(at) > micros(STALE)
    }

    fn set_pace(&self, pace: f32) {
        let pace = pace.clamp(PACE_RANGE.0, PACE_RANGE.1);
        self.pace.store(pace.to_bits(), Ordering::Relaxed);
    }

    fn count(&self, now: Time, by: i32) {
        self.since.fetch_add(by, Ordering::Relaxed);
        let number = span(now);
        let next = |packed: u64| {
            let (kept, count) = unpack(packed);
            let count = if kept == number { count } else { 0 };
            Some(pack(number, count + by))
        };
        let span = &self.spans[number as usize % SPANS];
        // The closure always returns a value, so that this can't fail.
        let _ = span.fetch_update(Ordering::Relaxed, Ordering::Relaxed, next);
    }
}

/// The factor from the node's own difference to that of all sharers.
fn spread(sharers: u32) -> f64 {
    1.0 + OTHERS * f64::from(sharers.max(1) - 1)
}

/// The number of the span that a time lies in; the first is 1.
fn span(time: Time) -> u32 {
    (time.as_millis() / SPAN.as_millis()) as u32 + 1
}

fn pack(number: u32, count: i32) -> u64 {
    u64::from(number) << 32 | u64::from(count as u32)
}

fn unpack(packed: u64) -> (u32, i32) {
    ((packed >> 32) as u32, packed as u32 as i32)
}

/// Microseconds of a time; 0 is kept for no time.
fn micros(time: Time) -> u64 {
    (time.as_micros() as u64).max(1)
}
