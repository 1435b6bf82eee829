//! Simulates fleets in virtual time: what the platform receives for each window under faults.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex,
    },
    time::Duration,
};

use async_trait::async_trait;
use cassiareel::store::{Call, Fault as StoreFault, MemoryObjects, Objects};
use slog::{o, Discard, Logger};
use test_case::test_case;

use super::{
    duty::{Duty, DutyCalls},
    target::{DutyError, DutyHolder, ServerOrder, UsageReport},
    usage::UsageDuty,
};
use crate::{
    kernel::usage::{UsageMessage, UsageReply, WindowRules},
    model::AccountId,
    usage_meter::{MeterSettings, UsageMeter},
    usage_metrics::UsageMetrics,
};

/// The time between steps, and the true time at the beginning and the end.
const STEP_MS: u64 = 25;
const BEGIN_MS: u64 = 1_700_000_000_000;
const END_MS: u64 = BEGIN_MS + 70_000;

/// When faults occur: one second after the end of a window.
const FAULT_MS: u64 = BEGIN_MS + 26_000;

/// How long a node is down, and how long it takes until another one holds the duty.
const DOWN_MS: u64 = 3_000;

/// The interval between the messages of a node, and the limit of a call.
const SEND_MS: u64 = 500;
const CALL_LIMIT_MS: u64 = 300;

const RULES: WindowRules = WindowRules {
    length: Duration::from_secs(5),
    late: Duration::from_secs(10),
};
const TOLERANCE: f64 = 0.05;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Nothing,
    /// A third of the messages and replies are lost, a tenth comes twice, and many are overtaken.
    BadLinks,
    /// A node that is no candidate restarts.
    NodeRestarts,
    /// The holder dies after a window was fixed and before its report arrives.
    HolderDiesBeforeSend,
    /// The same, but the report arrives.
    HolderDiesAfterSend,
    /// The holder dies after a window has ended and before it is fixed.
    HolderDiesBeforeFix,
    /// The time of day of the holder or of another node jumps, and returns after 15 s.
    Jump {
        node: usize,
        by_ms: i64,
    },
    /// A node's time of day is off from its start.
    StartsOff {
        node: usize,
        by_ms: i64,
    },
    /// A node is added that is the first candidate and holds the duty.
    NodeAdded,
    /// Two nodes are suspended for 6 s.
    Suspended,
    /// The answers to the writes that fix windows are lost, or the writes themselves.
    WritesUnanswered,
    /// The platform does not answer reports for 12 s; some of them arrive.
    PlatformDown,
    /// The store is restored from a copy that is 9 s old.
    Restored,
    /// The same, and the holder dies at this moment.
    RestoredHolderDies,
    /// The holder dies right after a report arrived, and the store is restored from a copy without it.
    ReportedThenRestored,
    /// All nodes stop in the order of their names within 3 s, and start again after as long.
    AllStop,
    /// All nodes end at once without notice, and start again.
    AllKilled,
}

/// What the platform received.
struct Platform {
    reports: BTreeMap<u64, (BTreeMap<AccountId, u64>, u64)>,
    differing: Vec<u64>,
    highest: u64,
    /// What happens to the next report.
    answers: fn(u64, u64) -> Answer,
    now: u64,
    made: u64,
    /// Whether the holder dies with the next report.
    dies: bool,
    has_died: bool,
}

#[derive(Clone, Copy, PartialEq)]
enum Answer {
    Given,
    Lost,
    NotArrived,
}

struct Calls {
    platform: Arc<Mutex<Platform>>,
    holder: DutyHolder,
}

#[async_trait]
impl DutyCalls for Calls {
    fn holder(&self) -> Option<DutyHolder> {
        let has_died = self.platform.lock().unwrap().has_died;
        (!has_died).then(|| self.holder.clone())
    }

