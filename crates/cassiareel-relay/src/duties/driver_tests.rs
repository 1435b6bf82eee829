//! Runs the driver with a duty that makes one call a tick, in virtual time.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use async_trait::async_trait;
use cassiareel::{
    control::lease::{Candidate, LeaseOptions},
    runtime::lock,
    store::{MemoryObjects, Objects},
};
use slog::{o, Discard, Logger};
use test_case::test_case;

use super::{
    driver::Driver,
    duty::{Duty, DutyCalls},
    target::{DutyError, DutyHolder, DutyTarget, ServerOrder, UsageReport},
};
use crate::{
    clock::Moment,
    kernel::{CallPace, DutyRules, DutyTerms},
    metrics::DutyMetrics,
};

/// The step of the virtual time.
const STEP: Duration = Duration::from_millis(100);

/// The duration of the lease.
const LEASE: Duration = Duration::from_millis(3000);

/// A clock that the test sets.
type TestClock = Arc<Mutex<Moment>>;

/// A call that arrived.
#[derive(Clone, Debug)]
struct Arrival {
    at: Moment,
    holder: String,
    fence: u64,
}

/// A receiver that records calls.
struct Recorder {
    clock: TestClock,
    arrivals: Mutex<Vec<Arrival>>,
    checks_fencing: bool,
    /// Whether calls get no answer.
    silent: Mutex<bool>,
}

impl Recorder {
    fn accept(&self, by: &DutyHolder) -> Result<(), DutyError> {
        let mut arrivals = lock(&self.arrivals);
        let highest = arrivals.iter().map(|arrival| arrival.fence).max();
        if self.checks_fencing && highest.is_some_and(|highest| by.fence < highest) {
            return Err(DutyError::Fenced);
        }
        arrivals.push(Arrival {
            at: *lock(&self.clock),
            holder: by.name.clone(),
            fence: by.fence,
        });
        if *lock(&self.silent) {
            let cause = "silent".to_owned();
            return Err(DutyError::Unanswered { cause });
        }
        Ok(())
    }
}

#[async_trait]
impl DutyTarget for Recorder {
    async fn report_usage(&self, by: &DutyHolder, _: &UsageReport) -> Result<(), DutyError> {
        self.accept(by)
    }

    async fn order_servers(&self, by: &DutyHolder, _: &ServerOrder) -> Result<(), DutyError> {
        self.accept(by)
    }
}

/// A duty that makes a call whenever it is run.
struct OneCall;

#[async_trait]
impl Duty for OneCall {
    async fn run_due(&mut self, calls: &dyn DutyCalls) {
        let report = UsageReport {
            window: 1,
            counts: Default::default(),
        };
        // The recorder has the outcome.
        let _ = calls.report_usage(&report).await;
    }

    fn end_term(&mut self) {}
}

/// Two nodes with one store and one receiver.
struct World {
    clock: TestClock,
    store: Arc<MemoryObjects>,
    target: Arc<Recorder>,
    checks_fencing: bool,
}

/// A node of the test.
struct Node {
    driver: Driver,
    duties: Vec<Box<dyn Duty>>,
    leaving: Arc<Mutex<bool>>,
    next_poll: Moment,
}

impl World {
    fn new(checks_fencing: bool) -> World {
        let clock = TestClock::default();
        let target = Recorder {
            clock: clock.clone(),
            arrivals: Mutex::default(),
            checks_fencing,
            silent: Mutex::default(),
        };
        World {
            clock,
            store: Arc::new(MemoryObjects::new(1)),
            target: Arc::new(target),
            checks_fencing,
        }
    }

    fn now(&self) -> Moment {
        *lock(&self.clock)
    }

    fn node(&self, name: &str, incarnation: u64) -> Node {
        let log = Logger::root(Discard, o!());
        let rules = DutyRules::new(LEASE, self.checks_fencing);
        let time = self.clock.clone();
        let clock: cassiareel::control::lease::Clock = Arc::new(move || *lock(&time));
        let options = LeaseOptions {
            timing: rules.timing(),
            poll: LEASE / 6,
            clock: clock.clone(),
            ..LeaseOptions::default()
        };
        let store: Arc<dyn Objects> = self.store.clone();
        let store = Arc::new(store);
        let leaving = Arc::new(Mutex::new(false));
        let is_leaving = leaving.clone();
        Node {
            driver: Driver {
                node: name.to_owned(),
                candidate: Arc::new(Candidate::new(
                    name.into(),
                    incarnation,
                    options,
                    store,
                    log.clone(),
                )),
                terms: Mutex::new(DutyTerms::new(rules, self.now())),
                pace: Mutex::new(CallPace::new(1e6)),
                turn: Duration::ZERO,
                target: self.target.clone(),
                is_leaving: Box::new(move || *lock(&is_leaving)),
                clock,
                metrics: DutyMetrics::default(),
                log,
            },
            duties: vec![Box::new(OneCall)],
            leaving,
            next_poll: self.now(),
        }
    }

    /// Runs the nodes for some time.
    fn run(&self, nodes: &mut [&mut Node], time: Duration) {
        let end = self.now() + time;
        while self.now() < end {
            for node in nodes.iter_mut() {
                smol::block_on(node.step(self.now()));
            }
            *lock(&self.clock) += STEP;
        }
    }

    fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.target.arrivals).clone()
    }

    /// Returns the first arrival of a node after a time.
    fn first_after(&self, node: &str, time: Moment) -> Option<Arrival> {
        let mut arrivals = self.arrivals().into_iter();
        arrivals.find(|arrival| arrival.holder == node && arrival.at > time)
    }

    /// Checks that fencing tokens do not fall, and that no node acts before and after another one
    /// within the duration of the lease.
    fn check(&self) {
        let arrivals = self.arrivals();
        assert!(arrivals.is_sorted_by_key(|arrival| arrival.fence));
        for (i, first) in arrivals.iter().enumerate() {
            let mut later = arrivals[i..].iter();
            let other = later.find(|arrival| arrival.holder != first.holder);
            let again = other.and_then(|_| later.find(|arrival| arrival.holder == first.holder));
            assert!(again.is_none_or(|again| again.at - first.at >= LEASE));
        }
    }
}

impl Node {
    async fn step(&mut self, now: Moment) {
        if now >= self.next_poll {
            self.driver.candidate.poll().await;
            self.next_poll = now + self.driver.candidate.poll_delay(1.0);
        }
        self.driver.tick(&mut self.duties).await;
    }
}

/// Seconds, as a duration.
fn secs(secs: f64) -> Duration {
    Duration::from_secs_f64(secs)
}

/// A node that starts waits for the longest action and the duration of the lease: a call of an earlier
/// process of the machine may yet be carried out, and another node may act after that.
#[test]
fn a_node_that_starts_waits_before_its_first_call() {
    let world = World::new(true);
    let mut a = world.node("a", 1);
    world.run(&mut [&mut a], secs(10.0));
    let rules = DutyRules::new(LEASE, true);
    assert_eq!(world.arrivals()[0].at, rules.max_action + LEASE);
}

/// The times are those of docs/design/duties.md: 4.0 s with checked tokens, and 8.0 s otherwise.
#[test_case(true, 4.2; "tokens are checked")]
#[test_case(false, 8.2; "tokens are not checked")]
fn the_next_holder_acts_in_time_after_a_crash(checks_fencing: bool, limit: f64) {
    let world = World::new(checks_fencing);
    let (mut a, mut b) = (world.node("a", 1), world.node("b", 2));
    world.run(&mut [&mut a, &mut b], secs(20.0));
    assert!(world.arrivals().iter().all(|arrival| arrival.holder == "a"));
    let crash = world.now();
    world.run(&mut [&mut b], secs(15.0));
    let first = world.first_after("b", crash).expect("another node acts");
    assert!(first.at - crash <= secs(limit), "{:?}", first.at - crash);
    world.check();
}

/// A node that was frozen past its lease makes no call when it wakes, and none for the duration of the
/// lease after it is the holder again.
#[test_case(true; "tokens are checked")]
#[test_case(false; "tokens are not checked")]
fn a_frozen_holder_does_not_act_when_it_wakes(checks_fencing: bool) {
    let world = World::new(checks_fencing);
    let (mut a, mut b) = (world.node("a", 1), world.node("b", 2));
    world.run(&mut [&mut a, &mut b], secs(10.0));
    world.run(&mut [&mut b], secs(12.0));
    let woken = world.now();
    assert_eq!(world.arrivals().last().map(|last| last.fence), Some(2));
    world.run(&mut [&mut a, &mut b], secs(10.0));
    assert!(world.first_after("a", woken).is_none());
    // The other node is frozen in turn.
    world.run(&mut [&mut a], secs(15.0));
    assert!(world.first_after("a", woken).is_some());
    world.check();
}

/// A holder whose call got no answer does not act with a higher token before the call can no longer be
/// carried out, where tokens are not checked.
#[test]
fn a_call_without_an_answer_delays_the_next_token_of_the_same_node() {
    let world = World::new(false);
    let mut a = world.node("a", 1);
    world.run(&mut [&mut a], secs(8.0));
    *lock(&world.target.silent) = true;
    world.run(&mut [&mut a], secs(1.0));
    *lock(&world.target.silent) = false;
    let last = world.arrivals().last().map(|last| last.at).expect("a call");
    a.driver.candidate.fence_off(1, 2);
    world.run(&mut [&mut a], secs(10.0));
    let next = world.first_after("a", last).expect("the node acts again");
    assert_eq!(next.fence, 2);
    assert!(next.at - last >= DutyRules::new(LEASE, false).max_action);
}

/// A node that leaves with a call that may yet be carried out does not release the lease, where tokens
/// are not checked.
#[test_case(true, true; "tokens are checked")]
#[test_case(false, false; "tokens are not checked")]
fn an_open_call_keeps_the_lease(checks_fencing: bool, released: bool) {
    let world = World::new(checks_fencing);
    let mut a = world.node("a", 1);
    world.run(&mut [&mut a], secs(8.0));
    *lock(&world.target.silent) = true;
    world.run(&mut [&mut a], secs(1.0));
    *lock(&a.leaving) = true;
    assert!(a.driver.candidate.grant().is_some());
    assert_eq!(smol::block_on(a.driver.wait_release()), released);
}

/// A refused token is not used again, and the next one rises until the receiver takes it.
#[test]
fn a_refused_token_is_replaced_by_higher_ones() {
    let world = World::new(true);
    lock(&world.target.arrivals).push(Arrival {
        at: Moment::ZERO,
        holder: "old".to_owned(),
        fence: 6,
    });
    let mut a = world.node("a", 1);
    world.run(&mut [&mut a], secs(30.0));
    let first = world.first_after("a", Moment::ZERO);
    assert_eq!(first.map(|arrival| arrival.fence), Some(8), "1, 2, 4, 8");
}
