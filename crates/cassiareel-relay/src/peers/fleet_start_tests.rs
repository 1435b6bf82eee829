/*!
Simulates the start of a whole fleet in virtual time: 300 nodes, of which each needs 3,000 entries.

Who reads the store and when, whom a node asks for lists, and how it is answered are decided as in the
daemon, by [`Roster`], [`ListSearch`] and [`ListServer`]. The store, links and processors are plain
values here.
*/

use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::{
    list_search::{ListAnswer, ListSearch},
    list_server::{ListServer, ListsRequest, Place},
    members::Members,
    roster::Roster,
};
use crate::{clock::Moment, kernel::RefusalPause, source::NodeRecord};

const NODES: usize = 300;

/// The time between steps.
const STEP: Duration = Duration::from_millis(5);

/// The time in which nodes that are started together begin to run.
const START_SPREAD: u64 = 300;

/// The time that a node takes to read the list of nodes.
const NODES_READ_TIME: Duration = Duration::from_millis(80);

/// The time that a call to a peer takes beside the transfer.
const PEER_TIME: Duration = Duration::from_millis(10);

/// The time that a call to a peer takes that does not run.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The time that a small node takes to decode lists and put them in force.
const APPLY_TIME: Duration = Duration::from_millis(150);

/// The size of the lists in a message, in bytes.
const LIST_BYTES: usize = 130_000;

/// The size of one page of the registry in the store's answers, in bytes, and the time to read it.
const PAGE_BYTES: usize = 150_000;
const PAGE_TIME: Duration = Duration::from_millis(60);

/// The calls of a node's first reads: six pages of the registry, configuration and orders.
const CALLS: u32 = 8;

/// The calls that the store serves in a step: 6,000 a second.
const STORE_RATE: usize = 30;

/// The time in which 95 in 100 nodes have to serve.
const LIMIT: Duration = Duration::from_secs(5);

/// The most calls of the store in a start: a quarter of those of a fleet whose nodes all read it once.
const MAX_CALLS: usize = 600;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Nothing,
    /// The store rejects a third of the nodes, the first reader among them.
    ThirdRejected,
    /// The store rejects all nodes of a data centre.
    DataCentreRejected,
    /// A data centre's nodes start two seconds after the others.
    DataCentreLate,
    /// The first readers do not start.
    FirstReadersDead,
    /// Other work takes the store's whole rate during the first second.
    StoreAtItsRate,
}

/// What a node does.
#[derive(Clone, Debug)]
enum Task {
    /// Its process does not run yet.
    Down,
    Idle {
        until: Moment,
    },
    /// It asks a peer, and has the answer at a time. `None` stands for lists.
    Asking {
        until: Moment,
        peer: usize,
        answer: Option<ListAnswer>,
    },
}

struct Node {
    roster: Roster,
    address: SocketAddr,
    link_mbps: u32,
    starts_at: Option<Moment>,
    task: Task,
    search: ListSearch,
    server: ListServer,
    pause: RefusalPause,
    /// The calls of its first reads that were answered, and when the next may be made.
    calls: u32,
    next_call: Moment,
    is_rejected: bool,
    /// When a peer last answered that its link is busy.
    busy_at: Option<Moment>,
    has_lists_at: Option<Moment>,
    /// Until when its link carries what was sent.
    link_busy: Moment,
    sent_bytes: usize,
}

#[derive(Debug, Default)]
struct Observed {
    /// The time until 95 in 100 of the nodes that run serve.
    served_after: Duration,
    calls: usize,
    /// The most bytes that a node with a slow link sent, and any node.
    slow_link_bytes: usize,
    link_bytes: usize,
    /// The bytes between data centres.
    remote_bytes: usize,
}

struct Fleet {
    nodes: Vec<Node>,
    fault: Fault,
    calls: usize,
    remote_bytes: usize,
}

impl Fleet {
    /// Creates a fleet in which `fast` nodes of each data centre have fast links.
    fn new(fault: Fault, fast: usize) -> Fleet {
        fastrand::seed(7);
        let records: Vec<NodeRecord> = (0..NODES).map(|i| record(i, fast)).collect();
        let members = Arc::new(Members::new(records, 0));
        let records = members.records.iter().enumerate();
        let nodes = records.map(|(i, record)| new_node(i, record, &members, fault));
        Fleet {
            nodes: nodes.collect(),
            fault,
            calls: 0,
            remote_bytes: 0,
        }
    }

