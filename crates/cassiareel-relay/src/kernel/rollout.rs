/*!
How much of a service's traffic its new version gets, and whether it is good.

A bad version may get only a small share of all requests until the deadline, and almost none once it
has proved bad. The verdict depends on the results of its runs compared with the old version's: runs
that failed or were several times slower count as bad, including open ones. A run that was lost with
its backend server says more about the server's VM than about the version: where a data centre fails,
such runs would hide the failures of the new version, or make a good one look bad. They are counted
apart, and are evidence only if the new version loses servers again and again. The new version
therefore gets as many requests as a verdict needs soon after the start, and a small share
from then on, in case it turns bad later. It is rolled back at any time if it is worse than chance
explains. It is complete towards the end of the rollout's duration if enough of its runs are known
and few of them are evidence against it; in doubt it is rolled back at the end. Without evidence the
rollout stays open, since a version without requests may be bad.
*/

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Baselines, LogTimes};
use crate::model::RolloutState;

/// The share of requests that the new version gets once enough were sent to it.
pub const MIN_SHARE: f64 = 0.05;

/// The largest share before that.
const MAX_SHARE: f64 = 0.4;

/// The number of requests that the new version gets soon after the start, as its trial.
const TRIAL_REQUESTS: f64 = 24.0;

/// The part of the allowed exposure that is used for the trial and the share after it.
const EXPOSURE_PART: f64 = 0.6;

/// The part of the allowed exposure that the new version never exceeds before its verdict. The rest is
/// left for requests that nodes send before they know each other's counts.
const MAX_EXPOSURE_PART: f64 = 0.8;

/// The time within which the requests of the trial are to be sent. It spans a few exchanges of
/// counts, since each node acts on counts that are out of date.
const TRIAL_TIME: Duration = Duration::from_millis(2500);

/// The number of known runs of the new version that a completion needs.
const MIN_ANSWERS: u64 = 10;

/// The number of bad runs of the new version from which on it gets no more than [`MIN_SHARE`],
/// since a verdict is near.
const DOUBT_RUNS: u64 = 2;

/// The part of the rollout's duration after which a version in doubt gets requests for its verdict
/// again: the bad runs may have been chance, and a verdict by few runs is as likely wrong as right.
const DOUBT_PAUSE_PART: f64 = 0.4;

/// The number of requests that a version in doubt gets then.
const DOUBT_REQUESTS: f64 = 48.0;

/// The part of the rollout's duration after which a good version may be complete.
const EARLIEST_END_PART: f64 = 0.8;

/// The part of the duration after which the rollout ends in any case, early enough to report the
/// end to the operator in time.
const LATEST_END_PART: f64 = 0.93;

/// The number of standard deviations by which a bad version's bad answers exceed the expected
/// number.
const BAD_DEVIATIONS: f64 = 3.5;

/// The number of bad answers in addition to that, since few answers are weak evidence.
const BAD_EXTRA_ANSWERS: f64 = 3.0;

/// The probability below which the failures of a version that is as good as the old one make it
/// doubtful. A good version that is rolled back costs another rollout, a bad one that is complete gets all
/// requests.
const DOUBTFUL_PROBABILITY: f64 = 0.02;

/// The number of failures below which no version is doubtful, since single ones have many causes.
const MIN_DOUBTFUL_FAILURES: u64 = 3;

/// The share of bad answers above which a version may be doubtful that fails as little as the old one:
/// a few slow servers make many answers slow.
const DOUBTFUL_RATE: f64 = 0.5;

/// The number of standard deviations by which such a version's bad answers exceed the expected number.
const DOUBTFUL_DEVIATIONS: f64 = 2.5;

/// The number of bad answers in addition to that.
const DOUBTFUL_EXTRA_ANSWERS: f64 = 2.0;

/// The number of parts into which a rollout's duration is divided to tell losses that recur from those
/// of one moment.
pub const LOSS_PERIODS: u32 = 8;