    async fn report_usage(&self, report: &UsageReport) -> Result<(), DutyError> {
        let mut platform = self.platform.lock().unwrap();
        if self.holder.fence < platform.highest {
            return Err(DutyError::Fenced);
        }
        platform.made += 1;
        let answer = (platform.answers)(platform.now, platform.made);
        platform.has_died = platform.dies;
        if answer != Answer::NotArrived {
            platform.highest = self.holder.fence;
            let now = platform.now;
            let known = platform.reports.entry(report.window);
            let known = known.or_insert_with(|| (report.counts.clone(), now));
            if known.0 != report.counts {
                platform.differing.push(report.window);
            }
        }
        if answer == Answer::Given && !platform.has_died {
            return Ok(());
        }
        Err(DutyError::Unanswered {
            cause: "test".to_owned(),
        })
    }

    async fn order_servers(&self, _: &ServerOrder) -> Result<(), DutyError> {
        Err(DutyError::Fenced)
    }
}

struct Node {
    name: String,
    meter: Arc<UsageMeter>,
    duty: UsageDuty,
    steady: Arc<AtomicU64>,
    /// The true time at which the steady clock showed zero.
    booted: u64,
    /// The error of the time of day, in milliseconds.
    error: i64,
    down_until: u64,
    frozen_until: u64,
}

enum Content {
    Message(UsageMessage),
    Reply(UsageReply),
    Silence,
}

struct Delivery {
    at: u64,
    from: String,
    to: String,
    sent_at: u64,
    content: Content,
}

struct Fleet {
    nodes: Vec<Node>,
    rng: fastrand::Rng,
    store: Arc<MemoryObjects>,
    platform: Arc<Mutex<Platform>>,
    fault: Fault,
    links_bad: bool,
    deliveries: Vec<Delivery>,
    truth: HashMap<u64, BTreeMap<AccountId, u64>>,
    holder: Option<(String, u64)>,
    free_at: u64,
    next_fence: u64,
}

impl Fleet {
    fn new_node(&mut self, name: &str, at: u64) -> Node {
        let settings = MeterSettings {
            rules: RULES,
            sends_demand: false,
        };
        let meter = Arc::new(UsageMeter::new(settings, name, self.rng.u64(1..)));
        let steady = Arc::new(AtomicU64::new(0));
        let (source, store) = (steady.clone(), self.store.clone() as Arc<dyn Objects>);
        let duty = UsageDuty::new(
            meter.clone(),
            Arc::new(store),
            Arc::new(move || Duration::from_millis(source.load(Ordering::Relaxed))),
            Logger::root(Discard, o!()),
            UsageMetrics::default(),
        );
        Node {
            name: name.to_owned(),
            meter,
            duty,
            steady,
            booted: at - self.rng.u64(1_000..900_000),
            error: self.rng.i64(-20..20),
            down_until: 0,
            frozen_until: 0,
        }
    }

    fn runs(&self, node: usize, now: u64) -> bool {
        let node = &self.nodes[node];
        now >= node.down_until && now >= node.frozen_until
    }

    /// Ends a node's process; it restarts without what it knew.
    fn kill(&mut self, node: usize, now: u64) {
        let name = self.nodes[node].name.clone();
        let mut new = self.new_node(&name, now);
        new.down_until = now + DOWN_MS;
        self.nodes[node] = new;
        if self
            .holder
            .as_ref()
            .is_some_and(|(holder, _)| *holder == name)
        {
            self.release(now);
        }
    }

    fn release(&mut self, now: u64) {
        self.holder = None;
        self.free_at = now + DOWN_MS;
    }

    fn index(&self, name: &str) -> Option<usize> {
        self.nodes.iter().position(|node| node.name == name)
    }

    fn holder_index(&self) -> Option<usize> {
        let (name, _) = self.holder.as_ref()?;
        self.index(name)
    }

    fn candidates(&self) -> Vec<String> {
        let first = self.nodes.iter().take(3);
        first.map(|node| node.name.clone()).collect()
    }

