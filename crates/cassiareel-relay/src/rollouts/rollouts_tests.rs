//! A version that has just appeared waits for a read of the operator's orders.

use std::{
    collections::HashMap,
    sync::{atomic::AtomicU32, Arc},
    time::Duration,
};

use test_case::test_case;

use crate::{
    clock::{self, Moment},
    kernel::{Baselines, LogTimes, RolloutDecision, Tally},
    model::{ServiceId, StoreRevision, UnprovenVersion, Version},
    rollouts::{ActiveRollout, MeasuredRun, Rollouts, RunSize, VersionRule},
};

fn service() -> ServiceId {
    Arc::from("work")
}

fn version(name: &str) -> Version {
    Arc::from(name)
}

fn revision(number: u64) -> StoreRevision {
    StoreRevision::new(0, number)
}

/// A node that starts reads orders and registry at the same time: orders of an earlier revision do
/// not cover the versions that it then sees.
#[test]
fn orders_of_an_earlier_revision_cover_no_version() {
    let rollouts = Rollouts::default();
    rollouts.replace(HashMap::new(), revision(10), true);
    assert!(rollouts.note_versions([(service(), version("v1"))].into_iter(), revision(12)));
    assert!(rollouts.has_later_version(revision(10)));
    assert!(!rollouts.is_covered(&service(), &version("v1")));
    rollouts.replace(HashMap::new(), revision(13), true);
    assert!(!rollouts.has_later_version(revision(13)));
    assert!(rollouts.is_covered(&service(), &version("v1")));
    assert!(!rollouts.note_versions([(service(), version("v1"))].into_iter(), revision(20)));
    let both = ["v1", "v2"].map(|name| (service(), version(name)));
    assert!(rollouts.note_versions(both.into_iter(), revision(30)));
    assert!(!rollouts.is_covered(&service(), &version("v2")));
}

/// Guards against a version that is ordered again and gets requests by the orders of its first time.
#[test]
fn a_version_that_left_and_returns_waits_for_the_orders() {
    let rollouts = Rollouts::default();
    let note = |names: &[&str], at: u64| {
        let versions = names.iter().map(|name| (service(), version(name)));
        rollouts.note_versions(versions, revision(at))
    };
    let is_covered = |name: &str| rollouts.is_covered(&service(), &version(name));
    note(&["v1", "v2"], 10);
    rollouts.replace(HashMap::new(), revision(10), true);
    note(&["v1"], 20);
    assert!(is_covered("v1") && !is_covered("v2"));
    assert!(note(&["v1", "v2"], 30));
    rollouts.replace(HashMap::new(), revision(20), true);
    assert!(is_covered("v1") && !is_covered("v2"));
    rollouts.replace(HashMap::new(), revision(30), true);
    assert!(is_covered("v2"));
    // Where no other version is left, the registry may have lost the entries.
    note(&[], 40);
    assert!(is_covered("v1") && is_covered("v2"));
}

/// A rule, and the versions of a service in the order in which they get a request.
struct RankCase {
    rule: VersionRule,
    order: &'static [&'static str],
}

/// Guards against requests to a version of an earlier order, which was not completed, beside sound ones.
#[test_case(&RankCase { rule: VersionRule::Any, order: &["v1", "v4", "v2", "v3"] }; "no order")]
#[test_case(&RankCase { rule: VersionRule::Prefer(version("v4")), order: &["v4", "v1", "v2", "v3"] }; "for the new one")]
#[test_case(&RankCase { rule: VersionRule::Avoid(version("v4")), order: &["v1", "v2", "v4", "v3"] }; "not for the new one")]
#[test_case(&RankCase { rule: VersionRule::Never(version("v4")), order: &["v1", "v2", "v3"] }; "rolled back")]
fn versions_get_requests_in_the_order_of_their_ranks(case: &RankCase) {
    let unproven = [("v2", false), ("v3", true)].map(|(name, rolled_back)| UnprovenVersion {
        version: version(name),
        rolled_back,
    });
    let mut ranked: Vec<_> = ["v1", "v2", "v3", "v4"]
        .into_iter()
        .filter_map(|name| Some((case.rule.rank(&version(name), &unproven)?, name)))
        .collect();
    ranked.sort_by_key(|(rank, _)| *rank);
    let order: Vec<&str> = ranked.into_iter().map(|(_, name)| name).collect();
    assert_eq!(order, case.order);
}

