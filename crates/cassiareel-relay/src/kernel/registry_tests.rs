//! Which entries hold while the store comes and goes.

use std::{sync::Arc, time::Duration};

use test_case::test_case;

use super::Registry;
use crate::{
    model::{Entry, Phase},
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

/// A list that was read: when, at which revision, with which ids. An id that ends in `-` drains.
struct Read(u64, u64, &'static [&'static str]);

struct Case {
    reads: &'static [Read],
    /// The ids that hold after the last one.
    held: &'static [&'static str],
}

#[test_case(&Case { reads: &[Read(0, 1, &["a", "b"])], held: &["a", "b"] }; "first list")]
#[test_case(&Case { reads: &[Read(0, 1, &["a", "b"]), Read(1_000, 2, &["a"])], held: &["a"] }; "removed")]
#[test_case(&Case { reads: &[Read(0, 5, &["a"]), Read(1_000, 4, &["a", "b"])], held: &["a"] }; "an answer that was held up")]
#[test_case(&Case { reads: &[Read(0, 1, &["a", "b"]), Read(9_000, 2, &["a"])], held: &["a", "b"] }; "missing at the store's return")]
#[test_case(&Case { reads: &[Read(0, 1, &["a", "b"]), Read(9_000, 2, &["a"]), Read(10_000, 3, &["a", "b"]), Read(12_000, 4, &["a", "b"])], held: &["a", "b"] }; "back in time")]
#[test_case(&Case { reads: &[Read(0, 1, &["a", "b"]), Read(9_000, 2, &["a"]), Read(10_000, 2, &["a"]), Read(11_100, 2, &["a"])], held: &["a"] }; "gone two seconds after the return")]
#[test_case(&Case { reads: &[Read(0, 1, &["a", "b-"]), Read(9_000, 2, &["a"])], held: &["a"] }; "one that was leaving has left")]
fn entries_hold_while_their_owners_may_live(case: &Case) {
    let mut registry = Registry::default();
    for Read(at, revision, ids) in case.reads {
        let entries = ids.iter().map(|id| match id.strip_suffix('-') {
            Some(id) => entry(id, Phase::Draining),
            None => entry(id, Phase::Ready),
        });
        let listing = Listing {
            entries: entries.collect(),
            unreadable: Vec::new(),
            revision: *revision,
        };
        registry.apply(&listing, Duration::from_millis(*at));
    }
    let mut held: Vec<&str> = registry.entries().map(|entry| &*entry.id).collect();
    held.sort_unstable();
    assert_eq!(held, case.held);
}

#[test]
fn another_start_under_an_id_is_another_process() {
    let first = entry("a", Phase::Ready);
    let mut second = first.clone();
    second.start_time = Some(2);
    assert!(first.is_same_process(&entry("a", Phase::Draining)));
    assert!(!first.is_same_process(&second));
}
