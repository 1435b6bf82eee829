//! The wanted number of a service's backend servers in one data centre.

use std::time::Duration;

use super::{input::DataCentreInput, recent_peak::RecentPeak, server_orders::MAX_LATENESS};
use crate::{clock::Moment, model::ScaleBounds};

/// How long a new holder of the duty orders nothing.
const MIN_WATCH: Duration = Duration::from_secs(3);

/// How long the demand has to be lower before servers are removed, in starts of a server.
const QUIET_BOOTS: u32 = 2;

/// The shortest such time, for servers that start within a few seconds: a wave of the demand of a few
/// seconds must not be followed down.
const MIN_QUIET: Duration = Duration::from_secs(10);

/// The part of the servers that are removed at once.
const REMOVED_PART: f64 = 0.125;

/// The part of a server's start between two removals.
const REMOVAL_INTERVAL_PART: f64 = 0.5;

/// How long removals don't return to a number of servers at which requests were refused or waited, in
/// starts of a server.
const SHORT_BOOTS: u32 = 10;

/// The longest such time.
const MAX_SHORT_TIME: Duration = Duration::from_secs(600);

/// The factor over the wanted number up to which no servers are added: the chance differences of a
/// steady load, which the headroom covers.
const TOLERANCE: f64 = 1.05;

/// The factor over the wanted number up to which a need that follows a removal waits for a server's
/// start: such a small one is noise of a steady load.
const NOISE_FACTOR: f64 = 1.1;

/// The factor by which servers are added again before those that were added last have started: the
/// demand grows for longer than a start takes.
const GROWTH_FACTOR: f64 = 1.1;

/// The factor by which servers are added while the last order has no answer. It may be carried out late,
/// even after the next one, so that few orders with a larger step each are better.
const UNANSWERED_FACTOR: f64 = 1.5;

/// The factor by which servers are added while requests are refused or wait.
const PRESSED_FACTOR: f64 = 1.25;

/// What the decisions for all data centres of a service share at one moment.
#[derive(Clone, Copy, Debug)]
pub(super) struct Situation {
    pub now: Moment,
    /// When the first decision was made.
    pub started: Moment,
    pub bounds: ScaleBounds,
    /// Whether requests are refused or wait for want of servers.
    pub is_pressed: bool,
    /// Since when the demand of nearly all nodes is known.
    pub known_since: Option<Moment>,
    /// Until when a rollout or losses forbid removals.
    pub hold_until: Moment,
}

/// The wanted number of servers, and why.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WantedServers {
    /// The number.
    pub count: u32,
    /// The number of listed servers from which the decisions started.
    pub baseline: u32,
    /// What the demand needs at this moment.
    pub needed: u32,
    /// What it needed at most lately.
    pub peak: u32,
    /// The largest number of ready servers that did not suffice lately, which removals keep above; 0 if
    /// there is none.
    pub short: u32,
    /// Why the number is what it is.
    pub reason: SizeReason,
}

/// Why a number of servers is wanted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SizeReason {
    /// The number of listed servers, from which the decisions start.
    Listed,
    /// The demand needs more servers.
    Demand,
    /// Requests are refused or wait.
    Pressure,
    /// The demand was lower for a while.
    LowDemand,
    /// The bounds in the configuration.
    Bounds,
}

/// The decisions for one data centre.
#[derive(Debug, Default)]
pub(super) struct Subject {
    wanted: Option<u32>,
    baseline: u32,
    listed: u32,
    /// When the last order had no answer.
    unanswered_at: Option<Moment>,
    reason: Option<SizeReason>,
    peak: RecentPeak,
    pressed_at: Option<Moment>,
    /// The largest number of ready servers that did not suffice lately, and when it did not.
    short: Option<(u32, Moment)>,
    added_at: Option<Moment>,
    removed_at: Option<Moment>,
}

impl Situation {
    /// Returns how long the demand has to be lower before servers are removed.
    fn quiet_time(&self) -> Duration {
        (self.bounds.boot * QUIET_BOOTS).max(MIN_QUIET)
    }

    /// Reports whether `span` has passed since a time.
    fn is_past(&self, since: Option<Moment>, span: Duration) -> bool {
        since.is_none_or(|since| self.now.saturating_sub(since) >= span)
    }

    /// Returns a number within the bounds. A service keeps a server unless `max` is zero, since
    /// without one its next request is refused.
    fn clamp(&self, count: u32) -> u32 {
        let max = self.bounds.max;
        count.clamp(self.bounds.min.max(1).min(max), max)
    }
}

impl Subject {
    /// Decides the wanted number from what the demand needs and the number of listed servers; `None`
    /// while a new holder only watches.
    pub(super) fn decide(
        &mut self,
        needed: f64,
        part: &DataCentreInput,
        at: &Situation,
    ) -> Option<WantedServers> {
        let peak = self.peak.record(needed, at.now, at.quiet_time());
        if at.is_pressed {
            self.note_short(part.ready, at);
            self.pressed_at = Some(at.now);
        }
        if part.is_unanswered {
            self.unanswered_at = Some(at.now);
        }
        match self.wanted {
            Some(wanted) => self.follow(wanted, needed, peak, at),
            None => self.watch(needed, part.listed, at),
        }
        Some(WantedServers {
            count: self.wanted?,
            baseline: self.baseline,
            needed: needed.ceil() as u32,
            peak: peak.ceil() as u32,
            short: self.short_count(at),
            reason: self.reason?,
        })
    }

