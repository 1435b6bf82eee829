/*!
A clock that also counts the time during which the VM is suspended.

What a node knows becomes stale while the VM is suspended, and the time of day jumps. Decisions
therefore take their times from the clock that counts from the VM's start and continues during a
suspension.
*/

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{clock_gettime, ClockId};

/// A point in time, counted from the VM's start.
pub type Moment = Duration;

/// Returns the current time.
///
/// # Examples
///
/// ```
/// let then = cassiareel_relay::clock::now();
/// assert!(cassiareel_relay::clock::now() >= then);
/// ```
pub fn now() -> Moment {
    let time = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(secs, nanos)
}

/// The longest time in which both clocks are read; one that takes longer was interrupted.
const MAX_READ_TIME: Duration = Duration::from_millis(5);

/// Returns the time of day, counted from the start of 1970, and the moment at which it was read.
/// Returns `None` where the process was interrupted meanwhile, or the time of day is not set.
pub(crate) fn time_of_day() -> Option<(Moment, Duration)> {
    let began = now();
    let time = SystemTime::now().duration_since(UNIX_EPOCH).ok()?;
    let took = now().saturating_sub(began);
    (took <= MAX_READ_TIME).then_some((began + took / 2, time))
}

/// Converts a time to whole milliseconds, for atomics; returns the largest number where it does not
/// fit.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
