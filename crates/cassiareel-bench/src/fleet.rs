/*!
Simulates the membership of a fleet in virtual time: how long it takes to converge and how many
bytes nodes send.

The nodes run the kernel's own [`Membership`]. Message delays are drawn from a seed, and some
messages are lost. The size of a message is that of its encoding plus an HTTP head.
*/

use std::{
    cmp::Reverse, collections::BinaryHeap, collections::HashMap, net::SocketAddr, time::Duration,
};

use cassiareel::kernel::membership::{
    Action, Event, Member, Membership, Message, NodeState, GOSSIP_PERIOD,
};
use fastrand::Rng;

/// Size in bytes of the HTTP head of a call or an answer.
const HTTP_HEAD_BYTES: usize = 190;

/// The parameters of a simulated fleet.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Number of nodes.
    pub nodes: usize,
    /// Probability that a message is lost, from 0 to 1.
    pub loss_probability: f64,
    /// Seed of all random numbers.
    pub seed: u64,
}

/// An event that is due at a node.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum ScheduledEvent {
    Tick,
    /// Delivery of the message in a slot of `in_flight`; true if it is a call, which is answered.
    Message(usize, bool),
}

/// A queued event: its time, its sequence number, the index of the node and the event.
type QueueEntry = Reverse<(Duration, u64, usize, ScheduledEvent)>;

/// A simulated fleet.
pub struct Fleet {
    nodes: Vec<Option<Membership>>,
    node_indices: HashMap<SocketAddr, usize>,
    queue: BinaryHeap<QueueEntry>,
    in_flight: Vec<Option<(usize, Box<Message>)>>,
    free_slots: Vec<usize>,
    sequence: u64,
    now: Duration,
    rng: Rng,
    loss_probability: f64,
    partitioned: bool,
    /// Bytes that each node has sent.
    pub sent_bytes: Vec<u64>,
}

fn addr(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8], 7000))
}

impl Fleet {
    /// Starts a fleet in which each node is given the addresses of a few nodes before it.
    pub fn start(setup: Setup) -> Fleet {
        let mut fleet = Fleet {
            nodes: Vec::new(),
            node_indices: (0..setup.nodes).map(|i| (addr(i), i)).collect(),
            queue: BinaryHeap::new(),
            in_flight: Vec::new(),
            free_slots: Vec::new(),
            sequence: 0,
            now: Duration::ZERO,
            rng: Rng::with_seed(setup.seed),
            loss_probability: setup.loss_probability,
            partitioned: false,
            sent_bytes: vec![0; setup.nodes],
        };
        for i in 0..setup.nodes {
            let mut node = Membership::new(Member {
                name: format!("node-{i}").into(),
                incarnation: 1,
                addr: addr(i),
                data_centre: format!("d{}", i % 4).into(),
                content_version: 0,
                state: NodeState::Live,
                revision: 0,
            });
            let addrs = vec![addr(0), addr(i / 2), addr(i.saturating_sub(1))];
            node.step(Duration::ZERO, Event::Listed { addrs });
            fleet.nodes.push(Some(node));
            let first = GOSSIP_PERIOD.mul_f64(fleet.rng.f64());
            fleet.schedule(first, i, ScheduledEvent::Tick);
        }
        fleet
    }

    /// Returns the virtual time since the start.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Kills a node, which no longer sends or answers.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node] = None;
    }

    /// Sets whether the first half of the nodes is partitioned from the second.
    pub fn set_partitioned(&mut self, partitioned: bool) {
        self.partitioned = partitioned;
    }

    /// Sets the revision of the settings that a node uses.
    pub fn set_revision(&mut self, node: usize, revision: u64) {
        let state = NodeState::Live;
        self.step_node(node, Event::Changed { state, revision });
    }

    /// Returns the number of other nodes that a node knows to be live; `None` if it was killed.
    pub fn known_nodes(&self, node: usize) -> Option<usize> {
        self.nodes[node].as_ref().map(|n| n.others().count())
    }

    /// Returns the number of live nodes that list `node` as a member.
    pub fn nodes_listing(&self, node: usize) -> usize {
        let name = format!("node-{node}");
        let holds = |n: &Membership| n.others().any(|m| *m.name == *name);
        self.nodes.iter().flatten().filter(|n| holds(n)).count()
    }

    /// Returns the number of live nodes that don't yet know that `node` has `revision`.
    pub fn nodes_missing_revision(&self, node: usize, revision: u64) -> usize {
        let name = format!("node-{node}");
        let knows = |n: &Membership| {
            let mut all = n.others().chain([n.local()]);
            all.any(|m| *m.name == *name && m.revision >= revision)
        };
        self.nodes.iter().flatten().filter(|n| !knows(n)).count()
    }

    /// Runs until a condition holds, but no longer than `limit`, and returns whether it holds. The
    /// condition is checked every 20 ms of virtual time.
    pub fn run_until<F>(&mut self, limit: Duration, until: F) -> bool
    where
        F: Fn(&Fleet) -> bool,
    {
        let end = self.now + limit;
        let mut next_check = self.now;
        while let Some(Reverse((at, ..))) = self.queue.peek() {
            if *at > end {
                break;
            }
            let Some(Reverse((at, _, node, kind))) = self.queue.pop() else {
                break;
            };
            self.now = at;
            self.handle(node, kind);
            if self.now >= next_check {
                next_check = self.now + Duration::from_millis(20);
                if until(self) {
                    return true;
                }
            }
        }
        self.now = end;
        until(self)
    }

    fn schedule(&mut self, at: Duration, node: usize, kind: ScheduledEvent) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, node, kind)));
    }

    fn handle(&mut self, node: usize, kind: ScheduledEvent) {
        match kind {
            ScheduledEvent::Tick => {
                if self.nodes[node].is_some() {
                    let random = self.rng.u64(..);
                    self.step_node(node, Event::Tick { random });
                    self.schedule(self.now + GOSSIP_PERIOD, node, ScheduledEvent::Tick);
                }
            }
            ScheduledEvent::Message(slot, answer) => {
                self.free_slots.push(slot);
                if let Some((_, message)) = self.in_flight[slot].take() {
                    self.step_node(node, Event::Received { message, answer });
                }
            }
        }
    }

    fn step_node(&mut self, node: usize, event: Event) {
        let from = match &event {
            Event::Received { message, .. } => self.node_indices.get(&message.from.addr).copied(),
            _ => None,
        };
        let now = self.now;
        let Some(membership) = &mut self.nodes[node] else {
            return;
        };
        for action in membership.step(now, event) {
            match action {
                Action::Send { to, message } => {
                    if let Some(&to) = self.node_indices.get(&to) {
                        self.send(node, to, message, true);
                    }
                }
                Action::Answer { message } => {
                    if let Some(to) = from {
                        self.send(node, to, message, false);
                    }
                }
                Action::MembersChanged => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message, call: bool) {
        let bytes = rmp_serde::to_vec(&message).map_or(0, |bytes| bytes.len());
        self.sent_bytes[from] += (bytes + HTTP_HEAD_BYTES) as u64;
        let half = self.nodes.len() / 2;
        let cut = self.partitioned && (from < half) != (to < half);
        if cut || self.rng.f64() < self.loss_probability {
            return;
        }
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.in_flight.push(None);
            self.in_flight.len() - 1
        });
        self.in_flight[slot] = Some((from, Box::new(message)));
        let delay = Duration::from_micros(self.rng.u64(300..3000));
        self.schedule(self.now + delay, to, ScheduledEvent::Message(slot, call));
    }
}