    fn post(&mut self, delivery: Delivery) {
        let lost = if self.links_bad { 0.3 } else { 0.002 };
        let slow = if self.links_bad { 600 } else { 40 };
        if self.rng.f64() < lost {
            return;
        }
        let at = delivery.at + self.rng.u64(1..slow);
        if let (true, Content::Message(message)) = (self.rng.f64() < 0.1, &delivery.content) {
            self.deliveries.push(Delivery {
                at: at + self.rng.u64(1..2_000),
                from: delivery.from.clone(),
                to: delivery.to.clone(),
                sent_at: delivery.sent_at,
                content: Content::Message(message.clone()),
            });
        }
        self.deliveries.push(Delivery { at, ..delivery });
    }

    fn deliver(&mut self, now: u64) {
        let all = std::mem::take(&mut self.deliveries);
        let (due, left) = all.into_iter().partition(|delivery| delivery.at <= now);
        self.deliveries = left;
        for delivery in due {
            self.receive(delivery, now);
        }
    }

    fn receive(&mut self, delivery: Delivery, now: u64) {
        let Some(to) = self.index(&delivery.to) else {
            return;
        };
        if now < self.nodes[to].down_until {
            return;
        }
        if now < self.nodes[to].frozen_until {
            let at = self.nodes[to].frozen_until;
            self.deliveries.push(Delivery { at, ..delivery });
            return;
        }
        let node = &self.nodes[to];
        let steady = |at: u64| Duration::from_millis(at.saturating_sub(node.booted));
        match delivery.content {
            Content::Message(message) => {
                let (reply, _) = node.meter.receive(&message, steady(now));
                self.post(Delivery {
                    at: now,
                    from: delivery.to,
                    to: delivery.from,
                    sent_at: delivery.sent_at,
                    content: Content::Reply(reply),
                });
            }
            // A reply after the limit of the call is not read.
            Content::Reply(reply) if now - delivery.sent_at <= CALL_LIMIT_MS => {
                let sent_at = steady(delivery.sent_at);
                let from = &delivery.from;
                node.meter.record_reply(from, reply, sent_at, steady(now));
                let is_own = |d: &Delivery| {
                    matches!(d.content, Content::Silence)
                        && (&d.from, &d.to, d.sent_at) == (from, &node.name, delivery.sent_at)
                };
                self.deliveries.retain(|other| !is_own(other));
            }
            Content::Reply(_) => {}
            Content::Silence => {
                node.meter.record_silence(&delivery.from);
            }
        }
    }

    /// Lets a node count requests, and send what is due.
    fn act(&mut self, node: usize, now: u64, rate: f64) {
        let steady = now - self.nodes[node].booted;
        self.nodes[node].steady.store(steady, Ordering::Relaxed);
        let moment = Duration::from_millis(steady);
        let expected = rate * STEP_MS as f64 / 1_000.0;
        let requests = expected as u64 + u64::from(self.rng.f64() < expected.fract());
        for _ in 0..requests {
            let account: AccountId = ["a", "b", "c"][self.rng.usize(0..3)].into();
            let window = RULES.window_at(Duration::from_millis(now));
            let counts = self.truth.entry(window).or_default();
            *counts.entry(account.clone()).or_default() += 1;
            self.nodes[node].meter.count(&account, moment);
        }
        // Nodes send at different times.
        if (now + 25 * node as u64) % SEND_MS != 0 {
            return;
        }
        let (meter, own) = (
            self.nodes[node].meter.clone(),
            self.nodes[node].name.clone(),
        );
        let time_of_day = now.saturating_add_signed(self.nodes[node].error);
        meter.observe(moment, Duration::from_millis(time_of_day));
        meter.advance(moment, u32::try_from(self.nodes.len() - 1).ok());
        self.fetch_history(node, now);
        let candidates = self.candidates();
        if candidates.contains(&own) {
            if let Some(message) = meter.message(&own, &[], moment) {
                let (reply, _) = meter.receive(&message, moment);
                meter.record_reply(&own, reply, moment, moment);
            }
        }
        for to in meter.recipients(&candidates) {
            let Some(message) = meter.message(&to, &[], moment) else {
                continue;
            };
            self.deliveries.push(Delivery {
                at: now + CALL_LIMIT_MS,
                from: to.clone(),
                to: own.clone(),
                sent_at: now,
                content: Content::Silence,
            });
            self.post(Delivery {
                at: now,
                from: own.clone(),
                to,
                sent_at: now,
                content: Content::Message(message),
            });
        }
    }

