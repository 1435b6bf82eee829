//! Which of two nodes has the newer values while they read stores of two eras.

use std::time::Duration;

use test_case::test_case;

use super::cache_state::CacheState;
use crate::model::{StoreEra, StoreRevision};

/// A node's state: the era and the revision of its lists, the era and the version of its
/// configuration, and the age of all of them in milliseconds.
struct Known((StoreEra, u64), (StoreEra, u64), u64);

impl Known {
    fn state(&self) -> CacheState {
        let Known((era, revision), (config_era, version), age) = self;
        let revision = Some(StoreRevision::new(*era, *revision));
        let age = Some(Duration::from_millis(*age));
        CacheState {
            version: Some(*version),
            config_era: Some(*config_era),
            revision,
            orders_revision: revision,
            age,
            orders_age: age,
            ..CacheState::default()
        }
    }
}

struct Case {
    own: Known,
    other: Known,
    is_newer: bool,
}

/// Such an update would be sent again and again, since it renews nothing at the other node.
#[test]
fn a_younger_read_of_an_earlier_version_is_no_update() {
    let orders_age = Some(Duration::from_millis(500));
    let own = CacheState {
        orders_age,
        ..Known((1, 3), (1, 5), 100).state()
    };
    let other = CacheState {
        orders_age,
        ..Known((1, 3), (1, 6), 500).state()
    };
    assert!(!own.is_newer_than(&other, Duration::ZERO));
}

#[test_case(&Case { own: Known((1, 3), (1, 5), 500), other: Known((1, 3), (1, 5), 500), is_newer: false }; "the same")]
#[test_case(&Case { own: Known((1, 3), (1, 5), 100), other: Known((1, 3), (1, 5), 500), is_newer: true }; "younger")]
#[test_case(&Case { own: Known((1, 3), (1, 5), 500), other: Known((0, 9), (0, 5), 500), is_newer: true }; "a later era with a lower revision")]
#[test_case(&Case { own: Known((0, 9), (0, 5), 100), other: Known((1, 3), (1, 5), 500), is_newer: false }; "younger in an earlier era")]
#[test_case(&Case { own: Known((0, 9), (0, 6), 500), other: Known((1, 3), (1, 5), 500), is_newer: true }; "a version that the store has lost")]
#[test_case(&Case { own: Known((1, 3), (0, 5), 100), other: Known((1, 3), (1, 5), 500), is_newer: true }; "younger orders beside an earlier configuration")]
fn values_of_an_earlier_era_are_no_update(case: &Case) {
    let (own, other) = (case.own.state(), case.other.state());
    assert_eq!(own.is_newer_than(&other, Duration::ZERO), case.is_newer);
}
