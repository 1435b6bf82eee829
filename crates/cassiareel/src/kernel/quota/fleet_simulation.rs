/*!
Fleets in virtual time whose callers request more than a backend server's limit.

Each node runs [`Quotas`]; messages between nodes and answers take some time; faults hit the owners
of the quotas first, where they hurt most. All arrivals at the server count, those from nodes that
were restarted, frozen or cut off included, which the users excuse.
*/

use std::{collections::VecDeque, time::Duration};

use super::{LimitReading, NodeKey, PermitCall, PermitGrant, Purpose, Quotas, Rate};
use crate::kernel::{suspect::ProcessKey, Time};

/// The simulated process.
const PROCESS: ProcessKey = 77;

/// The step of virtual time.
const STEP: Duration = Duration::from_millis(5);

/// How long a message between nodes takes.
const MESSAGE_TIME: Duration = Duration::from_millis(10);

/// How long the server takes to answer.
const ANSWER_TIME: Duration = Duration::from_millis(30);

/// How long a node waits for the answer to a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// The longest time until a node has a new list of nodes.
const LIST_TIME: Duration = Duration::from_millis(1500);

/// When the server begins to name its limit.
const NAMED: Duration = Duration::from_secs(5);

/// The time in which all nodes must apply a limit after it was first named, as the users require.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// The users' limit applies to any span of this length.
pub(super) const SPAN: Duration = Duration::from_secs(4);

/// When faults begin and end.
pub(super) const FAULT: std::ops::Range<Duration> =
    Duration::from_secs(15)..Duration::from_secs(21);

/// The end of a simulation.
pub(super) const END: Duration = Duration::from_secs(40);

/// Which nodes callers use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Traffic {
    /// All nodes alike.
    Even,
    /// One node only.
    OneNode,
    /// Another node every two seconds.
    Moving,
}

/// What happens to the fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Fault {
    Nothing,
    /// The first owner is cut off from the other nodes, not from the server.
    OwnerCut,
    /// The first owner does not run for a while, and goes on.
    OwnerFrozen,
    /// The first owner is gone for good.
    OwnerGone,
    /// All nodes are restarted, one every half a second.
    RollingRestart,
    /// All nodes are restarted at the same time.
    AllRestarted,
    /// Half of the nodes can't reach the other half.
    Halves,
    /// A sixth of the fleet, and at least one node, is added; nodes learn of it at different times.
    NodesAdded,
}

/// A message on its way.
enum Message {
    Call {
        from: NodeKey,
        call: PermitCall,
        asked_at: Time,
        reading: Option<LimitReading>,
    },
    Answer {
        from: NodeKey,
        asked_at: Time,
        grants: Vec<(ProcessKey, Option<PermitGrant>)>,
        reading: Option<LimitReading>,
    },
    Lost {
        call: PermitCall,
    },
    Reading {
        reading: LimitReading,
    },
}

struct Delivery {
    at: Time,
    to: NodeKey,
    message: Message,
}

struct Node {
    quotas: Quotas,
    /// When the node has the list of all nodes.
    listed_at: Time,
}

pub(super) struct Fleet {
    nodes: Vec<Node>,
    /// The number of nodes at the start.
    initial: usize,
    fault: Fault,
    traffic: Traffic,
    limit: Rate,
    /// Requests a second from all callers.
    load: Rate,
    deliveries: Vec<Delivery>,
    answers: VecDeque<(Time, usize, Time)>,
    arrivals: Vec<(Time, usize)>,
    messages: usize,
    random: fastrand::Rng,
    victim: usize,
}

/// What a simulation shows.
#[derive(Debug)]
pub(super) struct Observed {
    /// The most arrivals in a span.
    pub(super) most: usize,
    /// The used part of the limit without a fault.
    pub(super) used: f64,
    /// The used part of the limit during the fault.
    pub(super) used_in_fault: f64,
    /// Messages a second.
    pub(super) messages: f64,
    /// The arrivals from the node with the fewest, as a part of the mean of all nodes.
    pub(super) least_part: f64,
}

