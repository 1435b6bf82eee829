//! What a node takes from its peers' configurations while they read stores of two eras.

use std::{sync::Arc, time::Duration};

use test_case::test_case;

use super::policy_cache::{KnownPolicy, PeerPolicy, PolicyCache};
use crate::{
    clock::Moment,
    model::{Limits, Policy, StoreEra},
    source::PolicyRead,
};

fn policy(version: u64) -> Policy {
    Policy {
        version,
        routes: Vec::new(),
        services: Vec::new(),
        accounts: None,
        limits: Limits::default(),
    }
}

fn at(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

/// A peer's update: its era, its version, its last read and its last read that proves that the
/// version is the newest, in milliseconds.
struct Update(StoreEra, u64, u64, u64);

struct Case {
    /// The peer's update; the node has read version 5 in era 1 at 1,000 ms.
    update: Update,
    version: u64,
    /// When the last read began, in milliseconds.
    read: u64,
    /// When the last read began that proves that the version is the newest, in milliseconds.
    trusted: u64,
}

#[test_case(&Case { update: Update(1, 5, 1_500, 1_500), version: 5, read: 1_500, trusted: 1_500 }; "the same version")]
#[test_case(&Case { update: Update(1, 6, 1_500, 1_400), version: 6, read: 1_500, trusted: 1_400 }; "a higher version")]
#[test_case(&Case { update: Update(2, 5, 1_500, 900), version: 5, read: 1_500, trusted: 1_000 }; "a restored store that proves nothing yet")]
#[test_case(&Case { update: Update(2, 4, 1_500, 1_500), version: 5, read: 1_500, trusted: 1_000 }; "a peer that started from the copy")]
#[test_case(&Case { update: Update(0, 5, 1_500, 1_500), version: 5, read: 1_000, trusted: 1_500 }; "a late update of the earlier era")]
#[test_case(&Case { update: Update(0, 6, 900, 900), version: 6, read: 1_000, trusted: 1_000 }; "a version that the store has lost")]
fn the_newest_configuration_of_any_era_stays(case: &Case) {
    let cache = PolicyCache::default();
    let read = PolicyRead {
        policy: policy(5),
        era: 1,
    };
    cache.record_read(read, at(1_000));
    let Update(era, version, read, trusted) = case.update;
    let known = KnownPolicy {
        policy: Arc::new(policy(version)),
        read: at(read),
        trusted: at(trusted),
    };
    cache.record_peer(PeerPolicy { era, known });
    let known = cache.get().expect("a configuration");
    assert_eq!(known.policy.version, case.version);
    assert_eq!(
        (known.read, known.trusted),
        (at(case.read), at(case.trusted))
    );
}
