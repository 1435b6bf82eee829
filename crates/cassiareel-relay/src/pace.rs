/*!
How often nodes read and tell what they know, so that it is in use in time.

What a node goes by at any moment is at most as old as a peer's word may be when it is taken, and
the time until the node looks again. Both together stay below the bound within which changes have to
be in force, on a node that hears the store through two others as well.
*/

use std::time::Duration;

/// The time between reads of a node that others hear the store through, and between the looks of
/// these.
pub(crate) const LARGE: Duration = Duration::from_millis(650);

/// The time between reads where each node reads the store for itself.
pub(crate) const SMALL: Duration = Duration::from_millis(1400);

/// What a read may take beyond its interval.
const SPARE: Duration = Duration::from_millis(300);

/// How long a question to a peer waits for something new.
pub(crate) const WAIT: Duration = Duration::from_millis(500);

/// The part of the bound that a peer's word may be old when it is taken.
const PEER_PART: f64 = 0.55;

/// The age at which a peer's word is not gone by, where changes have to be in force within `bound`.
pub(crate) fn peer_age(bound: Duration) -> Duration {
    bound.mul_f64(PEER_PART)
}

/// The time between reads or looks.
pub(crate) fn interval(large: bool) -> Duration {
    if large {
        LARGE
    } else {
        SMALL
    }
}

/// The age of own reads at which a node that reads the store asks its peers as well. Reads that
/// succeed are younger; those that fail make it ask at once.
pub(crate) fn own_age(peer_age: Duration, large: bool) -> Duration {
    peer_age.max(interval(large) + SPARE)
}