/// The number of these parts in which runs of the new version have to be lost before the losses are
/// evidence against it: a failure of a data centre affects two at most.
const BAD_LOSS_PERIODS: u32 = 4;

/// The number of these parts from which on the losses make a version doubtful.
const DOUBTFUL_LOSS_PERIODS: u32 = 3;

/// The lowest rate of bad answers that is expected of a good version.
const MIN_EXPECTED_RATE: f64 = 0.02;

/// The runs of one version during a rollout.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Tally {
    /// The number of requests that were sent.
    pub sent: u64,
    /// The number of these whose result is known.
    pub answers: u64,
    /// The number of these that failed or were slow.
    pub bad: u64,
    /// The number of bad ones that failed.
    #[serde(default)]
    pub failed: u64,
    /// The number of requests that were lost with their backend server; their result is not known.
    #[serde(default)]
    pub lost: u64,
    /// The parts of the rollout's duration in which requests were lost, a bit for each.
    #[serde(default)]
    pub loss_periods: u8,
    /// The times to an answer or to the first event.
    pub first: LogTimes,
    /// The times between events.
    pub gap: LogTimes,
}

impl Tally {
    /// Returns the sum of both, as counted by two nodes.
    pub fn merge(self, other: Tally) -> Tally {
        Tally {
            sent: self.sent + other.sent,
            answers: self.answers + other.answers,
            bad: self.bad + other.bad,
            failed: self.failed + other.failed,
            lost: self.lost + other.lost,
            loss_periods: self.loss_periods | other.loss_periods,
            first: self.first.merge(other.first),
            gap: self.gap.merge(other.gap),
        }
    }

    /// Returns the typical times of the version.
    pub fn baselines(self) -> Baselines {
        Baselines {
            first: self.first.baseline(),
            gap: self.gap.baseline(),
        }
    }

    /// Counts a request that was lost at `elapsed` since the order of a rollout that takes `duration`.
    pub fn record_loss(&mut self, elapsed: Duration, duration: Duration) {
        let part = elapsed.as_secs_f64() / duration.as_secs_f64().max(f64::MIN_POSITIVE);
        let period = ((part * f64::from(LOSS_PERIODS)) as u32).min(LOSS_PERIODS - 1);
        self.lost += 1;
        self.loss_periods |= 1 << period;
    }

    /// Returns the number of bad ones among the known answers.
    fn results(self) -> Ratio {
        Ratio {
            of: self.answers,
            bad: self.bad,
        }
    }

    /// Returns the number of failed ones among the known answers: where both versions are slow, as their
    /// servers are overloaded, only failures tell them apart.
    fn failures(self) -> Ratio {
        Ratio {
            of: self.answers,
            bad: self.failed,
        }
    }

    /// Returns the number of lost ones among the requests that have ended.
    fn losses(self) -> Ratio {
        Ratio {
            of: self.answers + self.lost,
            bad: self.lost,
        }
    }
}

/// A number of requests, and of the bad ones among them.
#[derive(Clone, Copy, Debug)]
struct Ratio {
    of: u64,
    bad: u64,
}

impl Ratio {
    /// Returns the share of bad ones.
    fn rate(self) -> f64 {
        if self.of == 0 {
            return 0.0;
        }
        self.bad as f64 / self.of as f64
    }
}

/// The number of requests that a bad version may get until the deadline.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Exposure {
    /// The share of all requests of its service.
    pub share: f64,
    /// The number of requests in addition to that.
    pub slack: f64,
}

/// How a node divides the requests of a service between two versions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RolloutDecision {
    /// The new version gets this share of requests.
    Share(f64),
    /// The new version gets all requests, and the rollout is complete.
    Complete,
    /// The old version gets all requests, and the new one is rolled back.
    RollBack,
}

