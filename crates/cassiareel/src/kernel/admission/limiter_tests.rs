//! Limits of account and caller apply together, and a refused request uses up neither.

use std::time::Duration;

use super::{LimitKind, LimitScope, Limiter, Limits};

const NOW: Duration = Duration::from_secs(1);

fn account() -> LimitScope {
    LimitScope {
        account: "reseller".into(),
        caller: None,
    }
}

fn caller(name: &str) -> LimitScope {
    LimitScope {
        account: "reseller".into(),
        caller: Some(name.into()),
    }
}

fn requests(per_second: f64) -> Limits {
    Limits {
        request_rate: Some(per_second),
        ..Limits::default()
    }
}

#[test]
fn a_caller_over_its_own_limit_does_not_use_up_the_accounts() {
    let limiter = Limiter::default();
    let acquire = |name: &str| {
        let levels = [(caller(name), requests(5.0)), (account(), requests(20.0))];
        limiter.acquire(NOW, &levels, 10, 1.0).map(drop)
    };
    let passed = (0..100).filter(|_| acquire("greedy").is_ok()).count();
    assert_eq!(passed, 5);
    let refusal = acquire("greedy").expect_err("its own limit is reached");
    assert_eq!(
        (refusal.scope, refusal.limit),
        (caller("greedy"), LimitKind::RequestRate)
    );
    assert_eq!(refusal.retry_after, Duration::from_millis(200));
    // The refused requests of one caller used none of the account's 20 requests.
    let passed = ["a", "b", "c", "d"].map(|name| (0..5).filter(|_| acquire(name).is_ok()).count());
    assert_eq!(passed, [5, 5, 5, 0]);
    assert_eq!(
        acquire("e").expect_err("the account's limit").scope,
        account()
    );
}

#[test]
fn a_refusal_by_the_account_refunds_the_caller() {
    let limiter = Limiter::default();
    let full = Limits {
        open_requests: Some(0),
        ..Limits::default()
    };
    for _ in 0..10 {
        let levels = [(caller("a"), requests(3.0)), (account(), full)];
        let refusal = limiter
            .acquire(NOW, &levels, 1, 1.0)
            .expect_err("the account is closed");
        assert_eq!(refusal.limit, LimitKind::OpenRequests);
    }
    let levels = [(caller("a"), requests(3.0))];
    assert_eq!(
        (0..9)
            .filter(|_| limiter.acquire(NOW, &levels, 1, 1.0).is_ok())
            .count(),
        3
    );
}

#[test]
fn estimated_tokens_are_settled_with_used_tokens() {
    let limiter = Limiter::default();
    let limits = Limits {
        token_rate: Some(1_000.0),
        ..Limits::default()
    };
    let levels = [(account(), limits)];
    let mut permit = limiter
        .acquire(NOW, &levels, 1_000, 1.0)
        .expect("a full bucket");
    assert!(limiter.acquire(NOW, &levels, 1, 1.0).is_err());
    permit.settle(NOW, 300);
    drop(
        limiter
            .acquire(NOW, &levels, 700, 1.0)
            .expect("700 of 1,000 are left"),
    );
    permit.settle(NOW, 1_300);
    let wait = limiter
        .acquire(NOW, &levels, 1, 1.0)
        .expect_err("in debt")
        .retry_after;
    assert_eq!(wait, Duration::from_millis(1_001));
}

#[test]
fn a_node_enforces_its_part_and_open_requests_are_released() {
    let limiter = Limiter::default();
    let limits = Limits {
        open_requests: Some(12),
        open_tokens: Some(6_000),
        ..Limits::default()
    };
    let levels = [(account(), limits)];
    let permits: Vec<_> = (0..10)
        .filter_map(|_| limiter.acquire(NOW, &levels, 400, 1.0 / 6.0).ok())
        .collect();
    assert_eq!(permits.len(), 2);
    drop(permits);
    assert!(limiter.acquire(NOW, &levels, 400, 1.0 / 6.0).is_ok());
    let one = [(
        account(),
        Limits {
            open_requests: Some(1),
            ..Limits::default()
        },
    )];
    assert!(limiter.acquire(NOW, &one, 400, 1.0 / 6.0).is_ok());
}

#[test]
fn memory_grows_with_active_callers_only() {
    let limiter = Limiter::default();
    let unlimited = [(caller("free"), Limits::default())];
    drop(limiter.acquire(NOW, &unlimited, 1, 1.0));
    assert!(limiter.is_empty());
    let kept = limiter.acquire(NOW, &[(caller("busy"), requests(1e6))], 1, 1.0);
    for i in 0..1_000 {
        let levels = [(caller(&format!("c{i}")), requests(1e6))];
        drop(limiter.acquire(NOW, &levels, 1, 1.0));
    }
    limiter.remove_idle(NOW + Duration::from_secs(30));
    assert_eq!(limiter.len(), 1_001);
    limiter.remove_idle(NOW + Duration::from_secs(90));
    assert_eq!(
        limiter.len(),
        0,
        "only request rates are limited here, and {kept:?} is not in debt"
    );
}