/// A restored store may lack the order of a version that appears, unless its service has no other.
#[test]
fn a_version_beside_another_waits_for_complete_orders() {
    let rollouts = Rollouts::default();
    let at = |number| StoreRevision::new(1, number);
    rollouts.replace(HashMap::new(), revision(90), true);
    rollouts.note_versions([(service(), version("v1"))].into_iter(), revision(80));
    rollouts.replace(HashMap::new(), revision(90), true);
    let both = ["v1", "v2"].map(|name| (service(), version(name)));
    rollouts.note_versions(both.into_iter(), revision(95));
    let other: ServiceId = Arc::from("other");
    rollouts.note_versions([(other.clone(), version("v1"))].into_iter(), at(20));
    rollouts.replace(HashMap::new(), at(30), false);
    assert!(rollouts.is_covered(&service(), &version("v1")));
    assert!(!rollouts.is_covered(&service(), &version("v2")));
    assert!(rollouts.is_covered(&other, &version("v1")));
    rollouts.replace(HashMap::new(), at(30), true);
    assert!(rollouts.is_covered(&service(), &version("v2")));
}

#[test]
fn requests_and_counts_follow_the_rollout() {
    let rollouts = Rollouts::default();
    let active = |split| {
        let target = version("v2");
        HashMap::from([(
            service(),
            ActiveRollout {
                order: revision(7),
                target,
                split,
                trial_budget: AtomicU32::new(0),
                exposure_budget: AtomicU32::new(u32::MAX),
                began: Moment::default(),
                duration: DURATION,
                unproven: Arc::default(),
            },
        )])
    };
    assert_eq!(rollouts.version_rule(&service()), VersionRule::Any);
    rollouts.replace(active(RolloutDecision::Share(0.0)), revision(1), true);
    assert_eq!(
        rollouts.version_rule(&service()),
        VersionRule::Avoid(version("v2"))
    );
    let now = clock::now();
    begin(&rollouts, "v1", now).note_event(now);
    begin(&rollouts, "v2", now).note_failure();
    let counted = rollouts.counts_of(&service(), revision(7));
    let known = |tally: Tally| (tally.sent, tally.answers, tally.bad);
    assert_eq!(known(counted.old), (1, 1, 0));
    assert_eq!(known(counted.new), (1, 1, 1));
    rollouts.replace(active(RolloutDecision::RollBack), revision(2), true);
    assert!(rollouts
        .begin_run(&service(), &version("v2"), BACKEND, SIZE, now)
        .is_none());
    assert_eq!(
        rollouts.version_rule(&service()),
        VersionRule::Never(version("v2"))
    );
    rollouts.replace(active(RolloutDecision::Complete), revision(3), true);
    assert_eq!(
        rollouts.version_rule(&service()),
        VersionRule::Prefer(version("v2"))
    );
}

/// The typical time to a first event, and the objective.
const TYPICAL: Duration = Duration::from_millis(1000);
const OBJECTIVE: Duration = Duration::from_millis(4500);

/// The time within which the rollout has to end.
const DURATION: Duration = Duration::from_secs(16);

/// The number of the backend server that runs a request.
const BACKEND: u64 = 1;

const SIZE: RunSize = RunSize {
    units: 1.0,
    objective: 4.5,
};

/// Creates the rollout of a service to its second version, with a trial budget.
fn rolling_out(split: RolloutDecision, trial_budget: u32) -> Rollouts {
    let rollouts = Rollouts::default();
    let active = ActiveRollout {
        order: revision(7),
        target: version("v2"),
        split,
        trial_budget: AtomicU32::new(trial_budget),
        exposure_budget: AtomicU32::new(u32::MAX),
        began: clock::now(),
        duration: DURATION,
        unproven: Arc::default(),
    };
    rollouts.replace(HashMap::from([(service(), active)]), revision(1), true);
    rollouts
}

