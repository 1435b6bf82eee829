/*!
A fleet of nodes in virtual time: who knows of whom, after how long and for how many bytes.

The nodes run the kernel's own membership. Messages take a time drawn from a seed, and some are lost;
their size is that of their encoding, with the head of an HTTP call or answer.
*/

use std::{
    cmp::Reverse, collections::BinaryHeap, collections::HashMap, net::SocketAddr, time::Duration,
};

use cassiareel::kernel::membership::{
    Action, Event, Member, Membership, Message, NodeState, GOSSIP_PERIOD,
};
use fastrand::Rng;

/// Bytes of the head of a call or an answer.
const HTTP_HEAD_BYTES: usize = 190;

/// A fleet.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Nodes.
    pub nodes: usize,
    /// The chance of a message to be lost, from 0 to 1.
    pub loss_probability: f64,
    /// The seed.
    pub seed: u64,
}

/// Something that happens.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum ScheduledEvent {
    Tick,
    /// A message by its place in the table, and whether it is a call.
    Message(usize, bool),
}

/// What happens at a time to a node.
type QueueEntry = Reverse<(Duration, u64, usize, ScheduledEvent)>;

/// A fleet in virtual time.
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
    /// Bytes that each node sent.
    pub sent_bytes: Vec<u64>,
}

fn addr(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8], 7000))
}

impl Fleet {
    /// Starts a fleet that knows of one node each.
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

    /// The time since the start.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Kills a node: it neither sends nor answers.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node] = None;
    }

    /// Cuts the first half of the nodes from the second, or joins them.
    pub fn set_partitioned(&mut self, partitioned: bool) {
        self.partitioned = partitioned;
    }

    /// Gives a node another revision of the settings.
    pub fn set_revision(&mut self, node: usize, revision: u64) {
        let state = NodeState::Live;
        self.step_node(node, Event::Changed { state, revision });
    }

    /// The live nodes as a node sees them, itself apart.
    pub fn known_nodes(&self, node: usize) -> Option<usize> {
        self.nodes[node].as_ref().map(|n| n.others().count())
    }

    /// Live nodes that still hold `dead` for a member.
    pub fn nodes_listing(&self, node: usize) -> usize {
        let name = format!("node-{node}");
        let holds = |n: &Membership| n.others().any(|m| *m.name == *name);
        self.nodes.iter().flatten().filter(|n| holds(n)).count()
    }

    /// Live nodes that don't know `node` to have a revision.
    pub fn nodes_missing_revision(&self, node: usize, revision: u64) -> usize {
        let name = format!("node-{node}");
        let knows = |n: &Membership| {
            let mut all = n.others().chain([n.local()]);
            all.any(|m| *m.name == *name && m.revision >= revision)
        };
        self.nodes.iter().flatten().filter(|n| !knows(n)).count()
    }

    /// Runs for a while, or until a condition holds; true if it does.
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