    /// Watches the servers until all that were ordered before are listed. Where they don't suffice, the
    /// largest number is wanted: the one that was ordered last is unknown, and any other could be below
    /// it.
    fn watch(&mut self, needed: f64, listed: u32, at: &Situation) {
        self.listed = self.listed.max(listed);
        let watched = at.now.saturating_sub(at.started);
        if watched < MIN_WATCH {
            return;
        }
        let is_short =
            at.clamp(needed.ceil() as u32) > self.listed || (at.is_pressed && self.listed > 0);
        if is_short || watched >= at.bounds.boot + MIN_WATCH {
            self.baseline = self.listed;
            let count = if is_short {
                at.bounds.max
            } else {
                at.clamp(self.listed)
            };
            let reason = match () {
                () if is_short => SizeReason::Demand,
                () if count != self.listed => SizeReason::Bounds,
                () => SizeReason::Listed,
            };
            self.added_at = is_short.then_some(at.now);
            self.set(count, reason);
        }
    }

    /// Adds or removes servers.
    fn follow(&mut self, wanted: u32, needed: f64, peak: f64, at: &Situation) {
        if at.clamp(wanted) != wanted {
            self.set(at.clamp(wanted), SizeReason::Bounds);
            return;
        }
        let least = at.clamp(needed.ceil() as u32);
        let pressed = at.clamp(scaled(wanted, PRESSED_FACTOR));
        if at.is_pressed && pressed > wanted.max(least) {
            self.add(pressed, SizeReason::Pressure, at);
        } else if least > wanted && self.may_add(wanted, needed, at) {
            let count = least.max(self.least_growth(wanted, at));
            self.add(at.clamp(count), SizeReason::Demand, at);
        } else if least <= wanted {
            self.remove(wanted, peak, at);
        }
    }

    /// Reports whether the wanted number may rise: not for little more, and right after a removal only
    /// for much more.
    fn may_add(&self, wanted: u32, needed: f64, at: &Situation) -> bool {
        let is_settled = at.is_past(self.removed_at, at.bounds.boot);
        let factor = if is_settled { TOLERANCE } else { NOISE_FACTOR };
        at.is_pressed || needed > f64::from(wanted) * factor
    }

    /// Returns the least number that is ordered on a growing demand: more than is needed now while the
    /// platform is slow, and while servers that were added before still start.
    fn least_growth(&self, wanted: u32, at: &Situation) -> u32 {
        if self.unanswered_at == Some(at.now) {
            return scaled(wanted, UNANSWERED_FACTOR);
        }
        let is_growing = !at.is_past(self.added_at, at.bounds.boot);
        scaled(wanted, if is_growing { GROWTH_FACTOR } else { 1.0 })
    }

    /// Records that a number of ready servers did not suffice. While servers that were added still
    /// start, it says nothing, and the largest number can't be exceeded.
    fn note_short(&mut self, ready: u32, at: &Situation) {
        let is_complete = at.is_past(self.added_at, at.bounds.boot);
        if is_complete && ready < at.bounds.max && ready >= self.short_count(at) {
            self.short = Some((ready, at.now));
        }
    }

    /// Returns the largest number of ready servers that did not suffice lately; 0 if there is none.
    fn short_count(&self, at: &Situation) -> u32 {
        let span = (at.bounds.boot * SHORT_BOOTS).min(MAX_SHORT_TIME);
        let short = self
            .short
            .filter(|(_, since)| !at.is_past(Some(*since), span));
        short.map_or(0, |(count, _)| count)
    }

    fn add(&mut self, count: u32, reason: SizeReason, at: &Situation) {
        self.added_at = Some(at.now);
        self.set(count, reason);
    }

    /// Removes a part of the servers that the recent peak leaves idle. A peak that is new may be passed
    /// by the next one.
    fn remove(&mut self, wanted: u32, peak: f64, at: &Situation) {
        let least = at.clamp((peak.ceil() as u32).max(self.short_count(at) + 1));
        if least >= wanted || !self.may_remove(at) {
            return;
        }
        let step = (f64::from(wanted) * REMOVED_PART).ceil() as u32;
        self.removed_at = Some(at.now);
        self.set(least.max(wanted - step), SizeReason::LowDemand);
    }

    fn may_remove(&self, at: &Situation) -> bool {
        let quiet = at.quiet_time();
        let interval = at.bounds.boot.mul_f64(REMOVAL_INTERVAL_PART);
        let is_known = at.known_since.is_some() && at.is_past(at.known_since, quiet);
        is_known
            && at.now >= at.hold_until
            && at.is_past(self.pressed_at, quiet)
            && at.is_past(self.unanswered_at, MAX_LATENESS.max(quiet))
            && at.is_past(self.added_at, quiet)
            && at.is_past(self.removed_at, interval)
            && self.peak.age(at.now) >= interval
    }

    fn set(&mut self, count: u32, reason: SizeReason) {
        self.wanted = Some(count);
        self.reason = Some(reason);
    }
}

impl SizeReason {
    /// Returns the name in logs.
    pub fn name(self) -> &'static str {
        match self {
            SizeReason::Listed => "listed",
            SizeReason::Demand => "demand",
            SizeReason::Pressure => "pressure",
            SizeReason::LowDemand => "low demand",
            SizeReason::Bounds => "bounds",
        }
    }
}

/// Returns a number of servers times a factor, rounded up.
fn scaled(count: u32, factor: f64) -> u32 {
    (f64::from(count) * factor).ceil() as u32
}
