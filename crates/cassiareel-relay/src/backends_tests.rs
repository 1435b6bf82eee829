//! The backend servers in use after changes of the registry.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use cassiareel::runtime::Runtime;

use crate::{
    backends::Backends,
    model::{Entry, Phase},
};

fn entries(count: u32) -> Vec<Entry> {
    let entry = |i: u32| Entry {
        id: Arc::from(format!("i-{i}")),
        start_time: Some(1),
        service: Arc::from("s"),
        address: (i.to_be_bytes(), 80).into(),
        data_centre: Arc::from("z"),
        version: Arc::from("v1"),
        slots: 6,
        phase: Phase::Ready,
    };
    (0..count).map(entry).collect()
}

/// Returns the shortest of a few times in which one of `count` entries is removed or added again.
fn time_of_change(count: u32) -> Duration {
    let runtime = Runtime::new("backends", 1);
    let backends = Backends::new(runtime.spawner());
    let all = entries(count);
    backends.replace(all.iter());
    let times = (0..8).map(|i| {
        let began = Instant::now();
        backends.replace(all.iter().skip(1 - i % 2));
        began.elapsed()
    });
    times.min().unwrap_or_default()
}

/// A change of a few entries once took a time that grew with the square of the registry: half a
/// second of a small VM at 3,000 entries, in which all of its streams stalled.
#[test]
fn the_time_of_a_change_grows_with_the_registry_and_not_its_square() {
    let (small, large) = (time_of_change(1_000), time_of_change(8_000));
    assert!(
        large < small * 24,
        "{small:?} at 1,000 entries, {large:?} at 8,000"
    );
}

/// Guards against processes that lose their state in a change of the registry, and against restarted ones
/// that inherit it.
#[test]
fn processes_that_stay_keep_their_state() {
    let runtime = Runtime::new("backends", 1);
    let backends = Backends::new(runtime.spawner());
    let mut all = entries(3);
    backends.replace(all.iter());
    let before = backends.of_service("s");
    all[1].start_time = Some(2);
    all[2].phase = Phase::Draining;
    backends.replace(all.iter());
    let find = |id: &str| {
        let after = backends.of_service("s");
        after.iter().find(|b| &*b.entry.id == id).cloned()
    };
    let number = |id: &str| find(id).map(|backend| backend.number);
    let old = |id: &str| before.iter().find(|b| &*b.entry.id == id).cloned();
    assert_eq!(number("i-0"), old("i-0").map(|b| b.number));
    assert_ne!(number("i-1"), old("i-1").map(|b| b.number));
    assert!(old("i-1").is_some_and(|backend| backend.has_ended()));
    assert_eq!(number("i-2"), old("i-2").map(|b| b.number));
    assert!(find("i-2").is_some_and(|backend| backend.is_leaving()));
}
