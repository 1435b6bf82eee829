//! Which entries stay in use through outages of the store.

use std::{sync::Arc, time::Duration};

use test_case::test_case;

use super::Registry;
use crate::{
    model::{Entry, Phase, StoreRevision},
    source::Listing,
};

fn entry(id: &str, phase: Phase) -> Entry {
    Entry {
        id: Arc::from(id),
        start_time: Some(1),
        service: Arc::from("s"),
        address: ([10, 0, 0, 1], 80).into(),
        data_centre: Arc::from("z"),
        version: Arc::from("v1"),
        slots: 6,
        phase,
    }
}

/// A listing: its time in milliseconds, its revision and its ids. An id that ends in `-` is
/// draining.
struct Read(u64, u64, &'static [&'static str]);

struct Case {
    reads: &'static [Read],
    /// The ids in use after the last listing.
    in_use: &'static [&'static str],
}

#[test_case(&Case { reads: &[Read(0, 1, &["a", "b"])], in_use: &["a", "b"] }; "first listing")]
#[test_case(&Case { reads: &[Read(0, 1, &["a", "b"]), Read(1_000, 2, &["a"])], in_use: &["a"] }; "removed")]
#[test_case(&Case { reads: &[Read(0, 5, &["a"]), Read(1_000, 4, &["a", "b"])], in_use: &["a"] }; "a delayed answer")]
#[test_case(&Case { reads: &[Read(0, 1, &["a", "b"]), Read(9_000, 2, &["a"])], in_use: &["a", "b"] }; "missing at the store's return")]
#[test_case(&Case { reads: &[Read(0, 1, &["a", "b"]), Read(9_000, 2, &["a"]), Read(10_000, 3, &["a", "b"]), Read(12_000, 4, &["a", "b"])], in_use: &["a", "b"] }; "registered again in time")]
#[test_case(&Case { reads: &[Read(0, 1, &["a", "b"]), Read(9_000, 2, &["a"]), Read(10_000, 2, &["a"]), Read(11_100, 2, &["a"])], in_use: &["a"] }; "not registered again within two seconds")]
#[test_case(&Case { reads: &[Read(0, 1, &["a", "b-"]), Read(9_000, 2, &["a"])], in_use: &["a"] }; "a draining entry that is missing")]
fn entries_stay_in_use_while_their_owners_may_be_running(case: &Case) {
    let mut registry = Registry::default();
    for Read(at, revision, ids) in case.reads {
        let entries = ids.iter().map(|id| match id.strip_suffix('-') {
            Some(id) => entry(id, Phase::Draining),
            None => entry(id, Phase::Ready),
        });
        let listing = Listing {
            entries: entries.collect(),
            unreadable: Vec::new(),
            revision: StoreRevision::new(0, *revision),
            latest: StoreRevision::default(),
        };
        registry.apply(&listing, Duration::from_millis(*at));
    }
    let mut in_use: Vec<&str> = registry.entries().map(|entry| &*entry.id).collect();
    in_use.sort_unstable();
    assert_eq!(in_use, case.in_use);
}

/// A list of a store: its time in milliseconds, its era, its revision and its ids. An id that ends in
/// `-` is draining; one that ends in `+` belongs to another process.
struct EraRead(u64, u64, u64, &'static [&'static str]);

struct EraCase {
    reads: &'static [EraRead],
    /// The ids in use after the last list.
    in_use: &'static [&'static str],
    /// Those that take new requests.
    ready: &'static [&'static str],
}