    /// Fetches the counts of the other candidates where a node has just taken over.
    fn fetch_history(&mut self, node: usize, now: u64) {
        let meter = self.nodes[node].meter.clone();
        let moment = Duration::from_millis(now - self.nodes[node].booted);
        for name in meter.to_ask(&self.candidates()) {
            let from = self.index(&name).filter(|from| self.runs(*from, now));
            let is_lost = self.links_bad && self.rng.bool();
            if let Some(from) = from.filter(|_| !is_lost) {
                let history = self.nodes[from].meter.history(None);
                meter.merge_history(&name, &history, moment);
            }
        }
    }

    /// Lets the holder do what is due.
    fn run_duty(&mut self, now: u64) {
        if self.holder.is_none() && now >= self.free_at {
            let next = (0..3).find(|node| self.runs(*node, now));
            self.holder = next.map(|node| (self.nodes[node].name.clone(), self.next_fence));
            self.next_fence += 1;
        }
        let Some(node) = self.holder_index().filter(|node| self.runs(*node, now)) else {
            return;
        };
        let (name, fence) = self.holder.clone().unwrap();
        let calls = Calls {
            platform: self.platform.clone(),
            holder: DutyHolder { name, fence },
        };
        smol::block_on(self.nodes[node].duty.run_due(&calls));
        let has_died = {
            let mut platform = self.platform.lock().unwrap();
            std::mem::take(&mut platform.has_died) && std::mem::take(&mut platform.dies)
        };
        if has_died {
            if self.fault == Fault::ReportedThenRestored {
                self.store.restore();
            }
            self.kill(node, now);
        }
    }

    /// Stops all nodes one after another within 3 s, the holder last.
    fn stop_all(&mut self, since: u64, now: u64) {
        let count = self.nodes.len() as u64;
        if since == 0 {
            self.nodes
                .iter()
                .for_each(|node| node.meter.begin_leaving());
        }
        for node in 0..self.nodes.len() {
            let place = count - 1 - node as u64;
            let ends = place * DOWN_MS / count / STEP_MS * STEP_MS;
            if ends == since {
                self.kill(node, now);
            }
        }
    }

    /// Begins and ends faults.
    fn inject(&mut self, fault: Fault, now: u64) {
        let starts = now == FAULT_MS;
        let holder = self.holder_index();
        match fault {
            Fault::NodeRestarts if starts => self.kill(4, now),
            Fault::HolderDiesBeforeFix if starts => self.kill(holder.unwrap(), now),
            Fault::HolderDiesBeforeSend
            | Fault::HolderDiesAfterSend
            | Fault::ReportedThenRestored
                if starts =>
            {
                let mut platform = self.platform.lock().unwrap();
                platform.dies = true;
                if fault == Fault::HolderDiesBeforeSend {
                    // The report of the dying holder is the first one after the fault.
                    platform.answers = not_arrived_once;
                    platform.made = 0;
                }
            }
            Fault::Jump { node, by_ms } if starts => self.nodes[node].error += by_ms,
            Fault::Jump { node, by_ms } if now == FAULT_MS + 15_000 => {
                self.nodes[node].error -= by_ms;
            }
            Fault::StartsOff { node, by_ms } if now == BEGIN_MS => {
                self.nodes[node].error += by_ms;
            }
            Fault::NodeAdded if starts => {
                let node = self.new_node("added", now);
                self.nodes.insert(0, node);
                let holder = self.holder_index().unwrap();
                self.nodes[holder].duty.end_term();
                self.holder = None;
                self.free_at = now;
            }
            Fault::Suspended if starts => {
                self.nodes[4].frozen_until = now + 6_000;
                self.nodes[5].frozen_until = now + 6_000;
            }
            Fault::WritesUnanswered if starts => {
                self.store
                    .inject_fault(Call::Update, 0, StoreFault::LoseAnswer);
                self.store
                    .inject_fault(Call::Update, 1, StoreFault::LoseCall);
                self.store.inject_fault(Call::Get, 0, StoreFault::Refuse);
                self.store
                    .inject_fault(Call::Update, 1, StoreFault::LoseAnswer);
            }
            Fault::PlatformDown if starts => {
                self.platform.lock().unwrap().answers = down_for_a_while;
            }
            Fault::Restored | Fault::RestoredHolderDies | Fault::ReportedThenRestored
                if now == FAULT_MS - 9_000 =>
            {
                self.store.copy();
            }
            Fault::AllStop if now >= FAULT_MS => self.stop_all(now - FAULT_MS, now),
            Fault::AllKilled if starts => {
                (0..self.nodes.len()).for_each(|node| self.kill(node, now));
            }
            Fault::Restored if starts => self.store.restore(),
            Fault::RestoredHolderDies if starts => {
                self.store.restore();
                self.kill(holder.unwrap(), now);
            }
            _ => {}
        }
    }
}

