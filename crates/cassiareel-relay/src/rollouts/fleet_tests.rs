//! Plays a rollout in virtual time: a fleet of nodes, of which each knows the counts of the others late
//! or not at all, and a version that is rolled out while most backend servers of the old one are lost.

use std::{
    collections::HashMap,
    sync::{atomic::AtomicU32, Arc},
    time::Duration,
};

use test_case::test_case;

use super::{ActiveRollout, MeasuredRun, Rollouts, RunSize, VersionRule};
use crate::{
    clock::{self, Moment},
    kernel::{Exposure, Judge, RolloutDecision, Tally},
    model::{ServiceId, StoreRevision, Version},
};

const JUDGE: Judge = Judge {
    duration: Duration::from_secs(16),
    exposure: Exposure {
        share: 0.1,
        slack: 50.0,
    },
};

const STEP: Duration = Duration::from_millis(20);

/// The requests of a second to the service, from all callers.
const REQUESTS_PER_SECOND: f64 = 45.0;

/// The time from a request to its first event.
const RUN_TIME: Duration = Duration::from_millis(1300);

/// The share of requests that the version fails.
const FAILURES: f64 = 0.39;

/// The interval at which nodes pool their counts.
const POOLING: Duration = Duration::from_millis(600);

/// When a third of the nodes can't reach the store.
const NO_STORE: std::ops::Range<Duration> = Duration::from_millis(500)..Duration::from_millis(9500);

/// When runs of the old version are lost, and for how long its backend servers are then missing.
const CRASHES: [Duration; 3] = [
    Duration::from_millis(2000),
    Duration::from_millis(8700),
    Duration::from_millis(12_000),
];
const OUTAGE: Duration = Duration::from_millis(1200);

/// A fleet, and the quality of the version that is rolled out.
struct Case {
    nodes: usize,
    /// The share of the old version's backend servers that a crash takes.
    crashed: f64,
    failures: f64,
    end: RolloutDecision,
}

struct Node {
    rollouts: Rollouts,
    /// The decision that is in force, and the time at which the next one is due.
    pooled_at: Moment,
}

/// A request that is under way.
struct Open {
    run: Arc<MeasuredRun>,
    ends: Moment,
    is_new: bool,
}

struct Fleet<'a> {
    case: &'a Case,
    random: fastrand::Rng,
    began: Moment,
    nodes: Vec<Node>,
    open: Vec<Open>,
    /// The requests so far, those to the new version, and those that were refused.
    sent: usize,
    exposed: usize,
    refused: usize,
    end: Option<(RolloutDecision, Moment)>,
}

fn service() -> ServiceId {
    Arc::from("work")
}

fn version(name: &str) -> Version {
    Arc::from(name)
}

