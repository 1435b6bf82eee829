use std::time::Duration;

use cassiareel::backend::CacheEventKind;

use super::{
    cache::{blocks, Cache},
    CacheOptions,
};

const OPTIONS: CacheOptions = CacheOptions {
    max_blocks: 3,
    event_lag: Duration::from_millis(200),
    event_loss: 0.0,
    max_events: 100,
};

const NOW: Duration = Duration::from_secs(1);
const LATER: Duration = Duration::from_secs(2);

#[test]
fn blocks_are_chained_and_only_whole_ones_count() {
    let one = blocks(&"a".repeat(64));
    let two = blocks(&"a".repeat(128));
    assert_eq!((one.len(), two.len(), blocks("short").len()), (1, 2, 0));
    assert_eq!(one[0], two[0]);
    assert_ne!(two[0], two[1]);
}

#[test]
fn the_least_recently_used_block_is_evicted_and_a_prefix_outlives_its_end() {
    let mut cache = Cache::new(OPTIONS, 1);
    cache.store(&[1, 2], NOW);
    cache.store(&[7], NOW);
    assert_eq!(cache.hits(&[1, 2, 3]), 2);
    cache.store(&[8], NOW);
    assert_eq!((cache.hits(&[1, 2]), cache.hits(&[7])), (1, 1));
}

#[test]
fn events_come_late_and_a_snapshot_stands_for_those_before_it() {
    let mut cache = Cache::new(OPTIONS, 1);
    cache.store(&[1], NOW);
    cache.store(&[2], LATER);
    let told = cache.events(0, NOW + OPTIONS.event_lag);
    assert_eq!((told.events.len(), told.next), (1, 1));
    assert_eq!(cache.events(0, NOW).events, []);
    let snapshot = cache.snapshot();
    assert_eq!(snapshot.next, 2);
    assert_eq!(
        snapshot.snapshot.map(|mut b| (b.sort(), b).1),
        Some(vec![1, 2])
    );
    assert_eq!(cache.events(2, LATER + OPTIONS.event_lag).events, []);
}

#[test]
fn a_lost_event_leaves_a_hole() {
    let options = CacheOptions {
        event_loss: 0.3,
        max_blocks: 1,
        ..OPTIONS
    };
    let mut cache = Cache::new(options, 7);
    for block in 0..40 {
        cache.store(&[block], NOW);
    }
    let told = cache.events(0, LATER).events;
    let removed = told
        .iter()
        .filter(|e| e.kind == CacheEventKind::Removed)
        .count();
    assert!((1..79).contains(&told.len()) && removed > 0, "{told:?}");
    assert!(told
        .windows(2)
        .any(|pair| pair[1].sequence > pair[0].sequence + 1));
    assert!(told
        .windows(2)
        .all(|pair| pair[1].sequence > pair[0].sequence));
}