/// Returns the state of a rollout to report to the operator, given the last reported state; `None`
/// if nothing is new or the rollout has ended.
pub fn state_to_report(
    reported: Option<RolloutState>,
    decision: RolloutDecision,
) -> Option<RolloutState> {
    match (reported, decision) {
        (Some(RolloutState::Completed | RolloutState::RolledBack), _) => None,
        (None, RolloutDecision::Share(_)) => Some(RolloutState::Running),
        (Some(RolloutState::Running), RolloutDecision::Share(_)) => None,
        (_, RolloutDecision::Complete) => Some(RolloutState::Completed),
        (_, RolloutDecision::RollBack) => Some(RolloutState::RolledBack),
    }
}

/// Judges a rollout by the counts of both versions.
#[derive(Clone, Copy, Debug)]
pub struct Judge {
    /// The time within which the rollout has to end.
    pub duration: Duration,
    /// The number of requests that the new version may get.
    pub exposure: Exposure,
}

impl Judge {
    /// Decides how the rollout continues, at `elapsed` since the order.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use cassiareel_relay::kernel::{Exposure, Judge, RolloutDecision, Tally};
    ///
    /// let exposure = Exposure { share: 0.1, slack: 50.0 };
    /// let judge = Judge { duration: Duration::from_secs(12), exposure };
    /// let old = Tally { sent: 1000, answers: 1000, bad: 40, ..Tally::default() };
    /// let new = Tally { sent: 40, answers: 40, bad: 20, ..Tally::default() };
    /// assert_eq!(judge.decide(Duration::from_secs(4), old, new), RolloutDecision::RollBack);
    /// ```
    pub fn decide(&self, elapsed: Duration, old: Tally, new: Tally) -> RolloutDecision {
        if is_worse(old, new) {
            return RolloutDecision::RollBack;
        }
        if new.answers >= MIN_ANSWERS {
            let doubtful = is_doubtful(old, new);
            if doubtful && elapsed >= self.duration.mul_f64(LATEST_END_PART) {
                return RolloutDecision::RollBack;
            }
            if !doubtful && self.may_complete(elapsed, old, new) {
                return RolloutDecision::Complete;
            }
        }
        RolloutDecision::Share(self.share(elapsed, old, new))
    }

    /// Reports whether a version that seems good is complete. This is so as soon as a wrong verdict
    /// would not bring it more requests until the deadline than a bad version may get.
    fn may_complete(&self, elapsed: Duration, old: Tally, new: Tally) -> bool {
        if elapsed >= self.duration.mul_f64(LATEST_END_PART) {
            return true;
        }
        let spent = elapsed.as_secs_f64().max(1.0);
        let left = self.duration.saturating_sub(elapsed).as_secs_f64();
        let all = (old.sent + new.sent) as f64;
        let rest = all * left / spent;
        let allowed = self.exposure.slack + self.exposure.share * (all + rest);
        let harmless = new.sent as f64 + rest <= allowed;
        harmless && elapsed >= self.duration.mul_f64(EARLIEST_END_PART)
    }

    /// Returns the share that the new version gets next: enough to send what is missing of its
    /// trial within a short time.
    fn share(&self, elapsed: Duration, old: Tally, new: Tally) -> f64 {
        if self.remaining_exposure(old, new) <= 0.0 {
            return 0.0;
        }
        let missing = self.missing_requests(elapsed, old, new);
        if missing <= 0.0 {
            return MIN_SHARE.min(self.exposure.share * EXPOSURE_PART);
        }
        let all = (old.sent + new.sent) as f64;
        let expected = all / elapsed.as_secs_f64().max(1.0) * TRIAL_TIME.as_secs_f64();
        (missing / expected).clamp(MIN_SHARE, MAX_SHARE)
    }

