/*!
When a node reads the store, so that changes are in force on all nodes in time.

One node reads for all. Each cached value that it passes on carries its age, and the other nodes act
as stand-ins, one after another, as that age grows: the first one soon after a read is overdue, the
rest before the bound is reached. The nodes need no agreement on who reads; a second reader costs
calls, but not correctness. This limits the load on a store that would otherwise serve reads of
every node, and tolerates a reader that crashed, is suspended, is cut off in one direction, or is
rejected by the store alone.
*/

use std::time::Duration;

/// The age at which the first reader reads again, as a part of the bound.
const FIRST_READER_PART: f64 = 0.35;

/// The age at which the first stand-in reads, as a part of the bound.
const STAND_IN_PART: f64 = 0.47;

/// The additional age at which each further stand-in reads, as a part of the bound.
const STAND_IN_STEP: f64 = 0.1;

/// The age at which any node reads, as a part of the bound. The rest is left for the read itself.
const LATEST_READ_PART: f64 = 0.67;

/// The age of the querying node's cached value up to which its query to a peer waits for an update,
/// as a part of the bound: longer than the time between reads.
const QUERY_WAIT_PART: f64 = 0.4;

/// The shortest wait of a query whose cached value is older than that, as a part of the bound.
const MIN_QUERY_WAIT_PART: f64 = 0.03;

/// The time that an answer may take beyond the wait, as a part of the bound. It is short enough
/// that nodes whose peer hangs can query another one before they read the store.
const ANSWER_PART: f64 = 0.1;

/// The ages at which one kind of object is read from the store, and the time limits of queries to
/// peers, such that changes are in force within a bound.
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
    /// Returns the schedule by which changes are in force within `bound`.
    pub fn new(bound: Duration) -> ReadSchedule {
        ReadSchedule { bound }
    }

    /// Returns the age of a cached value at which the node with the given turn reads the store. The
    /// first reader has turn 0.
    pub fn read_age(self, turn: usize) -> Duration {
        let part = match turn {
            0 => FIRST_READER_PART,
            _ => (STAND_IN_PART + STAND_IN_STEP * (turn - 1) as f64).min(LATEST_READ_PART),
        };
        self.bound.mul_f64(part)
    }

    /// Returns how long the node with the given turn may still use a cached value of the given age;
    /// `None` if it has to read the store.
    pub fn remaining(self, turn: usize, age: Duration) -> Option<Duration> {
        remaining(self.read_age(turn), age)
    }

    /// Returns the age from which on a cached value is overdue: its sender may have lost contact
    /// with the store or the other nodes.
    pub fn overdue_age(self) -> Duration {
        self.bound.mul_f64(STAND_IN_PART)
    }

    /// Returns how long a query to a peer waits for an update, given the age of the querying node's
    /// cached value.
    pub fn query_wait(self, age: Option<Duration>) -> Duration {
        let left = self
            .bound
            .mul_f64(QUERY_WAIT_PART)
            .saturating_sub(age.unwrap_or_default());
        left.max(self.bound.mul_f64(MIN_QUERY_WAIT_PART))
    }

    /// Returns the time that a peer's answer may take beyond the wait.
    pub fn answer_timeout(self) -> Duration {
        self.bound.mul_f64(ANSWER_PART)
    }
}

/// Returns the time that is left of a limit; `None` if it is used up.
pub fn remaining(limit: Duration, spent: Duration) -> Option<Duration> {
    limit.checked_sub(spent).filter(|left| !left.is_zero())
}