impl<'a> Fleet<'a> {
    fn new(case: &'a Case, seed: u64) -> Fleet<'a> {
        let mut random = fastrand::Rng::with_seed(seed);
        let began = clock::now();
        let node = |_| Node {
            rollouts: Rollouts::default(),
            pooled_at: began + POOLING.mul_f64(random.f64()),
        };
        Fleet {
            case,
            began,
            nodes: (0..case.nodes).map(node).collect(),
            random,
            open: Vec::new(),
            sent: 0,
            exposed: 0,
            refused: 0,
            end: None,
        }
    }

    /// Plays the rollout until its deadline.
    fn run(&mut self) {
        let mut now = self.began;
        while now < self.began + JUDGE.duration {
            self.finish_runs(now);
            (0..self.nodes.len()).for_each(|node| self.pool(node, now));
            let chance = REQUESTS_PER_SECOND * STEP.as_secs_f64();
            if self.random.f64() < chance {
                let node = self.random.usize(..self.nodes.len());
                self.send(node, now);
            }
            now += STEP;
        }
    }

    /// Reports whether a crash has just begun, or servers are missing since one.
    fn since_crash(&self, now: Moment) -> Option<Duration> {
        let elapsed = now - self.began;
        let since = CRASHES.iter().filter_map(|at| elapsed.checked_sub(*at));
        since.min().filter(|since| *since < OUTAGE)
    }

    fn finish_runs(&mut self, now: Moment) {
        let crashes = self.since_crash(now).is_some_and(|since| since < STEP);
        let (open, random, case) = (std::mem::take(&mut self.open), &mut self.random, self.case);
        for run in open {
            if crashes && !run.is_new && random.f64() < case.crashed {
                run.run.note_loss(now);
            } else if run.ends > now {
                self.open.push(run);
            } else if run.is_new && random.f64() < case.failures {
                run.run.note_failure();
            } else {
                run.run.note_event(now);
            }
        }
    }

    fn send(&mut self, node: usize, now: Moment) {
        let rollouts = &self.nodes[node].rollouts;
        // Where a crash has taken all servers of the old version, only the new one has room.
        let is_missing = self.case.crashed >= 1.0 && self.since_crash(now).is_some();
        let name = match rollouts.version_rule(&service()) {
            VersionRule::Prefer(target) => target,
            VersionRule::Avoid(target) if is_missing => target,
            VersionRule::Never(_) if is_missing => {
                self.refused += 1;
                return;
            }
            _ => version("v1"),
        };
        let is_new = name == version("v2");
        self.sent += 1;
        self.exposed += usize::from(is_new);
        let size = RunSize {
            units: 1.0,
            objective: 4.5,
        };
        let backend = self.random.u64(..96);
        let run = rollouts.begin_run(&service(), &name, backend, size, now);
        self.open.extend(run.map(|run| Open {
            run,
            ends: now + RUN_TIME,
            is_new,
        }));
    }

    /// Pools the counts of all nodes at one of them, where that is due.
    fn pool(&mut self, index: usize, now: Moment) {
        if now < self.nodes[index].pooled_at {
            return;
        }
        self.nodes[index].pooled_at = now + POOLING;
        let order = StoreRevision::new(0, 7);
        let counts_of = |node: &Node| node.rollouts.counts_of(&service(), order);
        let has_store =
            |index: usize| !(index.is_multiple_of(3) && NO_STORE.contains(&(now - self.began)));
        let is_complete = has_store(index);
        let known = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(other, _)| *other == index || (is_complete && has_store(*other)));
        let (mut old, mut new) = (Tally::default(), Tally::default());
        for counts in known.map(|(_, node)| counts_of(node)) {
            old = old.merge(counts.old);
            new = new.merge(counts.new);
        }
        let mut split = JUDGE.decide(now - self.began, old, new);
        if let Some((end, _)) = self.end {
            split = end;
        } else if !matches!(split, RolloutDecision::Share(_)) && is_complete {
            self.end = Some((split, now));
        }
        let nodes = self.nodes.len() as f64;
        let share = |requests: f64, random: &mut fastrand::Rng| {
            let own = requests / nodes;
            own as u32 + u32::from(random.f64() < own.fract())
        };
        let rollouts = &self.nodes[index].rollouts;
        let (trial, exposure) = match is_complete {
            true => (
                share(
                    JUDGE.missing_requests(now - self.began, old, new),
                    &mut self.random,
                ),
                share(JUDGE.remaining_exposure(old, new), &mut self.random),
            ),
            false => (0, rollouts.exposure_left(&service(), order)),
        };
        let active = ActiveRollout {
            order,
            target: version("v2"),
            split,
            trial_budget: AtomicU32::new(trial),
            exposure_budget: AtomicU32::new(exposure),
            began: self.began,
            duration: JUDGE.duration,
            unproven: Arc::default(),
        };
        let rollouts_now = HashMap::from([(service(), active)]);
        rollouts.replace(rollouts_now, StoreRevision::new(0, 8), true);
    }
}

/// Guards against a verdict that takes the losses of a data centre for faults of the old version, which
/// hid those of the new one, and against nodes that send the new version what the old one has no room for.
#[test_case(&Case { nodes: 6, crashed: 0.67, failures: FAILURES, end: RolloutDecision::RollBack }; "6 nodes")]
#[test_case(&Case { nodes: 82, crashed: 0.67, failures: FAILURES, end: RolloutDecision::RollBack }; "82 nodes")]
#[test_case(&Case { nodes: 295, crashed: 0.67, failures: FAILURES, end: RolloutDecision::RollBack }; "295 nodes")]
#[test_case(&Case { nodes: 82, crashed: 1.0, failures: FAILURES, end: RolloutDecision::RollBack }; "no server of the old version is left")]
#[test_case(&Case { nodes: 82, crashed: 0.67, failures: 0.0, end: RolloutDecision::Complete }; "a good version completes")]
#[test_case(&Case { nodes: 6, crashed: 0.67, failures: 0.0, end: RolloutDecision::Complete }; "a good version completes at 6 nodes")]
fn exposure_holds_while_the_old_version_loses_its_servers(case: &Case) {
    for seed in 0..8 {
        let mut fleet = Fleet::new(case, seed);
        fleet.run();
        let (end, at) = fleet.end.expect("the rollout ends");
        assert_eq!(end, case.end, "seed {seed}");
        if end == RolloutDecision::RollBack {
            let allowed = 50.0 + 0.1 * (fleet.sent + fleet.refused) as f64;
            assert!(
                fleet.exposed as f64 <= allowed,
                "seed {seed}: {} of {}, rolled back after {:?}",
                fleet.exposed,
                fleet.sent,
                at - fleet.began
            );
        }
    }
}
