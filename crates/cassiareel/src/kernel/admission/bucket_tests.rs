//! Buckets enforce their rate, and the retry time is exact.

use std::time::Duration;

use super::{Bucket, Rate};

const RATE: Rate = Rate {
    per_second: 100.0,
    burst: 20.0,
};

#[test]
fn admitted_units_never_exceed_rate_and_burst() {
    let bucket = Bucket::default();
    let mut rng = fastrand::Rng::with_seed(5);
    let (mut now, mut taken) = (Duration::ZERO, 0.0);
    while now < Duration::from_secs(20) {
        now += Duration::from_micros(rng.u64(0..4_000));
        let units = f64::from(rng.u32(1..10));
        if bucket.try_take(now, &RATE, units).is_ok() {
            taken += units;
        }
        let most = RATE.burst + RATE.per_second * now.as_secs_f64();
        assert!(taken <= most + 1e-3, "{taken} of {most}");
    }
    assert!(taken > 0.95 * 2_000.0, "{taken}");
}

#[test]
fn the_retry_time_is_exact() {
    let bucket = Bucket::default();
    let now = Duration::from_secs(3);
    bucket.try_take(now, &RATE, 20.0).expect("a full bucket");
    let wait = bucket
        .try_take(now, &RATE, 7.0)
        .expect_err("an empty bucket");
    assert_eq!(wait, Duration::from_millis(70));
    let early = now + wait - Duration::from_micros(1);
    assert!(bucket.try_take(early, &RATE, 7.0).is_err());
    assert!(bucket.try_take(now + wait, &RATE, 7.0).is_ok());
}

#[test]
fn a_request_above_the_burst_runs_on_a_full_bucket_and_leaves_a_debt() {
    let bucket = Bucket::default();
    let now = Duration::from_secs(1);
    assert!(bucket.try_take(now, &RATE, 200.0).is_ok());
    assert!(!bucket.is_full(now));
    let wait = bucket.try_take(now, &RATE, 1.0).expect_err("in debt");
    assert!(wait > Duration::from_secs(1), "{wait:?}");
    assert!(bucket.try_take(now, &RATE, 200.0).is_err());
}

#[test]
fn unused_units_are_refunded_and_used_units_are_charged() {
    let bucket = Bucket::default();
    let now = Duration::from_secs(1);
    bucket.try_take(now, &RATE, 20.0).expect("a full bucket");
    bucket.refund(&RATE, 20.0);
    assert!(bucket.is_full(now));
    bucket.charge(now, &RATE, 50.0);
    assert!(bucket.try_take(now, &RATE, 1.0).is_err());
    assert!(bucket.is_full(now + Duration::from_millis(500)));
}

#[test]
fn a_rate_of_zero_refuses_without_overflow() {
    let none = Rate {
        per_second: 0.0,
        burst: 0.0,
    };
    let bucket = Bucket::default();
    bucket.charge(Duration::from_secs(1), &none, 1.0);
    assert!(bucket.try_take(Duration::from_secs(1), &none, 1.0).is_err());
}
