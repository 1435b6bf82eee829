/*!
How much of a service's traffic its new version gets, and whether it is good.

A bad version must get only a small share of all requests until its deadline, and almost none once
it has shown itself. What decides is how its runs went beside the old version's: those that failed, were
lost, or were several times slower, open ones included. So the new version first gets as many requests
as a verdict needs, soon, and a small share from then on, in case that it turns bad later. It is rolled
back where it is worse than chance explains, at any time, and complete towards the end of the time, if
little speaks against enough of its runs; in doubt it is rolled back at the end. Without evidence there is no end: an idle version may be bad.
*/

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Baselines, LogTimes};
use crate::model::RolloutState;

/// The share of requests that the new version gets once enough were sent to it.
pub const MIN_SHARE: f64 = 0.05;

/// The greatest share before that.
const MOST: f64 = 0.4;

/// Requests that the new version gets soon.
const TRIAL: f64 = 24.0;

/// The part of what a bad version may get that is used for that.
const USED: f64 = 0.6;

/// The time in which they are to be sent: a few exchanges of counts, since each node goes by old ones.
const SOON: Duration = Duration::from_millis(2500);

/// Runs of the new version that went well or not, without which it is not complete.
const ENOUGH: u64 = 10;

/// Bad runs of the new version from which on it gets no more than [`MIN_SHARE`], while a verdict is near.
const DOUBT: u64 = 2;

/// The part of the move's time after which a good version may be complete.
const COMPLETE: f64 = 0.8;

/// The part after which it is complete in any case, early enough for the operator to hear of it in time.
const LATEST: f64 = 0.93;

/// Standard deviations by which the bad answers of a bad version exceed what is expected.
const DEVIATIONS: f64 = 3.5;

/// Bad answers beyond that, since few answers tell little.
const EXTRA: f64 = 3.0;

/// The share of bad answers of a version that is mostly bad.
const MOSTLY: f64 = 0.5;

/// Standard deviations by which those of a version exceed it that is not complete.
const DOUBTFUL: f64 = 2.5;

/// Bad answers beyond that.
const DOUBTFUL_EXTRA: f64 = 2.0;

/// The least failure rate that is expected of a good version.
const LEAST_RATE: f64 = 0.02;

/// Runs of one version during a move.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Tally {
    /// Requests that were sent.
    pub sent: u64,
    /// Of these, the ones of which something is known.
    pub answers: u64,
    /// Of these, the failed, lost and slow ones.
    pub bad: u64,
    /// Times to an answer or a first event.
    pub first: LogTimes,
    /// Times between events.
    pub gap: LogTimes,
}

impl Tally {
    /// The sum of two nodes' counts.
    pub fn merge(self, other: Tally) -> Tally {
        Tally {
            sent: self.sent + other.sent,
            answers: self.answers + other.answers,
            bad: self.bad + other.bad,
            first: self.first.merge(other.first),
            gap: self.gap.merge(other.gap),
        }
    }

    /// What is usual for the version.
    pub fn baselines(self) -> Baselines {
        Baselines {
            first: self.first.baseline(),
            gap: self.gap.baseline(),
        }
    }

    /// The share of bad answers.
    fn bad_rate(self) -> f64 {
        if self.answers == 0 {
            return 0.0;
        }
        self.bad as f64 / self.answers as f64
    }
}

/// How many requests a bad version may get until the deadline.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Exposure {
    /// The share of all requests of its service.
    pub share: f64,
    /// Requests beyond that.
    pub slack: f64,
}

/// What a node does with a service whose versions are being moved.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RolloutDecision {
    /// This share of requests goes to the new version.
    Share(f64),
    /// All go to the new version, and the move is complete.
    Complete,
    /// All go to the old version, and the new one is taken back.
    RollBack,
}