impl Fleet {
    pub(super) fn new(
        count: usize,
        limit: Rate,
        fault: Fault,
        traffic: Traffic,
        seed: u64,
    ) -> Fleet {
        let added = if fault == Fault::NodesAdded {
            (count / 6).max(1)
        } else {
            0
        };
        let nodes = (0..count + added).map(|i| Node {
            quotas: Quotas::new(i as NodeKey, Duration::ZERO),
            listed_at: Duration::ZERO,
        });
        let keys: Vec<NodeKey> = (0..count as NodeKey).collect();
        let victim = super::owners(PROCESS, limit, &keys)[0] as usize;
        let mut fleet = Fleet {
            nodes: nodes.collect(),
            initial: count,
            fault,
            traffic,
            limit,
            load: (limit * 4.0).max(40.0),
            deliveries: Vec::new(),
            answers: VecDeque::new(),
            arrivals: Vec::new(),
            messages: 0,
            random: fastrand::Rng::with_seed(seed),
            victim,
        };
        for node in &mut fleet.nodes[..count] {
            node.quotas.set_nodes(keys.clone(), Duration::ZERO);
        }
        fleet
    }

    pub(super) fn run(mut self) -> Observed {
        let mut now = Duration::ZERO;
        while now < END {
            self.apply_fault(now);
            self.deliver(now);
            self.send_requests(now);
            self.call_owners(now);
            now += STEP;
        }
        let counted: Vec<Time> = self
            .arrivals
            .iter()
            .map(|(at, _)| *at)
            .filter(|at| *at >= NAMED + PROPAGATION_TIME)
            .collect();
        let in_span = |(i, first): (usize, &Time)| {
            counted[i..]
                .iter()
                .take_while(|at| **at < *first + SPAN)
                .count()
        };
        let within = |from: Time, to: Time| {
            let count = counted.iter().filter(|at| (from..to).contains(*at)).count();
            count as f64 / (to - from).as_secs_f64() / self.limit
        };
        Observed {
            most: counted.iter().enumerate().map(in_span).max().unwrap_or(0),
            used: within(NAMED + PROPAGATION_TIME, FAULT.start),
            used_in_fault: within(FAULT.start, FAULT.end),
            messages: self.messages as f64 / (END - NAMED).as_secs_f64(),
            least_part: self.least_part(),
        }
    }

    fn least_part(&self) -> f64 {
        let mut counts = vec![0_u32; self.nodes.len()];
        for (at, node) in &self.arrivals {
            counts[*node] += u32::from(*at >= NAMED + PROPAGATION_TIME);
        }
        let mean = f64::from(counts.iter().sum::<u32>()) / counts.len() as f64;
        f64::from(counts.into_iter().min().unwrap_or(0)) / mean.max(f64::MIN_POSITIVE)
    }

    /// Reports whether a node runs.
    fn runs(&self, node: usize, now: Time) -> bool {
        let hit = node == self.victim && now >= FAULT.start;
        match self.fault {
            Fault::OwnerFrozen => !(hit && now < FAULT.end),
            Fault::OwnerGone => !hit,
            Fault::NodesAdded => node < self.initial || now >= FAULT.start,
            _ => true,
        }
    }

    /// Reports whether a message passes between two nodes.
    fn connects(&self, from: usize, to: usize, now: Time) -> bool {
        let during = FAULT.contains(&now);
        match self.fault {
            Fault::OwnerCut => !(during && (from == self.victim || to == self.victim)),
            Fault::Halves => !(during && from % 2 != to % 2),
            _ => true,
        }
    }

    fn apply_fault(&mut self, now: Time) {
        if now < FAULT.start {
            return;
        }
        let count = self.nodes.len() as NodeKey;
        for i in 0..self.nodes.len() {
            let restarts = match self.fault {
                Fault::AllRestarted => now == FAULT.start,
                Fault::RollingRestart => now == FAULT.start + Duration::from_millis(500) * i as u32,
                Fault::NodesAdded => now == FAULT.start && i >= self.initial,
                _ => false,
            };
            let learns = self.fault == Fault::NodesAdded && now == FAULT.start;
            if restarts {
                self.nodes[i].quotas = Quotas::new(i as NodeKey, now);
            }
            if restarts || learns {
                let delay = LIST_TIME.mul_f64(self.random.f64());
                let steps = delay.as_millis() / STEP.as_millis();
                self.nodes[i].listed_at = now + STEP * (steps as u32 + 1);
            }
            if self.nodes[i].listed_at == now && now > Duration::ZERO {
                self.nodes[i].quotas.set_nodes((0..count).collect(), now);
                self.fetch_readings(i, now);
            }
        }
    }

    /// Gives a node that has just started the reading of another node.
    fn fetch_readings(&mut self, node: usize, now: Time) {
        let peer = (node + 1) % self.initial;
        let reading = self.nodes[peer].quotas.reading(PROCESS);
        if let Some(reading) = reading.filter(|_| self.runs(peer, now)) {
            self.record(node, reading, now, false);
        }
    }

