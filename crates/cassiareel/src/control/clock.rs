//! The wall clock, for times that operators read and that nodes share roughly.

use std::time::{SystemTime, UNIX_EPOCH};

/// Seconds since 1970; 0 on a VM whose clock is before that.
pub fn wall_seconds() -> u64 {
    wall_millis() / 1000
}

/// Milliseconds since 1970; 0 on a VM whose clock is before that.
pub fn wall_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
