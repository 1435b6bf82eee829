//! How an owner divides its quota.

use std::time::Duration;

use super::{owners, quota, NodeKey, PermitRequest, QuotaOwner, REQUEST_INTERVAL};

/// The quota, in permits a second.
const QUOTA: f64 = 4.0;

fn request(demand: f64, wanted: u32) -> PermitRequest {
    PermitRequest {
        demand,
        wanted,
        ..PermitRequest::default()
    }
}

fn full_owner() -> (QuotaOwner, Duration) {
    (
        QuotaOwner::new(QUOTA, Duration::ZERO),
        Duration::from_secs(10),
    )
}

#[test]
fn permits_are_those_of_one_interval_however_long_none_was_asked_for() {
    let (mut owner, now) = full_owner();
    let grant = owner.grant(1, &request(100.0, 100), now);
    let most = 1.0 + QUOTA * REQUEST_INTERVAL.as_secs_f64();
    assert_eq!(f64::from(grant.permits), most);
    assert_eq!(owner.grant(1, &request(100.0, 100), now).permits, 0);
}

#[test]
fn returned_permits_are_granted_again() {
    let (mut owner, now) = full_owner();
    owner.grant(1, &request(9.0, 3), now);
    let returning = PermitRequest {
        returned: 2,
        ..request(9.0, 3)
    };
    assert_eq!(owner.grant(1, &returning, now).permits, 2);
}

#[test]
fn ongoing_work_gets_a_permit_in_advance_which_new_work_pays_back() {
    let (mut owner, now) = full_owner();
    owner.grant(1, &request(9.0, 100), now);
    let urgent = PermitRequest {
        urgent: 3,
        ..request(9.0, 3)
    };
    assert_eq!(owner.grant(2, &urgent, now).permits, 1);
    let later = now + Duration::from_secs_f64(1.5 / QUOTA);
    assert_eq!(owner.grant(1, &request(9.0, 3), later).permits, 0);
}

#[test]
fn a_node_with_little_demand_leaves_most_permits_to_others() {
    let (mut owner, now) = full_owner();
    owner.grant(1, &request(99.0, 0), now);
    assert_eq!(owner.grant(2, &request(1.0, 100), now).permits, 1);
    assert_eq!(owner.grant(1, &request(99.0, 100), now).permits, 2);
}

/// Owners give each of many nodes an interval at which together they ask at a bounded rate.
#[test]
fn many_nodes_ask_little_more_often_than_permits_become_free() {
    let (mut owner, now) = full_owner();
    let mut next = Duration::ZERO;
    for node in 0..200 {
        next = owner.grant(node, &request(1.0, 1), now).next;
    }
    let rate = 200.0 / next.as_secs_f64();
    assert!(rate < QUOTA * 5.0, "{rate} a second");
    // A node with a high demand comes back sooner.
    assert!(owner.grant(500, &request(50.0, 1), now).next < next / 10);
}

struct OwnersCase {
    limit: f64,
    nodes: usize,
    owners: usize,
}

#[test]
fn the_quotas_of_all_owners_add_up_to_the_limit() {
    let cases = [
        OwnersCase {
            limit: 0.3,
            nodes: 6,
            owners: 1,
        },
        OwnersCase {
            limit: 2.7,
            nodes: 6,
            owners: 2,
        },
        OwnersCase {
            limit: 9.9,
            nodes: 295,
            owners: 3,
        },
        OwnersCase {
            limit: 9.9,
            nodes: 2,
            owners: 2,
        },
        OwnersCase {
            limit: 9.9,
            nodes: 1,
            owners: 1,
        },
    ];
    for case in cases {
        let nodes: Vec<NodeKey> = (0..case.nodes as NodeKey).collect();
        let found = owners(7, case.limit, &nodes);
        assert_eq!(found.len(), case.owners, "{} {}", case.limit, case.nodes);
        let sum = quota(case.limit, found.len()) * found.len() as f64;
        assert!((sum - case.limit).abs() < 1e-9, "{sum}");
    }
}

/// Another node in the list replaces at most one owner, and only for some processes.
#[test]
fn a_node_that_is_added_replaces_at_most_one_owner() {
    let nodes: Vec<NodeKey> = (0..20).collect();
    let more: Vec<NodeKey> = (0..21).collect();
    let kept = |process| {
        let before = owners(process, 9.9, &nodes);
        let after = owners(process, 9.9, &more);
        before.iter().filter(|node| after.contains(node)).count()
    };
    assert!((0..100).all(|process| kept(process) >= 2));
    assert!((0..100).filter(|process| kept(*process) == 2).count() < 40);
}
