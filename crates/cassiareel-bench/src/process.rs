//! Processor time and memory of this process, read from `/proc`.

use std::{fs, time::Duration};

/// Clock ticks per second in `/proc/*/stat`; Linux fixes this at 100 for user space.
const TICKS_PER_SECOND: u64 = 100;

/// Size in bytes of a page in `/proc/*/statm`.
const PAGE_BYTES: u64 = 4096;

/// Returns the processor time that this process has used in user and kernel mode, with a
/// resolution of 10 ms.
///
/// # Panics
///
/// Panics if `/proc` is not mounted.
pub fn cpu_time() -> Duration {
    let stat = fs::read_to_string("/proc/self/stat").expect("Linux has /proc");
    // The process name, in parentheses, may contain spaces.
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .collect();
    // utime and stime, fields 14 and 15 in proc(5); index 0 here is the state, field 3.
    let ticks: u64 = [fields[11], fields[12]]
        .iter()
        .filter_map(|field| field.parse::<u64>().ok())
        .sum();
    Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND)
}

/// Returns the resident memory of this process in bytes.
///
/// # Panics
///
/// Panics if `/proc` is not mounted.
pub fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").expect("Linux has /proc");
    let pages: u64 = statm
        .split_whitespace()
        .nth(1)
        .and_then(|field| field.parse().ok())
        .expect("statm has a resident size");
    pages * PAGE_BYTES
}