    /// Returns the number of requests that the new version may get until counts are pooled again, over
    /// all nodes, also where no backend server of another version is left.
    pub fn remaining_exposure(&self, old: Tally, new: Tally) -> f64 {
        let all = (old.sent + new.sent) as f64;
        let allowed = (self.exposure.slack + self.exposure.share * all) * MAX_EXPOSURE_PART;
        (allowed - new.sent as f64).max(0.0)
    }

    /// Returns the number of requests that are missing of the new version's trial, over all nodes.
    /// It is zero while the rate of requests is unknown, and when a verdict against the version is
    /// near.
    pub fn missing_requests(&self, elapsed: Duration, old: Tally, new: Tally) -> f64 {
        let all = (old.sent + new.sent) as f64;
        let in_doubt = new.bad >= DOUBT_RUNS;
        if all == 0.0 || (in_doubt && elapsed < self.duration.mul_f64(DOUBT_PAUSE_PART)) {
            return 0.0;
        }
        let wanted = if in_doubt {
            DOUBT_REQUESTS
        } else {
            TRIAL_REQUESTS
        };
        let allowed = (self.exposure.slack + self.exposure.share * all) * EXPOSURE_PART;
        (wanted.min(allowed) - new.sent as f64).max(0.0)
    }
}

/// Reports whether the new version has more bad answers than chance explains, or loses its backend
/// servers again and again.
fn is_worse(old: Tally, new: Tally) -> bool {
    let exceeds = |(old, new)| exceeds(old, new, BAD_DEVIATIONS, BAD_EXTRA_ANSWERS);
    let recurs = new.loss_periods.count_ones() >= BAD_LOSS_PERIODS;
    exceeds((old.results(), new.results()))
        || exceeds((old.failures(), new.failures()))
        || (recurs && exceeds((old.losses(), new.losses())))
}

/// Reports whether the new version would hardly have as many failures, or lost servers, if it were as good
/// as the old one, or whether most of its answers are bad. It can't be complete then.
fn is_doubtful(old: Tally, new: Tally) -> bool {
    let recurs = new.loss_periods.count_ones() >= DOUBTFUL_LOSS_PERIODS;
    let (known, bad) = (old.results(), new.results());
    let is_mostly_bad = bad.rate() > DOUBTFUL_RATE
        && exceeds(known, bad, DOUBTFUL_DEVIATIONS, DOUBTFUL_EXTRA_ANSWERS);
    is_mostly_bad
        || is_improbable(old.failures(), new.failures())
        || (recurs && is_improbable(old.losses(), new.losses()))
}

/// Reports whether a version with the old one's rate would hardly have the bad ones of the new one.
fn is_improbable(old: Ratio, new: Ratio) -> bool {
    // One bad answer more than was seen, since few answers say little about a rate.
    let rate = (old.bad + 1) as f64 / (old.of + 2) as f64;
    let rate = rate.max(MIN_EXPECTED_RATE);
    new.bad >= MIN_DOUBTFUL_FAILURES && probability_of(new, rate) < DOUBTFUL_PROBABILITY
}

/// Returns the probability that as many answers or more are bad at a given rate (binomial distribution).
fn probability_of(ratio: Ratio, rate: f64) -> f64 {
    let odds = (rate / (1.0 - rate)).ln();
    let mut log_term = ratio.of as f64 * (1.0 - rate).ln();
    let mut fewer = 0.0;
    for bad in 0..ratio.bad {
        fewer += log_term.exp();
        log_term += odds + ((ratio.of - bad) as f64 / (bad + 1) as f64).ln();
    }
    1.0 - fewer
}

/// Reports whether the new version's bad answers exceed the expected number by `deviations`
/// standard deviations plus `extra` answers.
fn exceeds(old: Ratio, new: Ratio, deviations: f64, extra: f64) -> bool {
    let rate = old.rate().max(MIN_EXPECTED_RATE);
    let expected = new.of as f64 * rate;
    let deviation = (expected * (1.0 - rate)).sqrt();
    new.bad as f64 > expected + deviations * deviation + extra
}