fn not_arrived_once(_: u64, made: u64) -> Answer {
    if made == 1 {
        Answer::NotArrived
    } else {
        Answer::Given
    }
}

fn down_for_a_while(now: u64, made: u64) -> Answer {
    match (now < FAULT_MS + 12_000, made % 3) {
        (true, 0) => Answer::Lost,
        (true, _) => Answer::NotArrived,
        _ => Answer::Given,
    }
}

/// Runs a fleet; returns what the platform received, and the true counts.
fn run(count: usize, fault: Fault) -> Fleet {
    let mut fleet = Fleet {
        nodes: Vec::new(),
        rng: fastrand::Rng::with_seed(7 + count as u64),
        store: Arc::new(MemoryObjects::new(1)),
        platform: Arc::new(Mutex::new(Platform {
            reports: BTreeMap::new(),
            differing: Vec::new(),
            highest: 0,
            answers: |_, _| Answer::Given,
            now: BEGIN_MS,
            made: 0,
            dies: false,
            has_died: false,
        })),
        fault,
        links_bad: fault == Fault::BadLinks,
        deliveries: Vec::new(),
        truth: HashMap::new(),
        holder: None,
        free_at: BEGIN_MS,
        next_fence: 1,
    };
    for i in 0..count {
        let node = fleet.new_node(&format!("n{i}"), BEGIN_MS);
        fleet.nodes.push(node);
    }
    for now in (BEGIN_MS..END_MS).step_by(STEP_MS as usize) {
        fleet.platform.lock().unwrap().now = now;
        fleet.inject(fault, now);
        fleet.deliver(now);
        for node in 0..fleet.nodes.len() {
            if fleet.runs(node, now) {
                fleet.act(node, now, 600.0 / count as f64);
            }
        }
        if now % 250 == 0 {
            fleet.run_duty(now);
        }
    }
    fleet
}