#[test_case(&EraCase { reads: &[EraRead(0, 0, 9, &["a"]), EraRead(700, 1, 3, &["a", "b"])], in_use: &["a", "b"], ready: &["a", "b"] }; "a lower revision")]
#[test_case(&EraCase { reads: &[EraRead(0, 0, 9, &["a"]), EraRead(700, 1, 9, &["a", "b"])], in_use: &["a", "b"], ready: &["a", "b"] }; "the same revision")]
#[test_case(&EraCase { reads: &[EraRead(0, 1, 3, &["a"]), EraRead(700, 0, 9, &["a", "b"])], in_use: &["a"], ready: &["a"] }; "a late answer of the earlier era")]
#[test_case(&EraCase { reads: &[EraRead(0, 0, 9, &["a", "b"]), EraRead(700, 1, 3, &["a"]), EraRead(2_600, 1, 4, &["a"])], in_use: &["a", "b"], ready: &["a", "b"] }; "an entry that was lost")]
#[test_case(&EraCase { reads: &[EraRead(0, 0, 9, &["a", "b"]), EraRead(700, 1, 3, &["a"]), EraRead(2_800, 1, 3, &["a"])], in_use: &["a"], ready: &["a"] }; "an entry that stays lost")]
#[test_case(&EraCase { reads: &[EraRead(0, 0, 9, &["a", "b-"]), EraRead(700, 1, 3, &["a", "b"])], in_use: &["a", "b"], ready: &["a"] }; "a leaving server that the copy has as ready")]
#[test_case(&EraCase { reads: &[EraRead(0, 0, 8, &["a", "b"]), EraRead(700, 0, 9, &["a"]), EraRead(1_400, 1, 3, &["a", "b"])], in_use: &["a", "b"], ready: &["a"] }; "a removed server that the copy has")]
#[test_case(&EraCase { reads: &[EraRead(0, 0, 8, &["a", "b"]), EraRead(700, 0, 9, &["a"]), EraRead(1_400, 1, 3, &["a", "b+"])], in_use: &["a", "b"], ready: &["a", "b"] }; "a process that started after the removal")]
#[test_case(&EraCase { reads: &[EraRead(0, 0, 8, &["a", "b"]), EraRead(700, 0, 9, &["a"]), EraRead(1_400, 1, 3, &["a", "b"]), EraRead(6_500, 1, 3, &["a", "b"])], in_use: &["a", "b"], ready: &["a", "b"] }; "a server whose entry does not expire")]
#[test_case(&EraCase { reads: &[EraRead(0, 0, 8, &["a", "b"]), EraRead(700, 0, 9, &["a"]), EraRead(1_400, 1, 3, &["a", "b"]), EraRead(2_100, 1, 4, &["a"])], in_use: &["a"], ready: &["a"] }; "a removed server whose entry expires")]
#[test_case(&EraCase { reads: &[EraRead(0, 0, 8, &["a", "b"]), EraRead(700, 0, 9, &["a"]), EraRead(1_400, 1, 3, &["a", "b"]), EraRead(2_100, 2, 3, &["a", "b"])], in_use: &["a", "b"], ready: &["a"] }; "two restores")]
#[test_case(&EraCase { reads: &[EraRead(0, 0, 8, &["a", "b"]), EraRead(700, 0, 9, &["a"]), EraRead(61_400, 0, 9, &["a"]), EraRead(62_000, 1, 3, &["a", "b"])], in_use: &["a", "b"], ready: &["a", "b"] }; "a removal long before")]
fn a_restored_registry_brings_back_no_server_that_was_leaving(case: &EraCase) {
    let mut registry = Registry::default();
    for EraRead(at, era, revision, ids) in case.reads {
        let entries = ids.iter().map(|id| {
            let mut entry = match id.strip_suffix('-') {
                Some(id) => entry(id, Phase::Draining),
                None => entry(id.trim_end_matches('+'), Phase::Ready),
            };
            entry.start_time = Some(1 + u64::from(id.ends_with('+')));
            entry
        });
        let listing = Listing {
            entries: entries.collect(),
            unreadable: Vec::new(),
            revision: StoreRevision::new(*era, *revision),
            latest: StoreRevision::default(),
        };
        registry.apply(&listing, Duration::from_millis(*at));
    }
    let ids = |is_wanted: fn(&Entry) -> bool| {
        let entries = registry.entries().filter(|entry| is_wanted(entry));
        let mut ids: Vec<String> = entries.map(|entry| entry.id.to_string()).collect();
        ids.sort_unstable();
        ids
    };
    assert_eq!(ids(|_| true), case.in_use);
    assert_eq!(ids(|entry| entry.phase == Phase::Ready), case.ready);
}

#[test]
fn the_same_id_with_another_start_time_is_another_process() {
    let first = entry("a", Phase::Ready);
    let mut second = first.clone();
    second.start_time = Some(2);
    assert!(first.is_same_process(&entry("a", Phase::Draining)));
    assert!(!first.is_same_process(&second));
}
