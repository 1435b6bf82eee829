//! The wall clock, for times that operators read and that nodes share with limited accuracy, and the
//! clock of leases.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{clock_gettime, ClockId};

use crate::kernel::Time;

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

/// Returns the time since the VM's start, which includes the time during which it was suspended: a
/// lease ends during a suspension.
pub fn boot_time() -> Time {
    let time = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(secs, nanos)
}
