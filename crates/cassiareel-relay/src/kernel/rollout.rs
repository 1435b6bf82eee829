/*!
How much of a service's traffic its new version gets, and whether it is good.

A bad version must get only a small share of all requests until its deadline, and almost none once
it has shown itself. The new version therefore gets a small share until shortly before the deadline,
while all nodes' counts of failures and slow answers of both versions are compared. It is rolled
back where it is worse than chance explains, and complete otherwise. A share that grew on the way
would bring a version that turns bad late to more callers than the bound allows.
*/

use std::time::Duration;

use crate::model::RolloutState;

/// The share of requests that the new version gets until the move is complete.
const SHARE: f64 = 0.06;

/// The part of the move's time after which a good version is complete.
const COMPLETE: f64 = 0.95;

/// The least time before the deadline at which a good version is complete.
const SPARE: Duration = Duration::from_millis(600);

/// Standard deviations by which the bad answers of a bad version exceed what is expected.
const DEVIATIONS: f64 = 3.5;

/// Bad answers beyond that, since few answers tell little.
const EXTRA: f64 = 3.0;

/// The least failure rate that is expected of a good version.
const LEAST_RATE: f64 = 0.02;

/// Answers of one version during a move.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Tally {
    /// Answers that came, and requests that were lost.
    pub answers: u64,
    /// Of these, the failed, lost and slow ones.
    pub bad: u64,
}

impl Tally {
    /// The sum of two nodes' counts.
    pub fn plus(self, other: Tally) -> Tally {
        Tally {
            answers: self.answers + other.answers,
            bad: self.bad + other.bad,
        }
    }

    /// The share of bad answers.
    fn rate(self) -> f64 {
        if self.answers == 0 {
            return 0.0;
        }
        self.bad as f64 / self.answers as f64
    }
}

/// What a node does with a service whose versions are being moved.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Split {
    /// This share of requests goes to the new version.
    Share(f64),
    /// All go to the new version, and the move is complete.
    Complete,
    /// All go to the old version, and the new one is taken back.
    RollBack,
}

/// What the operator is to be told of a move whose last word to him is `told`; `None` where nothing
/// is new, or the move has ended.
pub fn report_of(told: Option<RolloutState>, split: Split) -> Option<RolloutState> {
    match (told, split) {
        (Some(RolloutState::Completed | RolloutState::RolledBack), _) => None,
        (None, Split::Share(_)) => Some(RolloutState::Running),
        (Some(RolloutState::Running), Split::Share(_)) => None,
        (_, Split::Complete) => Some(RolloutState::Completed),
        (_, Split::RollBack) => Some(RolloutState::RolledBack),
    }
}

/// Judges one move by the counts of both versions.
#[derive(Clone, Copy, Debug)]
pub struct Judge {
    /// The time that the move may take.
    pub duration: Duration,
}

impl Judge {
    /// Decides at `elapsed` since the order.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use cassiareel_relay::kernel::{Judge, Split, Tally};
    ///
    /// let judge = Judge { duration: Duration::from_secs(12) };
    /// let old = Tally { answers: 1000, bad: 40 };
    /// let new = Tally { answers: 40, bad: 20 };
    /// assert_eq!(judge.decide(Duration::from_secs(4), old, new), Split::RollBack);
    /// ```
    pub fn decide(&self, elapsed: Duration, old: Tally, new: Tally) -> Split {
        if is_worse(old, new) {
            return Split::RollBack;
        }
        let end = self
            .duration
            .mul_f64(COMPLETE)
            .min(self.duration.saturating_sub(SPARE));
        if elapsed < end {
            Split::Share(SHARE)
        } else {
            Split::Complete
        }
    }
}

/// Reports whether the new version has more bad answers than chance explains.
fn is_worse(old: Tally, new: Tally) -> bool {
    let rate = old.rate().max(LEAST_RATE);
    let expected = new.answers as f64 * rate;
    let deviation = (expected * (1.0 - rate)).sqrt();
    new.bad as f64 > expected + DEVIATIONS * deviation + EXTRA
}
