use std::time::Duration;

use cassiareel::backend::CacheEventKind;

use super::{
    cache::{block_hashes, Cache},
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
fn block_hashes_are_chained_and_cover_only_complete_blocks() {
    let one = block_hashes(&"a".repeat(64));
    let two = block_hashes(&"a".repeat(128));
    assert_eq!(
        (one.len(), two.len(), block_hashes("short").len()),
        (1, 2, 0)
    );
    assert_eq!(one[0], two[0]);
    assert_ne!(two[0], two[1]);
}

#[test]
fn the_least_recently_used_block_is_evicted_and_a_block_before_its_prefix() {
    let mut cache = Cache::new(OPTIONS, 1);
    cache.store(&[1, 2], NOW);
    cache.store(&[7], NOW);
    assert_eq!(cache.cached_prefix_len(&[1, 2, 3]), 2);
    cache.store(&[8], NOW);
    assert_eq!(
        (
            cache.cached_prefix_len(&[1, 2]),
            cache.cached_prefix_len(&[7])
        ),
        (1, 1)
    );
}

#[test]
fn events_are_delayed_by_the_lag_and_a_snapshot_includes_earlier_events() {
    let mut cache = Cache::new(OPTIONS, 1);
    cache.store(&[1], NOW);
    cache.store(&[2], LATER);
    let received = cache.events(0, NOW + OPTIONS.event_lag);
    assert_eq!((received.events.len(), received.next), (1, 1));
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
fn a_lost_event_leaves_a_gap_in_the_sequence() {
    let options = CacheOptions {
        event_loss: 0.3,
        max_blocks: 1,
        ..OPTIONS
    };
    let mut cache = Cache::new(options, 7);
    for block in 0..40 {
        cache.store(&[block], NOW);
    }
    let received = cache.events(0, LATER).events;
    let removed = received
        .iter()
        .filter(|e| e.kind == CacheEventKind::Removed)
        .count();
    assert!(
        (1..79).contains(&received.len()) && removed > 0,
        "{received:?}"
    );
    assert!(received
        .windows(2)
        .any(|pair| pair[1].sequence > pair[0].sequence + 1));
    assert!(received
        .windows(2)
        .all(|pair| pair[1].sequence > pair[0].sequence));
}