    fn run(&mut self) -> Observed {
        let mut now = Moment::ZERO;
        while now < Duration::from_secs(30) {
            let mut rate = STORE_RATE;
            if self.fault == Fault::StoreAtItsRate && now < Duration::from_secs(1) {
                rate = 0;
            }
            for i in 0..NODES {
                self.step(i, now, &mut rate);
            }
            now += STEP;
        }
        self.observed()
    }

    fn observed(&self) -> Observed {
        let running = self.nodes.iter().filter(|node| node.starts_at.is_some());
        let mut times: Vec<Duration> = running
            .map(|node| node.has_lists_at.unwrap_or(Duration::MAX))
            .collect();
        times.sort();
        let slow = self.nodes.iter().filter(|node| node.link_mbps == 10);
        let bytes = |node: &Node| node.sent_bytes;
        Observed {
            served_after: times[times.len() * 95 / 100],
            calls: self.calls,
            slow_link_bytes: slow.map(bytes).max().unwrap_or_default(),
            remote_bytes: self.remote_bytes,
            link_bytes: self.nodes.iter().map(bytes).max().unwrap_or_default(),
        }
    }

    fn step(&mut self, i: usize, now: Moment, rate: &mut usize) {
        let node = &mut self.nodes[i];
        if node.starts_at.is_none_or(|at| now < at) || node.has_lists_at.is_some() {
            return;
        }
        match node.task.clone() {
            Task::Down => {
                let until = now + NODES_READ_TIME;
                node.next_call = until;
                node.task = Task::Idle { until };
                return;
            }
            Task::Idle { until } | Task::Asking { until, .. } if now < until => {}
            Task::Idle { .. } if node.roster.is_forwarder(now) => {}
            Task::Idle { .. } => self.ask(i, now),
            Task::Asking { peer, answer, .. } => self.end_question(i, peer, answer, now),
        }
        self.read(i, now, rate);
    }

    /// Makes the next call to the store where the node's turn has come.
    fn read(&mut self, i: usize, now: Moment, rate: &mut usize) {
        let node = &mut self.nodes[i];
        let spent = now - node.starts_at.unwrap_or_default();
        let busy = node.busy_at.map(|at| now - at);
        let is_turn = node.roster.is_forwarder(now) || !node.roster.waits_for_lists(spent, busy);
        let may_call = now >= node.next_call && node.pause.remaining(now).is_zero();
        if !is_turn || !may_call || node.has_lists_at.is_some() {
            return;
        }
        self.calls += 1;
        if node.is_rejected {
            node.next_call = now + Duration::from_millis(480 * 12);
            return;
        }
        if *rate == 0 {
            // The whole list is read again.
            node.calls = 0;
            node.pause.record_refusal(now, 1.0 + fastrand::f64());
            return;
        }
        *rate -= 1;
        node.calls += 1;
        node.next_call = now + PAGE_TIME + transfer_time(PAGE_BYTES, node.link_mbps);
        if node.calls == CALLS {
            node.has_lists_at = Some(node.next_call + APPLY_TIME);
        }
    }

    fn ask(&mut self, i: usize, now: Moment) {
        let node = &mut self.nodes[i];
        let peers = node.roster.parents(now);
        let peers: Vec<SocketAddr> = peers.into_iter().map(|(_, address)| address).collect();
        let Some(peer) = node.search.next(&peers) else {
            let until = now + Duration::from_millis(100);
            node.task = Task::Idle { until };
            return;
        };
        let address = node.address;
        let peer = self.nodes.iter().position(|node| node.address == peer);
        let peer = peer.expect("a node of the fleet");
        let (took, answer) = self.answer(peer, address, now);
        self.nodes[i].task = Task::Asking {
            until: now + took,
            peer,
            answer,
        };
    }

    /// Answers a question as [`super::lists`] does: at once, whatever the node knows.
    fn answer(&mut self, i: usize, to: SocketAddr, now: Moment) -> (Duration, Option<ListAnswer>) {
        let node = &mut self.nodes[i];
        if node.starts_at.is_none_or(|at| now < at) {
            return (CONNECT_TIMEOUT, Some(ListAnswer::Failed));
        }
        if node.has_lists_at.is_none_or(|at| now < at) {
            return (PEER_TIME, Some(ListAnswer::Empty));
        }
        node.server.note_size(LIST_BYTES);
        let own_centre = Arc::from(data_centre(node.address));
        let own = Place {
            data_centre: &own_centre,
            link_mbps: Some(node.link_mbps),
        };
        let request = ListsRequest {
            address: to,
            data_centre: Arc::from(data_centre(to)),
        };
        if let Err(sources) = node.server.admit(&request, own, now) {
            return (PEER_TIME, Some(ListAnswer::Busy(sources)));
        }
        node.link_busy = node.link_busy.max(now) + transfer_time(LIST_BYTES, node.link_mbps);
        node.sent_bytes += LIST_BYTES;
        if data_centre(node.address) != data_centre(to) {
            self.remote_bytes += LIST_BYTES;
        }
        // The receiver's own link is slow as well.
        let received = node.link_busy - now + transfer_time(LIST_BYTES, 10);
        (received + PEER_TIME, None)
    }

