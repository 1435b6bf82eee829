//! Tests of plans, shares, merged counts and the judge.

use std::time::Duration;

use super::{
    build_judge, uses_new_version, Caller, Cell, Comparison, Counts, JudgeConfig, Key, Outcome,
    Plan, PlanError, Ramp, Resources, Scope, Tally,
};

fn plan(to: &str, within_secs: u64) -> Plan {
    Plan {
        service: "drafts".into(),
        from: "v1".into(),
        to: to.into(),
        scope: Scope::default(),
        within_secs,
    }
}

#[test]
fn impossible_moves_are_rejected_at_the_start() {
    struct Case {
        name: &'static str,
        plan: Plan,
        resources: Resources,
        rejected: Option<fn(&PlanError) -> bool>,
    }
    let resources = Resources {
        servers: 10,
        loaded: 4,
        parallel_loads: 2,
        load_time: Duration::from_secs(60),
    };
    let cases = [
        Case {
            name: "enough time",
            plan: plan("v2", 300),
            resources,
            rejected: None,
        },
        Case {
            name: "weight store too slow",
            plan: plan("v2", 200),
            resources,
            rejected: Some(|e| matches!(e, PlanError::TooSlow { loads: 6, .. })),
        },
        Case {
            name: "no placement",
            plan: plan("v2", 300),
            resources: Resources::default(),
            rejected: Some(|e| matches!(e, PlanError::Unplaced { .. })),
        },
        Case {
            name: "same version",
            plan: plan("v1", 300),
            resources,
            rejected: Some(|e| matches!(e, PlanError::SameVersion { .. })),
        },
        Case {
            name: "too short to judge",
            plan: plan("v2", 30),
            resources,
            rejected: Some(|e| matches!(e, PlanError::TooShort { .. })),
        },
    ];
    for case in cases {
        match (case.plan.check(case.resources), case.rejected) {
            (Ok(()), None) => {}
            (Err(err), Some(expected)) => assert!(expected(&err), "{}: {err}", case.name),
            (got, _) => panic!("{}: {got:?}", case.name),
        }
    }
}

#[test]
fn version_of_a_caller_changes_once() {
    for i in 0..200 {
        let name = format!("zrinski/{i}");
        let mut changed = 0;
        let mut last = false;
        for percent in 5..=100 {
            let caller = Caller {
                name: &name,
                request: &format!("r{percent}"),
                callers: 3,
            };
            let takes = uses_new_version(9, caller, f64::from(percent) / 100.0);
            changed += u32::from(takes != last);
            last = takes;
        }
        assert_eq!((changed, last), (1, true), "{name}");
    }
}

#[test]
fn first_share_of_a_single_caller_is_small() {
    let taken = (0..10_000)
        .filter(|i| {
            let request = format!("r{i}");
            let caller = Caller {
                name: "zrinski/orders",
                request: &request,
                callers: 1,
            };
            uses_new_version(9, caller, super::CANARY_SHARE)
        })
        .count();
    assert!(taken <= 500, "{taken} of 10000 is over 5%");
    assert!(taken > 0);
}

#[test]
fn tallies_merge_in_any_order_and_any_number_of_times() {
    let cell = Cell {
        account: "a".into(),
        route: "r".into(),
    };
    let key = Key {
        version: "v2".into(),
        cell,
        server: 1,
    };
    let mut first = Tally::default();
    first.begin();
    let mut second = first;
    second.begin();
    second.end(Outcome::Early);
    let mut counts = Counts::default();
    for tally in [second, first, second] {
        counts.merge(&"n1".into(), 1, key.clone(), tally);
    }
    counts.merge(&"n1".into(), 2, key.clone(), first);
    counts.merge(&"n2".into(), 1, key.clone(), first);
    let sum = counts.sum()[&key];
    assert_eq!((sum.requests, sum.early), (4, 1));
}

#[test]
fn suspicion_delays_a_ramp_until_the_time_limit() {
    let within = Duration::from_secs(600);
    let mut ramp = Ramp::new(Duration::ZERO);
    ramp.advance(Duration::from_secs(11), within, 149, 0.0);
    assert!(ramp.share() < 0.05, "one request is missing");
    ramp.advance(Duration::from_secs(11), within, 150, 0.9);
    assert!(ramp.share() < 0.05, "the suspicion is too high");
    ramp.advance(Duration::from_secs(11), within, 150, 0.0);
    assert!((ramp.share() - 0.15).abs() < 1e-9);
    ramp.advance(Duration::from_secs(541), within, 100, 0.9);
    assert!(ramp.is_done(), "the time limit overrides the suspicion");
}

/// Runs the judge on one row per second: new requests, new errors, old requests, old errors.
///
/// Returns the second of the first verdict.
fn first_verdict(rows: &[(u32, u32, u32, u32)]) -> Option<usize> {
    let config = JudgeConfig {
        duration: Duration::from_secs(600),
        interval: Duration::from_secs(1),
        cells: 1,
    };
    let mut judge = build_judge("sequential", config).expect("the judge is registered");
    let cell = Cell {
        account: "a".into(),
        route: "r".into(),
    };
    let mut new: Vec<(u16, Tally)> = (0..8).map(|i| (i, Tally::default())).collect();
    let mut old = Tally::default();
    for (second, row) in rows.iter().enumerate() {
        for i in 0..row.0 {
            let outcome = if i < row.1 {
                Outcome::Error
            } else {
                Outcome::Good
            };
            new[i as usize % 8].1.begin();
            new[i as usize % 8].1.end(outcome);
        }
        old += Tally {
            requests: row.2,
            errors: row.3,
            ..Tally::default()
        };
        let comparison = Comparison {
            cell: cell.clone(),
            new: new.clone(),
            old,
        };
        let now = Duration::from_secs(second as u64 + 1);
        if judge.judge(now, &[comparison]).is_some() {
            return Some(second);
        }
    }
    None
}

#[test]
fn judge_distinguishes_bad_versions_from_noise() {
    struct Case {
        name: &'static str,
        before: (u32, u32, u32, u32),
        after: (u32, u32, u32, u32),
        /// Whether a verdict must come within 200 requests to the new version.
        bad: bool,
    }
    let cases = [
        Case {
            name: "good",
            before: (2, 0, 40, 0),
            after: (2, 0, 40, 0),
            bad: false,
        },
        Case {
            name: "bad at once",
            before: (2, 2, 40, 0),
            after: (2, 2, 40, 0),
            bad: true,
        },
        Case {
            name: "bad late",
            before: (2, 0, 40, 0),
            after: (2, 2, 40, 0),
            bad: true,
        },
        Case {
            name: "half bad, little traffic",
            before: (1, 0, 4, 0),
            after: (1, 1, 4, 0),
            bad: true,
        },
        Case {
            name: "noise on both",
            before: (2, 0, 40, 0),
            after: (4, 2, 40, 20),
            bad: false,
        },
    ];
    for case in cases {
        let mut rows = vec![case.before; 100];
        rows.extend(vec![case.after; 60]);
        let verdict = first_verdict(&rows);
        let start = if case.before.1 > 0 { 0 } else { 100 };
        let requests = |at: usize| (at + 1 - start) * case.after.0 as usize;
        match (verdict, case.bad) {
            (None, false) => {}
            (Some(at), true) if at >= start => assert!(requests(at) < 200, "{}: {at}", case.name),
            (got, _) => panic!("{}: {got:?}", case.name),
        }
    }
}
