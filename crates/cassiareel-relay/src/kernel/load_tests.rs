//! Admission, retry delays and waits under a service's load.

use std::time::Duration;

use super::{max_wait, AdmissionRequest, ServiceLoad};
use crate::model::{AccountId, Prompt};

const OBJECTIVE: Duration = Duration::from_secs(4);

fn request(account: &str, priority: u8) -> AdmissionRequest {
    AdmissionRequest {
        account: AccountId::from(account),
        priority,
        weight: 1.0,
        cost: 1.0,
    }
}

/// Sends `requests` in turn for four seconds, while 80% of the admitted ones are not served.
/// Returns the load, the time after that, and the number of admitted requests of each kind.
fn overloaded(requests: &[AdmissionRequest]) -> (ServiceLoad, Duration, Vec<u32>) {
    let mut load = ServiceLoad::default();
    let mut random = fastrand::Rng::with_seed(2);
    let mut admitted = vec![0; requests.len()];
    let mut now = Duration::from_secs(1);
    for i in 0..4000 {
        now += Duration::from_millis(1);
        let request = &requests[i % requests.len()];
        if load.admit(request, now, random.f64()).is_ok() {
            admitted[i % requests.len()] += 1;
            if random.f64() < 0.8 {
                load.record_unserved(request, now);
            }
        }
    }
    (load, now, admitted)
}

#[test]
fn requests_of_a_higher_priority_are_preferred() {
    let (_, _, admitted) = overloaded(&[request("account", 1), request("account", 2)]);
    assert!(admitted[0] > admitted[1] * 3, "{admitted:?}");
}

#[test]
fn retry_delays_are_spread_and_grow_as_less_is_served() {
    let mut idle = ServiceLoad::default();
    let soon = idle.retry_after(OBJECTIVE, Duration::from_secs(1), 0.5);
    let (mut busy, now, _) = overloaded(&[request("account", 1)]);
    let late = busy.retry_after(OBJECTIVE, now, 0.5);
    let later = busy.retry_after(OBJECTIVE, now, 0.9);
    assert!(soon < late && late < later, "{soon:?} {late:?} {later:?}");
    assert!(later < OBJECTIVE / 2);
}

#[test]
fn copies_are_skipped_when_memory_fills() {
    let mut load = ServiceLoad::default();
    for (fill, may) in [(0.2, true), (0.9, false), (0.2, true)] {
        for _ in 0..60 {
            load.record_fill(fill);
        }
        assert_eq!(load.may_copy(0.5), may, "{fill}");
    }
}

#[test]
fn the_prefill_time_follows_the_measurements() {
    let mut load = ServiceLoad::default();
    for _ in 0..100 {
        load.record_prefill(8000, Duration::from_secs(4));
    }
    let time = load.prefill_time(8000);
    assert!(
        time > Duration::from_millis(3900) && time < Duration::from_millis(4100),
        "{time:?}"
    );
}

#[test]
fn the_cost_of_a_request_grows_with_its_size() {
    let mut load = ServiceLoad::default();
    let prompt = |input| Prompt {
        input,
        max_output: 100,
        ..Prompt::default()
    };
    for _ in 0..100 {
        load.relative_cost(&prompt(5000));
    }
    let (average, large) = (
        load.relative_cost(&prompt(5000)),
        load.relative_cost(&prompt(20_000)),
    );
    assert!(
        (0.9..1.1).contains(&average) && large > 2.5,
        "{average} {large}"
    );
    assert_eq!(load.relative_cost(&Prompt::default()), 1.0);
}

/// A request with an objective of 4,000 ms and its longest wait; all times in milliseconds.
struct WaitCase {
    name: &'static str,
    age: u64,
    work: u64,
    max_wait: u64,
}

#[test]
fn a_wait_leaves_time_for_the_answer() {
    let cases = [
        WaitCase {
            name: "a request that has just arrived",
            age: 0,
            work: 1000,
            max_wait: 2000,
        },
        WaitCase {
            name: "a request whose answer takes most of the time",
            age: 0,
            work: 2800,
            max_wait: 1200,
        },
        WaitCase {
            name: "a request that was delayed",
            age: 2500,
            work: 0,
            max_wait: 1500,
        },
        WaitCase {
            name: "a request that can no longer be answered in time, and is served nevertheless",
            age: 4500,
            work: 0,
            max_wait: 800,
        },
    ];
    for case in cases {
        let (age, work) = (
            Duration::from_millis(case.age),
            Duration::from_millis(case.work),
        );
        let wait = max_wait(OBJECTIVE, age, work, 0.5);
        assert_eq!(wait, Duration::from_millis(case.max_wait), "{}", case.name);
    }
}