/// What the operator is to be told of a move whose last word to him is `told`; `None` where nothing
/// is new, or the move has ended.
pub fn state_to_report(told: Option<RolloutState>, split: RolloutDecision) -> Option<RolloutState> {
    match (told, split) {
        (Some(RolloutState::Completed | RolloutState::RolledBack), _) => None,
        (None, RolloutDecision::Share(_)) => Some(RolloutState::Running),
        (Some(RolloutState::Running), RolloutDecision::Share(_)) => None,
        (_, RolloutDecision::Complete) => Some(RolloutState::Completed),
        (_, RolloutDecision::RollBack) => Some(RolloutState::RolledBack),
    }
}

/// Judges one move by the counts of both versions.
#[derive(Clone, Copy, Debug)]
pub struct Judge {
    /// The time that the move may take.
    pub duration: Duration,
    /// What the new version may get.
    pub exposure: Exposure,
}

impl Judge {
    /// Decides at `elapsed` since the order.
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
        if new.answers >= ENOUGH {
            let doubtful = is_doubtful(old, new);
            if doubtful && elapsed >= self.duration.mul_f64(LATEST) {
                return RolloutDecision::RollBack;
            }
            if !doubtful && self.may_complete(elapsed, old, new) {
                return RolloutDecision::Complete;
            }
        }
        RolloutDecision::Share(self.share(elapsed, old, new))
    }

    /// Reports whether a version that seems good is complete: as soon as a wrong verdict would not bring
    /// it more requests until the deadline than a bad one may get.
    fn may_complete(&self, elapsed: Duration, old: Tally, new: Tally) -> bool {
        if elapsed >= self.duration.mul_f64(LATEST) {
            return true;
        }
        let spent = elapsed.as_secs_f64().max(1.0);
        let left = self.duration.saturating_sub(elapsed).as_secs_f64();
        let all = (old.sent + new.sent) as f64;
        let rest = all * left / spent;
        let allowed = self.exposure.slack + self.exposure.share * (all + rest);
        let harmless = new.sent as f64 + rest <= allowed;
        harmless && elapsed >= self.duration.mul_f64(COMPLETE)
    }

    /// The share that the new version gets next: what is missing of its trial, in a short time.
    fn share(&self, elapsed: Duration, old: Tally, new: Tally) -> f64 {
        let missing = self.missing_requests(old, new);
        if missing <= 0.0 {
            return MIN_SHARE.min(self.exposure.share * USED);
        }
        let all = (old.sent + new.sent) as f64;
        let soon = all / elapsed.as_secs_f64().max(1.0) * SOON.as_secs_f64();
        (missing / soon).clamp(MIN_SHARE, MOST)
    }

    /// Requests that the new version has to get soon, from all nodes together: none where nothing is
    /// known yet of their rate, or a verdict against it is near.
    pub fn missing_requests(&self, old: Tally, new: Tally) -> f64 {
        let all = (old.sent + new.sent) as f64;
        if all == 0.0 || new.bad >= DOUBT {
            return 0.0;
        }
        let allowed = (self.exposure.slack + self.exposure.share * all) * USED;
        (TRIAL.min(allowed) - new.sent as f64).max(0.0)
    }
}

/// Reports whether the new version has more bad answers than chance explains.
fn is_worse(old: Tally, new: Tally) -> bool {
    exceeds(old, new, DEVIATIONS, EXTRA)
}

/// Reports whether most answers of the new version are bad, and so many that it may well be worse: it can't
/// be complete then.
fn is_doubtful(old: Tally, new: Tally) -> bool {
    new.bad_rate() > MOSTLY && exceeds(old, new, DOUBTFUL, DOUBTFUL_EXTRA)
}

/// Reports whether the new version's bad answers exceed what is expected by so many standard deviations,
/// and by so many beyond that.
fn exceeds(old: Tally, new: Tally, deviations: f64, extra: f64) -> bool {
    let rate = old.bad_rate().max(LEAST_RATE);
    let expected = new.answers as f64 * rate;
    let deviation = (expected * (1.0 - rate)).sqrt();
    new.bad as f64 > expected + deviations * deviation + extra
}
