/*!
How much of a service's traffic its new version gets, and whether it is good.

A bad version must get only a small share, and almost nothing once it has shown itself. The new
version gets a small share first, on which nodes count failures and slow answers of both versions.
Where the new one is clearly worse, it is rolled back; where enough answers are as good as the old
version's, its share grows until the move is complete, well before its deadline.
*/

use std::time::Duration;

/// The share of requests with which a move begins.
const FIRST_SHARE: f64 = 0.05;

/// The part of the move's time that is spent at the first share.
const LOOK: f64 = 0.45;

/// The part of the move's time at which all traffic has moved.
const MOVED: f64 = 0.7;

/// The part of the move's time at which a good version is declared complete.
const COMPLETE: f64 = 0.85;

/// Bad answers of the new version that are needed for a verdict.
const BAD_ANSWERS: u64 = 8;

/// Excess of the new version's bad share over the old one's that tells a bad version.
const EXCESS: f64 = 0.12;

/// Answers needed before the share grows.
const ENOUGH: u64 = 20;

/// Answers of one version during a move.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Tally {
    /// Answers that came.
    pub answers: u64,
    /// Answers that failed, or took several times as long as usual.
    pub bad: u64,
}

impl Tally {
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

/// Judges one move by the counts of both versions.
#[derive(Clone, Copy, Debug)]
pub struct Judge {
    /// The time that the move may take.
    pub duration: Duration,
}

impl Judge {
    /// Decides at `elapsed` since the order.
    pub fn decide(&self, elapsed: Duration, old: Tally, new: Tally) -> Split {
        if new.bad >= BAD_ANSWERS && new.rate() > old.rate() + EXCESS {
            return Split::RollBack;
        }
        let done = elapsed.as_secs_f64() / self.duration.as_secs_f64().max(1.0);
        if done < LOOK || (new.answers < ENOUGH && done < MOVED) {
            return Split::Share(FIRST_SHARE);
        }
        if done < MOVED {
            let grown = (done - LOOK) / (MOVED - LOOK);
            return Split::Share(FIRST_SHARE + (1.0 - FIRST_SHARE) * grown);
        }
        if done < COMPLETE {
            return Split::Share(1.0);
        }
        Split::Complete
    }
}
