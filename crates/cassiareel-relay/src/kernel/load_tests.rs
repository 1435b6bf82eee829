//! What a node makes of a service's load.

use std::time::Duration;

use super::{max_wait, AdmissionRequest, ServiceLoad};
use crate::model::{AccountId, Prompt};

const OBJECTIVE: Duration = Duration::from_secs(4);

fn claim(tenant: &str, rank: u8) -> AdmissionRequest {
    AdmissionRequest {
        account: AccountId::from(tenant),
        priority: rank,
        weight: 1.0,
        cost: 1.0,
    }
}

/// A load of which nothing is served: requests of `claims` in turn for some seconds.
fn overloaded(claims: &[AdmissionRequest]) -> (ServiceLoad, Duration, Vec<u32>) {
    let mut load = ServiceLoad::default();
    let mut random = fastrand::Rng::with_seed(2);
    let mut let_in = vec![0; claims.len()];
    let mut now = Duration::from_secs(1);
    for i in 0..4000 {
        now += Duration::from_millis(1);
        let claim = &claims[i % claims.len()];
        if load.admit(claim, now, random.f64()).is_ok() {
            let_in[i % claims.len()] += 1;
            if random.f64() < 0.8 {
                load.record_unserved(claim, now);
            }
        }
    }
    (load, now, let_in)
}

#[test]
fn urgent_requests_go_before_less_urgent_ones() {
    let (_, _, let_in) = overloaded(&[claim("account", 1), claim("account", 2)]);
    assert!(let_in[0] > let_in[1] * 3, "{let_in:?}");
}

#[test]
fn callers_come_back_later_the_less_is_served_and_not_together() {
    let mut idle = ServiceLoad::default();
    let soon = idle.retry_after(OBJECTIVE, Duration::from_secs(1), 0.5);
    let (mut busy, now, _) = overloaded(&[claim("account", 1)]);
    let late = busy.retry_after(OBJECTIVE, now, 0.5);
    let later = busy.retry_after(OBJECTIVE, now, 0.9);
    assert!(soon < late && late < later, "{soon:?} {late:?} {later:?}");
    assert!(later < OBJECTIVE / 2);
}

#[test]
fn copies_give_way_when_memory_fills() {
    let mut load = ServiceLoad::default();
    for (fill, may) in [(0.2, true), (0.9, false), (0.2, true)] {
        for _ in 0..60 {
            load.record_fill(fill);
        }
        assert_eq!(load.may_copy(0.5), may, "{fill}");
    }
}

#[test]
fn the_time_to_read_follows_engines_that_read_alone() {
    let mut load = ServiceLoad::default();
    for _ in 0..100 {
        load.record_prefill(8000, Duration::from_secs(4));
    }
    let read = load.prefill_time(8000);
    assert!(
        read > Duration::from_millis(3900) && read < Duration::from_millis(4100),
        "{read:?}"
    );
}

#[test]
fn a_request_costs_by_its_size() {
    let mut load = ServiceLoad::default();
    let prompt = |input| Prompt {
        input,
        max_output: 100,
        ..Prompt::default()
    };
    for _ in 0..100 {
        load.relative_cost(&prompt(5000));
    }
    let (usual, large) = (
        load.relative_cost(&prompt(5000)),
        load.relative_cost(&prompt(20_000)),
    );
    assert!(
        (0.9..1.1).contains(&usual) && large > 2.5,
        "{usual} {large}"
    );
    assert_eq!(load.relative_cost(&Prompt::default()), 1.0);
}

/// A request and how long it may wait, in milliseconds; its objective is 4,000.
struct Wait {
    name: &'static str,
    age: u64,
    work: u64,
    may: u64,
}

#[test]
fn a_wait_leaves_time_for_the_answer() {
    let cases = [
        Wait {
            name: "a request that just came",
            age: 0,
            work: 1000,
            may: 2000,
        },
        Wait {
            name: "its answer takes most of the time",
            age: 0,
            work: 2800,
            may: 1200,
        },
        Wait {
            name: "it was held up",
            age: 2500,
            work: 0,
            may: 1500,
        },
        Wait {
            name: "it can't be in time any more, and is served all the same",
            age: 4500,
            work: 0,
            may: 800,
        },
    ];
    for case in cases {
        let (age, work) = (
            Duration::from_millis(case.age),
            Duration::from_millis(case.work),
        );
        let may = max_wait(OBJECTIVE, age, work, 0.5);
        assert_eq!(may, Duration::from_millis(case.may), "{}", case.name);
    }
}