/// Guards against reports that differ, are missing, late or wrong, under faults of nodes, links, clocks,
/// the store and the platform. `missing` windows may remain without a report, and `late` ones may be
/// reported after their time.
#[test_case(Fault::Nothing, 0, 0; "calm")]
#[test_case(Fault::BadLinks, 0, 0; "bad links")]
#[test_case(Fault::NodeRestarts, 0, 0; "a node restarts")]
#[test_case(Fault::HolderDiesBeforeSend, 0, 2; "holder dies before the report")]
#[test_case(Fault::HolderDiesAfterSend, 0, 2; "holder dies after the report")]
#[test_case(Fault::HolderDiesBeforeFix, 0, 1; "holder dies before a window is fixed")]
#[test_case(Fault::Jump { node: 0, by_ms: 3_000 }, 0, 0; "holder jumps ahead")]
#[test_case(Fault::Jump { node: 0, by_ms: -3_000 }, 0, 0; "holder jumps back")]
#[test_case(Fault::Jump { node: 5, by_ms: 3_000 }, 0, 0; "node jumps ahead")]
#[test_case(Fault::Jump { node: 5, by_ms: -3_000 }, 0, 0; "node jumps back")]
#[test_case(Fault::StartsOff { node: 0, by_ms: 3_000 }, 0, 0; "holder starts ahead")]
#[test_case(Fault::StartsOff { node: 5, by_ms: -3_000 }, 0, 0; "node starts behind")]
#[test_case(Fault::NodeAdded, 0, 0; "a node is added and holds the duty")]
#[test_case(Fault::Suspended, 0, 0; "two nodes are suspended")]
#[test_case(Fault::WritesUnanswered, 0, 0; "writes without an answer")]
#[test_case(Fault::PlatformDown, 0, 3; "platform down")]
#[test_case(Fault::Restored, 0, 0; "store restored")]
#[test_case(Fault::RestoredHolderDies, 3, 1; "store restored and holder dies")]
#[test_case(Fault::ReportedThenRestored, 3, 1; "report arrived and store restored")]
fn each_window_is_reported_once(fault: Fault, missing: usize, late: usize) {
    for count in [6, 82] {
        check(&run(count, fault), missing, late);
    }
}

fn check(fleet: &Fleet, missing: usize, late: usize) {
    let platform = fleet.platform.lock().unwrap();
    assert!(platform.differing.is_empty(), "{:?}", platform.differing);
    let first = RULES.window_at(Duration::from_millis(BEGIN_MS));
    let last = RULES.window_at(Duration::from_millis(END_MS - 15_000));
    let windows = (first..last).map(|window| (window, platform.reports.get(&window)));
    let (mut gaps, mut delays) = (0, 0);
    for (window, report) in windows {
        let Some((counts, at)) = report else {
            gaps += 1;
            continue;
        };
        let due = RULES.due_time(window).as_millis() as u64;
        delays += usize::from(*at > due);
        for (account, truth) in &fleet.truth[&window] {
            let reported = counts.get(account).copied().unwrap_or(0);
            let error = reported.abs_diff(*truth) as f64 / *truth as f64;
            assert!(
                error <= TOLERANCE,
                "{} nodes, window {}, {account}: {reported} of {truth}",
                fleet.nodes.len(),
                window - first
            );
        }
    }
    assert!(gaps <= missing, "{gaps} windows are missing");
    assert!(delays <= late, "{delays} windows are late");
}

/// Guards against requests that are reported twice, and windows that are lost, where all nodes end within
/// a window: the counts in the object of the store remain. `lost_ms` is how long the requests that are
/// lost took to arrive.
#[test_case(Fault::AllStop, 2_000; "all stop")]
#[test_case(Fault::AllKilled, 5_000; "all are killed")]
fn counts_outlive_the_nodes(fault: Fault, lost_ms: u64) {
    for count in [6, 82] {
        let fleet = run(count, fault);
        let platform = fleet.platform.lock().unwrap();
        assert!(platform.differing.is_empty(), "{:?}", platform.differing);
        let first = RULES.window_at(Duration::from_millis(BEGIN_MS));
        let last = RULES.window_at(Duration::from_millis(END_MS - 25_000));
        let mut lost = 0;
        for window in first..last {
            let report = platform.reports.get(&window);
            let (counts, _) = report.unwrap_or_else(|| panic!("no window {}", window - first));
            let reported: u64 = counts.values().sum();
            let truth: u64 = fleet.truth.get(&window).map_or(0, |t| t.values().sum());
            assert!(reported <= truth + truth / 20, "{reported} of {truth}");
            lost += truth.saturating_sub(reported);
        }
        assert!(lost <= 600 * lost_ms / 1_000, "{count} nodes: {lost} lost");
    }
}
