//! Readings of this process, from the kernel's `proc` files.

use std::{fs, time::Duration};

/// Clock ticks a second in `/proc/*/stat`; Linux fixes it at 100 for user space.
const TICKS_PER_SECOND: u64 = 100;

/// Bytes of a page in `/proc/*/statm`.
const PAGE_BYTES: u64 = 4096;

/// Processor time that this process used, in user and kernel mode, to ten milliseconds.
///
/// # Panics
///
/// Panics where there is no `proc` file system.
pub fn cpu_time() -> Duration {
    let stat = fs::read_to_string("/proc/self/stat").expect("Linux has /proc");
    // The process name, in parentheses, may hold spaces.
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .collect();
    // Fields 14 and 15 of proc(5), counted from the state, which is field 3.
    let ticks: u64 = [fields[11], fields[12]]
        .iter()
        .filter_map(|field| field.parse::<u64>().ok())
        .sum();
    Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND)
}

/// Memory of this process that is resident, in bytes.
///
/// # Panics
///
/// Panics where there is no `proc` file system.
pub fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").expect("Linux has /proc");
    let pages: u64 = statm
        .split_whitespace()
        .nth(1)
        .and_then(|field| field.parse().ok())
        .expect("statm has a resident size");
    pages * PAGE_BYTES
}
