//! The throttle under overload and under a flood from one account.

use std::{collections::HashMap, time::Duration};

use test_case::test_case;

use super::Throttle;

/// A service with a fixed capacity, and the load on one of its nodes.
struct Case {
    name: &'static str,
    /// Requests per second of each account.
    rates: &'static [f64],
    /// Units per second that the service serves.
    capacity: f64,
    /// The least fraction of its demand that must be served for each account.
    least: &'static [f64],
    /// The least fraction of the capacity, or of the demand if that is lower, that must be used. A
    /// third of the capacity may be kept free for the others while one account floods.
    used: f64,
}

/// Simulates a load for some seconds and returns the served fraction of each account's demand. In
/// each tenth of a second the service serves requests in order of arrival, up to its capacity.
fn simulate(
    rates: &[f64],
    capacity: f64,
    seconds: u32,
    throttle: &mut Throttle<usize>,
) -> Vec<f64> {
    const TICK: Duration = Duration::from_millis(100);
    let mut random = fastrand::Rng::with_seed(7);
    let mut requested: HashMap<usize, f64> = HashMap::new();
    let mut served: HashMap<usize, f64> = HashMap::new();
    let mut now = Duration::from_secs(1);
    for _ in 0..seconds * 10 {
        now += TICK;
        let mut room = capacity / 10.0;
        let mut arriving: Vec<usize> = Vec::new();
        for (account, rate) in rates.iter().enumerate() {
            let mean = rate / 10.0;
            let count = mean.floor() as usize + usize::from(random.f64() < mean.fract());
            arriving.extend(std::iter::repeat_n(account, count));
        }
        random.shuffle(&mut arriving);
        for account in arriving {
            *requested.entry(account).or_default() += 1.0;
            let Ok(reserve) = throttle.admit(&account, 1.0, 1.0, now, random.f64()) else {
                continue;
            };
            if room >= 1.0 + reserve * capacity / 10.0 {
                room -= 1.0;
                *served.entry(account).or_default() += 1.0;
            } else {
                throttle.record_unserved(&account, 1.0, now);
            }
        }
    }
    (0..rates.len())
        .map(|account| {
            served.get(&account).unwrap_or(&0.0) / requested.get(&account).unwrap_or(&1.0)
        })
        .collect()
}

#[test]
fn small_accounts_are_served_while_a_large_one_floods() {
    let cases = [
        Case {
            name: "all is served",
            rates: &[20.0, 40.0, 80.0],
            capacity: 400.0,
            least: &[1.0, 1.0, 1.0],
            used: 1.0,
        },
        Case {
            name: "one account sends twenty times its typical load",
            rates: &[20.0, 40.0, 80.0, 1600.0],
            capacity: 400.0,
            least: &[0.95, 0.95, 0.95, 0.05],
            used: 0.67,
        },
        Case {
            name: "one account sends forty times its typical load",
            rates: &[20.0, 40.0, 80.0, 6400.0],
            capacity: 400.0,
            least: &[0.95, 0.95, 0.95, 0.01],
            used: 0.67,
        },
        Case {
            name: "the total demand is five times the capacity",
            rates: &[500.0, 500.0, 500.0, 500.0],
            capacity: 400.0,
            least: &[0.15, 0.15, 0.15, 0.15],
            used: 0.9,
        },
    ];
    for case in cases {
        let served = simulate(case.rates, case.capacity, 20, &mut Throttle::default());
        for (got, least) in served.iter().zip(case.least) {
            assert!(got >= least, "{}: {served:?}", case.name);
        }
        let sum: f64 = served.iter().zip(case.rates).map(|(s, r)| s * r).sum();
        let most = case.capacity.min(case.rates.iter().sum());
        assert!(sum >= most * case.used, "{}: {served:?}", case.name);
    }
}