fn begin(rollouts: &Rollouts, name: &str, now: Moment) -> Arc<MeasuredRun> {
    let run = rollouts.begin_run(&service(), &version(name), BACKEND, SIZE, now);
    run.expect("the service is being rolled out")
}

/// What a run of the new version showed by the time at which it is checked.
struct Run {
    /// The time from the run's begin to its first event.
    first: Option<Duration>,
    /// The time between its events, of which there are ten.
    gap: Duration,
    checked_at: Duration,
    /// The expected number of runs with a known outcome, and of bad ones.
    counted: (u64, u64),
}

const QUICK: Duration = Duration::from_millis(30);
const SECOND: Duration = Duration::from_secs(1);

#[test_case(&Run { first: None, gap: QUICK, checked_at: SECOND, counted: (0, 0) }; "nothing is known yet")]
#[test_case(&Run { first: None, gap: QUICK, checked_at: 3 * SECOND, counted: (1, 1) }; "open for several times the typical time")]
#[test_case(&Run { first: Some(SECOND), gap: QUICK, checked_at: 2 * SECOND, counted: (1, 0) }; "typical times")]
#[test_case(&Run { first: Some(3 * SECOND), gap: QUICK, checked_at: 5 * SECOND, counted: (1, 1) }; "slow, though within the objective")]
#[test_case(&Run { first: Some(SECOND), gap: 5 * QUICK, checked_at: 3 * SECOND, counted: (1, 1) }; "slow between events")]
fn runs_that_are_slow_count_before_they_end(run: &Run) {
    let rollouts = rolling_out(RolloutDecision::Share(0.5), 0);
    rollouts.set_typical(&service(), revision(7), typical());
    let began = clock::now();
    let measured = begin(&rollouts, "v2", began);
    if let Some(first) = run.first {
        (0..10).for_each(|event| measured.note_event(began + first + run.gap * event));
    }
    rollouts.check_open_runs(began + run.checked_at);
    let new = rollouts.counts_of(&service(), revision(7)).new;
    assert_eq!((new.answers, new.bad), run.counted);
    // A run that was counted is not counted again.
    rollouts.check_open_runs(began + run.checked_at);
    assert_eq!(rollouts.counts_of(&service(), revision(7)).new, new);
}

#[test]
fn without_a_typical_time_the_objective_decides() {
    let rollouts = rolling_out(RolloutDecision::Share(0.5), 0);
    let began = clock::now();
    let _measured = begin(&rollouts, "v2", began);
    rollouts.check_open_runs(began + 4 * TYPICAL);
    assert_eq!(rollouts.counts_of(&service(), revision(7)).new.bad, 0);
    rollouts.check_open_runs(began + OBJECTIVE + TYPICAL);
    assert_eq!(rollouts.counts_of(&service(), revision(7)).new.bad, 1);
}

fn typical() -> Baselines {
    let times = |time: Duration| {
        let mut times = LogTimes::default();
        (0..10).for_each(|_| times.record(time.as_secs_f64()));
        times.baseline()
    };
    Baselines {
        first: times(TYPICAL),
        gap: times(QUICK),
    }
}

/// Counts are pooled at intervals: a burst between two poolings must not bring the new version more
/// requests than the node's part of the trial.
#[test]
fn a_burst_between_two_counts_brings_the_new_version_no_more_than_its_trial() {
    const TRIAL_BUDGET: u32 = 10;
    let rollouts = rolling_out(RolloutDecision::Share(0.4), TRIAL_BUDGET);
    let drawn = (0..1000)
        .filter(|_| rollouts.version_rule(&service()) == VersionRule::Prefer(version("v2")));
    let drawn = drawn.count();
    assert!((20..110).contains(&drawn), "{drawn}");
}