    fn end_question(&mut self, i: usize, peer: usize, answer: Option<ListAnswer>, now: Moment) {
        let name = self.nodes[peer].name();
        let node = &mut self.nodes[i];
        let Some(answer) = answer else {
            node.has_lists_at = Some(now + APPLY_TIME);
            return;
        };
        if matches!(answer, ListAnswer::Busy(_)) {
            node.busy_at = Some(now);
        }
        if answer == ListAnswer::Failed {
            node.roster.exclude(&name, now);
        }
        let pause = node.search.record(answer);
        let pause = pause.mul_f64(0.75 + fastrand::f64() / 2.0);
        node.task = Task::Idle { until: now + pause };
    }
}

impl Node {
    fn name(&self) -> String {
        name(self.address)
    }
}

fn name(address: SocketAddr) -> String {
    format!("n{}", address.port())
}

fn data_centre(address: SocketAddr) -> &'static str {
    ["a", "b", "c"][usize::from(address.port()) % 3]
}

fn record(i: usize, fast: usize) -> NodeRecord {
    let address = ([10, 0, 0, 1], i as u16).into();
    NodeRecord {
        name: name(address),
        address,
        data_centre: Arc::from(data_centre(address)),
        counts: Vec::new(),
        link_mbps: Some(if i / 3 < fast { 200 } else { 10 }),
    }
}

/// Creates the node at position `i` of the order in which nodes read the store.
fn new_node(i: usize, record: &NodeRecord, members: &Arc<Members>, fault: Fault) -> Node {
    let mut roster = Roster::new(&record.name, &record.data_centre);
    roster.replace(members.clone());
    let is_late = fault == Fault::DataCentreLate && &*record.data_centre == "b";
    let is_dead = fault == Fault::FirstReadersDead && i < 4;
    let delay = Duration::from_secs(if is_late { 2 } else { 0 });
    let starts_at = delay + Duration::from_millis(fastrand::u64(0..START_SPREAD));
    Node {
        roster,
        address: record.address,
        link_mbps: record.link_mbps.unwrap_or(10),
        starts_at: (!is_dead).then_some(starts_at),
        task: Task::Down,
        search: ListSearch::default(),
        server: ListServer::default(),
        pause: RefusalPause::default(),
        calls: 0,
        next_call: Moment::ZERO,
        is_rejected: match fault {
            Fault::ThirdRejected => (i + i / 3).is_multiple_of(3),
            Fault::DataCentreRejected => &*record.data_centre == "a",
            _ => false,
        },
        busy_at: None,
        has_lists_at: None,
        link_busy: Moment::ZERO,
        sent_bytes: 0,
    }
}

fn transfer_time(bytes: usize, link_mbps: u32) -> Duration {
    Duration::from_secs_f64(bytes as f64 * 8.0 / (f64::from(link_mbps) * 1e6))
}

/// A fleet whose nodes all read the store needs 2,400 calls for this, at the store's rate of 6,000 a
/// second from all nodes, and each node sends up to 75 others all lists: 10 MB.
#[test]
fn a_fleet_that_starts_serves_soon_with_few_calls() {
    let cases = [
        Fault::Nothing,
        Fault::ThirdRejected,
        Fault::DataCentreRejected,
        Fault::DataCentreLate,
        Fault::FirstReadersDead,
        Fault::StoreAtItsRate,
    ];
    for fault in cases {
        for fast in [0, 2] {
            let observed = Fleet::new(fault, fast).run();
            let text = format!("{fault:?}, {fast} fast links: {observed:?}");
            assert!(observed.served_after < LIMIT, "{text}");
            assert!(observed.calls <= MAX_CALLS, "{text}");
            // A slow link carries 6 MB in that time.
            assert!(observed.slow_link_bytes < 3_000_000, "{text}");
            // A fast link carries 25 MB in a second.
            assert!(observed.link_bytes < 25_000_000, "{text}");
            // All lists together have 39 MB.
            assert!(observed.remote_bytes < 25_000_000, "{text}");
        }
    }
}