#[test]
fn nothing_is_rejected_two_seconds_after_a_burst() {
    let mut throttle = Throttle::default();
    simulate(&[100.0, 100.0, 300.0], 100.0, 15, &mut throttle);
    let mut now = Duration::from_secs(16);
    let mut refused = 0;
    for tick in 0..40 {
        now += Duration::from_millis(100);
        for account in 0..3 {
            let random = f64::from(tick % 10) / 10.0;
            let late = tick >= 20;
            let rejected = throttle.admit(&account, 1.0, 1.0, now, random).is_err();
            refused += u32::from(rejected && late);
        }
    }
    assert_eq!(refused, 0);
}

#[test]
fn weights_divide_contended_capacity() {
    let mut throttle = Throttle::default();
    let now = Duration::from_secs(1);
    let mut admitted = [0.0, 0.0];
    for i in 0..2000 {
        for (account, weight) in [(0usize, 1.0), (1, 3.0)] {
            let random = f64::from(i % 100) / 100.0;
            if throttle.admit(&account, weight, 1.0, now, random).is_ok() {
                if i % 4 == 0 {
                    admitted[account] += 1.0;
                } else {
                    throttle.record_unserved(&account, 1.0, now);
                }
            }
        }
    }
    assert!(admitted[1] > admitted[0] * 2.0, "{admitted:?}");
}

#[test]
fn one_failure_rejects_nobody_on_a_node_with_little_load() {
    let mut throttle = Throttle::default();
    let mut now = Duration::from_secs(1);
    for _ in 0..20 {
        now += Duration::from_millis(600);
        assert!(throttle.admit(&"account", 1.0, 1.0, now, 0.999).is_ok());
    }
    throttle.record_unserved(&"account", 1.0, now);
    assert!(throttle.admit(&"account", 1.0, 1.0, now, 0.999).is_ok());
    assert!(throttle.served_fraction(now) > 0.0);
}

/// Guards against rejections on a node that has just started and whose backend server was full for
/// a moment.
#[test]
fn one_failure_among_the_first_requests_rejects_nobody() {
    for first in 0..4 {
        let mut throttle = Throttle::default();
        let now = Duration::from_secs(1);
        for _ in 0..first {
            assert!(throttle.admit(&"account", 1.0, 1.0, now, 0.999).is_ok());
        }
        let _ = throttle.admit(&"account", 1.0, 1.0, now, 0.999);
        throttle.record_unserved(&"account", 1.0, now);
        let next = throttle.admit(&"account", 1.0, 1.0, now, 0.999);
        assert!(next.is_ok(), "after {first} served requests: {next:?}");
    }
}

/// The units that accounts requested before, and the reserve of a further request of the first one.
struct Reserve {
    earlier: &'static [(&'static str, f64)],
    /// Whether none of them were served.
    is_unserved: bool,
    reserve: std::ops::RangeInclusive<f64>,
}

/// Guards against a request that makes its own account dominant, which refused streams of calm accounts
/// at nodes with few requests, and against a reserve that is not a number.
#[test_case(&Reserve { earlier: &[], is_unserved: false, reserve: 0.0..=0.0 }; "the first request of a node")]
#[test_case(&Reserve { earlier: &[("b", 0.5)], is_unserved: false, reserve: 0.0..=0.0 }; "its account's first request")]
#[test_case(&Reserve { earlier: &[("a", 1.0)], is_unserved: true, reserve: 0.0..=0.0 }; "alone and not served")]
#[test_case(&Reserve { earlier: &[("a", 1.0), ("b", 3.0)], is_unserved: false, reserve: 0.0..=0.0 }; "a quarter of the demand")]
#[test_case(&Reserve { earlier: &[("a", 4.0), ("b", 1.0)], is_unserved: false, reserve: 0.3..=0.33 }; "most of the demand")]
fn a_dominant_account_leaves_room_by_its_earlier_requests(case: &Reserve) {
    let mut throttle = Throttle::default();
    let now = Duration::from_secs(1);
    for (account, units) in case.earlier {
        let _ = throttle.admit(account, 1.0, *units, now, 0.0);
        if case.is_unserved {
            throttle.record_unserved(account, *units, now);
        }
    }
    let reserve = throttle.admit(&"a", 1.0, 1.0, now, 0.0);
    let reserve = reserve.expect("a random number of 0 admits");
    assert!(case.reserve.contains(&reserve), "{reserve}");
}