    /// Reports whether a node takes requests: one that starts does so once it has the list of nodes
    /// and has asked another one for the limits.
    fn serves(&self, node: usize, now: Time) -> bool {
        self.runs(node, now) && now >= self.nodes[node].listed_at
    }

    fn deliver(&mut self, now: Time) {
        while self.answers.front().is_some_and(|(at, _, _)| *at <= now) {
            let Some((received, node, sent)) = self.answers.pop_front() else {
                break;
            };
            let names = sent >= NAMED;
            if self.runs(node, now) {
                let limit = names.then_some(self.limit);
                self.record(
                    node,
                    LimitReading {
                        limit,
                        sent,
                        received,
                    },
                    now,
                    true,
                );
            }
        }
        let (due, later) = std::mem::take(&mut self.deliveries)
            .into_iter()
            .partition(|delivery: &Delivery| delivery.at <= now);
        self.deliveries = later;
        for delivery in due {
            if self.runs(delivery.to as usize, now) {
                self.handle(delivery, now);
            }
        }
    }

    /// Records a reading, and sends a notable change to all other nodes.
    fn record(&mut self, node: usize, reading: LimitReading, now: Time, spread: bool) {
        let change = self.nodes[node].quotas.record(PROCESS, reading, now);
        if !spread || !change.is_some_and(|change| change.is_notable()) {
            return;
        }
        for to in 0..self.nodes.len() {
            if to != node && self.connects(node, to, now) {
                let message = Message::Reading { reading };
                self.post(to as NodeKey, message, now + MESSAGE_TIME * 3);
            }
        }
    }

    fn post(&mut self, to: NodeKey, message: Message, at: Time) {
        self.deliveries.push(Delivery { at, to, message });
    }

    fn handle(&mut self, delivery: Delivery, now: Time) {
        let to = delivery.to as usize;
        match delivery.message {
            Message::Reading { reading } => self.record(to, reading, now, false),
            Message::Lost { call } => {
                self.nodes[to].quotas.record_silence(&call, now);
            }
            Message::Call {
                from,
                call,
                asked_at,
                reading,
            } => {
                if let Some(reading) = reading {
                    self.record(to, reading, now, false);
                }
                let quotas = &mut self.nodes[to].quotas;
                let grants = call.requests.iter().map(|(process, request)| {
                    (*process, quotas.grant(from, *process, request, now))
                });
                let message = Message::Answer {
                    from: delivery.to,
                    asked_at,
                    grants: grants.collect(),
                    reading: quotas.reading(PROCESS),
                };
                if self.connects(to, from as usize, now) {
                    self.post(from, message, now + MESSAGE_TIME);
                }
            }
            Message::Answer {
                from,
                asked_at,
                grants,
                reading,
            } => {
                if let Some(reading) = reading {
                    self.record(to, reading, now, false);
                }
                let quotas = &mut self.nodes[to].quotas;
                quotas.record_answer(from);
                for (process, grant) in grants {
                    quotas.receive(from, process, grant, asked_at);
                }
            }
        }
    }

    fn send_requests(&mut self, now: Time) {
        let mut expected = self.load * STEP.as_secs_f64();
        while self.random.f64() < expected {
            expected -= 1.0;
            let node = match self.traffic {
                Traffic::Even => self.random.usize(0..self.nodes.len()),
                Traffic::OneNode => (self.victim + 1) % self.initial,
                Traffic::Moving => (now.as_secs() / 2) as usize % self.initial,
            };
            if self.serves(node, now) && self.nodes[node].quotas.take(PROCESS, Purpose::New, now) {
                self.arrivals.push((now, node));
                self.answers.push_back((now + ANSWER_TIME, node, now));
            }
        }
    }

    fn call_owners(&mut self, now: Time) {
        for from in 0..self.nodes.len() {
            if !self.runs(from, now) {
                continue;
            }
            for call in self.nodes[from].quotas.calls(now) {
                let reading = self.nodes[from].quotas.reading(PROCESS);
                self.messages += 1;
                let to = call.to as usize;
                if self.runs(to, now) && self.connects(from, to, now) {
                    let message = Message::Call {
                        from: from as NodeKey,
                        call,
                        asked_at: now,
                        reading,
                    };
                    self.post(to as NodeKey, message, now + MESSAGE_TIME);
                } else {
                    self.post(from as NodeKey, Message::Lost { call }, now + CALL_TIMEOUT);
                }
            }
        }
    }
}
