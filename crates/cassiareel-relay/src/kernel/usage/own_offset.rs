//! The offset of a node's own time of day, without its jumps.

use std::time::Duration;

use super::{TimeOffset, TrueTime};
use crate::clock::Moment;

/// The largest change between two observations that is no jump. A time of day that is slewed moves by
/// less than a millisecond a second.
const MAX_STEP: Duration = Duration::from_millis(20);

/// How long an offset after a jump has to be stable before it is accepted. Times of day jump by seconds
/// and back; an offset that stays this long is a correction.
const STABLE_TIME: Duration = Duration::from_secs(60);

/// The offset of a node's own time of day to its steady clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnOffset {
    accepted: Option<TimeOffset>,
    /// An offset that differs from the accepted one, and since when it has been stable.
    pending: Option<(TimeOffset, Moment)>,
}

impl OwnOffset {
    /// Records the time of day at a moment of the steady clock.
    pub fn observe(&mut self, now: Moment, time: TrueTime) {
        let seen = time.saturating_sub(now);
        let is_near = |offset: TimeOffset| offset.abs_diff(seen) <= MAX_STEP;
        if self.accepted.is_none_or(is_near) {
            self.accepted = Some(seen);
            self.pending = None;
            return;
        }
        let since = match self.pending {
            Some((pending, since)) if is_near(pending) => since,
            _ => now,
        };
        self.pending = Some((seen, since));
        if now.saturating_sub(since) >= STABLE_TIME {
            self.accepted = Some(seen);
            self.pending = None;
        }
    }

    /// Returns the offset; `None` before the first observation.
    pub fn get(&self) -> Option<TimeOffset> {
        self.accepted
    }
}
