/*!
When a node reads the store, so that what all nodes know is in use in time.

One node reads for all. Each word that it passes on carries its age, and the others step in one after
another as that age grows: the first stand-in soon after a read is overdue, the rest before the bound
is reached. Nobody has to agree on who reads, and two readers cost calls, never truth. It answers the
load at which a store hears from every node, and the reader that is dead, frozen, cut off one way or
turned away by the store alone.
*/

use std::time::Duration;

/// The age at which the first reader reads again, in parts of the bound.
const FIRST: f64 = 0.35;

/// The age at which the first stand-in reads.
const STAND_IN: f64 = 0.47;

/// What each further stand-in waits longer than the one before.
const STEP: f64 = 0.1;

/// The age at which any node reads. The rest of the bound is for the read.
const LATEST: f64 = 0.67;

/// The age of the asking node's word up to which a question to a peer waits for something new: longer
/// than the time between reads.
const WAIT: f64 = 0.4;

/// The least wait of a question, where that word is older.
const LEAST_WAIT: f64 = 0.03;

/// How long the answer may take beyond the wait: short enough for those who asked a peer that hangs to
/// ask another one before they read the store.
const ANSWER: f64 = 0.1;

/// The times at which one kind of object is read and asked for, if changes have to be in force within
/// a bound.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cassiareel_relay::kernel::ReadSchedule;
///
/// let schedule = ReadSchedule::new(Duration::from_secs(2));
/// assert!(schedule.read_age(0) < schedule.read_age(1));
/// assert!(schedule.read_age(100) < Duration::from_secs(2));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadSchedule {
    bound: Duration,
}

impl ReadSchedule {
    /// Changes have to be in force within `bound`.
    pub fn new(bound: Duration) -> ReadSchedule {
        ReadSchedule { bound }
    }

    /// The age of a word at which the node of a `turn` reads the store. The first reader has turn 0.
    pub fn read_age(self, turn: usize) -> Duration {
        let part = match turn {
            0 => FIRST,
            _ => (STAND_IN + STEP * (turn - 1) as f64).min(LATEST),
        };
        self.bound.mul_f64(part)
    }

    /// How long the node of a `turn` still goes by a word of an age; `None` where it has to read.
    pub fn remaining(self, turn: usize, age: Duration) -> Option<Duration> {
        remaining(self.read_age(turn), age)
    }

    /// The age from which a word is overdue: who passed it on may have lost touch.
    pub fn overdue_age(self) -> Duration {
        self.bound.mul_f64(STAND_IN)
    }

    /// How long a question to a peer waits for something new, by the age of the word that the asking
    /// node has.
    pub fn query_wait(self, age: Option<Duration>) -> Duration {
        let left = self
            .bound
            .mul_f64(WAIT)
            .saturating_sub(age.unwrap_or_default());
        left.max(self.bound.mul_f64(LEAST_WAIT))
    }

    /// How long a peer may take to answer beyond its wait.
    pub fn answer_timeout(self) -> Duration {
        self.bound.mul_f64(ANSWER)
    }
}

/// What is left of a limit when some of it is spent; `None` where nothing is.
pub fn remaining(limit: Duration, spent: Duration) -> Option<Duration> {
    limit.checked_sub(spent).filter(|left| !left.is_zero())
}
