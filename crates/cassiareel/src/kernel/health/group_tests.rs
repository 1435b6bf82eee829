//! Ejection is bounded, trials are idempotent, and a return is gradual.

use std::time::Duration;

use super::{Change, Group, Limits, Outcome, Stage};
use crate::kernel::BackendId;

const T0: Duration = Duration::ZERO;

fn group(count: usize) -> (Group, Vec<BackendId>) {
    let names: Vec<BackendId> = (0..count).map(|i| format!("s{i:02}").into()).collect();
    let mut group = Group::new(Limits::default());
    group.set_servers(&names);
    (group, names)
}

/// Counts the servers without weight.
fn ejected(group: &Group, names: &[BackendId], now: Duration) -> usize {
    names
        .iter()
        .filter(|name| group.weight(now, name) == 0.0)
        .count()
}

#[test]
fn failures_of_all_servers_eject_no_more_than_allowed() {
    for count in [1, 2, 3, 6, 36] {
        let (mut group, names) = group(count);
        for _ in 0..50 {
            for name in &names {
                group.record(T0, name, Outcome::Lost);
            }
        }
        let out = ejected(&group, &names, T0);
        assert!(out <= count / 2, "{out} of {count}");
    }
}

#[test]
fn a_failure_rate_common_to_most_ejects_none() {
    let (mut group, names) = group(36);
    for round in 0..40 {
        for name in &names {
            let outcome = if round % 2 == 0 {
                Outcome::Fault
            } else {
                Outcome::Success
            };
            group.record(T0, name, outcome);
        }
    }
    assert_eq!(ejected(&group, &names, T0), 0);
}

#[test]
fn a_server_that_fails_half_its_calls_is_ejected_among_good_ones() {
    let (mut group, names) = group(36);
    for round in 0..40 {
        for (i, name) in names.iter().enumerate() {
            let bad = i == 7 && round % 2 == 0;
            group.record(
                T0,
                name,
                if bad {
                    Outcome::Fault
                } else {
                    Outcome::Success
                },
            );
        }
    }
    assert_eq!(ejected(&group, &names, T0), 1);
    assert_eq!(group.weight(T0, &names[7]), 0.0);
}

#[test]
fn a_trial_is_one_idempotent_call_at_a_time_and_the_return_is_gradual() {
    let (mut group, names) = group(4);
    let name = &names[1];
    for _ in 0..3 {
        group.record(T0, name, Outcome::Lost);
    }
    assert!(
        !group.start_trial(name, true),
        "ejected servers get no trial before their time"
    );
    let mut now = Duration::from_secs(5);
    assert_eq!(group.tick(now), [Change::Trial(name.clone())]);
    assert!(
        !group.start_trial(name, false),
        "a non-idempotent call was taken as a trial"
    );
    assert!(group.start_trial(name, true));
    assert!(!group.start_trial(name, true), "two trials at a time");
    assert_eq!(group.record(now, name, Outcome::Success), None);
    assert!(group.start_trial(name, true));
    assert_eq!(
        group.record(now, name, Outcome::Success),
        Some(Change::Returning(name.clone()))
    );
    assert_eq!(group.weight(now, name), 0.1);
    now += Duration::from_secs(5);
    assert!((group.weight(now, name) - 0.55).abs() < 1e-4);
    now += Duration::from_secs(5);
    assert_eq!(group.tick(now), [Change::Healthy(name.clone())]);
    assert_eq!(group.weight(now, name), 1.0);
}

#[test]
fn a_failed_trial_doubles_the_ejection() {
    let (mut group, names) = group(4);
    let name = &names[1];
    for _ in 0..3 {
        group.record(T0, name, Outcome::Lost);
    }
    let mut until = Duration::from_secs(5);
    for doubled in [10, 20, 40, 80, 160, 300, 300] {
        let now = until;
        group.tick(now);
        assert!(group.start_trial(name, true));
        group.record(now, name, Outcome::Lost);
        until = now + Duration::from_secs(doubled);
        assert_eq!(group.stage(name), Some(Stage::Ejected { until }));
    }
}

#[test]
fn an_inconclusive_trial_is_cancelled() {
    let (mut group, names) = group(4);
    for _ in 0..3 {
        group.record(T0, &names[0], Outcome::Lost);
    }
    group.tick(Duration::from_secs(5));
    assert!(group.start_trial(&names[0], true));
    group.cancel_trial(&names[0]);
    assert!(group.start_trial(&names[0], true));
}

#[test]
fn one_route_does_not_eject_for_another() {
    let (mut bad, names) = group(4);
    let (good, _) = group(4);
    for _ in 0..10 {
        bad.record(T0, &names[2], Outcome::Fault);
    }
    assert_eq!(
        (bad.weight(T0, &names[2]), good.weight(T0, &names[2])),
        (0.0, 1.0)
    );
}
