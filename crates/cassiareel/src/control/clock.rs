//! The wall clock, for times that operators read and that nodes share with limited accuracy.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the seconds since 1970, or 0 on a VM whose clock shows an earlier time.
pub fn wall_seconds() -> u64 {
    wall_millis() / 1000
}

/// Returns the milliseconds since 1970, or 0 on a VM whose clock shows an earlier time.
pub fn wall_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
