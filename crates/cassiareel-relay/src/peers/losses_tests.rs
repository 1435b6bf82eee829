//! Simulates whole fleets in virtual time: how soon all nodes know of a loss that one of them saw.

use std::{collections::HashMap, sync::Arc, time::Duration};

use cassiareel::kernel::suspect::{Loss, Suspects};
use test_case::test_case;

use super::{losses::LossPosition, members::Members, roster::Roster};
use crate::{clock::Moment, model::DataCentre, source::NodeRecord};

/// The time between steps, which is also what a message takes.
const STEP: Duration = Duration::from_millis(10);

/// How long a call to a node that hangs takes.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// The time in which all running nodes have to know of a loss. It leaves a margin to the shortest
/// time that the users require.
const PROPAGATION_LIMIT: Duration = Duration::from_millis(1500);

const CONTENT: [u8; 16] = [7; 16];

/// What fails while the losses occur.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Nothing,
    /// The first reader hangs, and no node has detected it yet.
    FirstHangs,
    /// Two of the forwarders hang.
    TwoForwardersHang,
}

struct Node {
    name: String,
    roster: Roster,
    suspects: Suspects,
    /// The peer to which it sends losses, and how many losses it has sent.
    sent_to: (String, u64),
    failures: usize,
    /// Until when a call of its own hangs.
    waits_until: Moment,
    /// How many losses it has received from each peer.
    received: HashMap<String, u64>,
}

fn record(i: usize) -> NodeRecord {
    NodeRecord {
        name: format!("n{i}"),
        address: ([10, 0, (i / 250) as u8, (i % 250) as u8], 7000).into(),
        data_centre: DataCentre::from(["a", "b", "c", "d", "e"][i % 5]),
        counts: Vec::new(),
        link_mbps: None,
    }
}

fn loss(process: u64) -> Loss {
    Loss {
        content: CONTENT,
        attempt: process,
        process,
        at: Duration::ZERO,
        early: true,
        parts: [].into(),
    }
}

#[test_case(6, Fault::Nothing)]
#[test_case(6, Fault::FirstHangs)]
#[test_case(6, Fault::TwoForwardersHang)]
#[test_case(295, Fault::Nothing)]
#[test_case(295, Fault::FirstHangs)]
#[test_case(295, Fault::TwoForwardersHang)]
fn all_nodes_know_of_a_loss_in_time(count: usize, fault: Fault) {
    let members = Arc::new(Members::new((0..count).map(record).collect(), 0));
    let hung: Vec<String> = match fault {
        Fault::Nothing => Vec::new(),
        Fault::FirstHangs => vec![members.records[0].name.clone()],
        Fault::TwoForwardersHang => vec![
            members.records[1].name.clone(),
            members.records[2].name.clone(),
        ],
    };
    let mut nodes: Vec<Node> = members
        .records
        .iter()
        .map(|record| node(record, &members))
        .collect();
    let at: HashMap<String, usize> = nodes
        .iter()
        .enumerate()
        .map(|(i, n)| (n.name.clone(), i))
        .collect();
    // The last nodes forward nothing for others, and see one loss each.
    for (process, node) in nodes.iter_mut().rev().take(3).enumerate() {
        node.suspects.record_loss(loss(process as u64));
    }
    let mut now = Duration::ZERO;
    while now < PROPAGATION_LIMIT {
        now += STEP;
        for i in 0..count {
            if hung.contains(&nodes[i].name) {
                continue;
            }
            send_losses(&mut nodes, i, &at, &hung, now);
            receive_losses(&mut nodes, i, &at, &hung, now);
        }
    }
    let running = nodes.iter().filter(|node| !hung.contains(&node.name));
    let behind = running
        .filter(|node| node.suspects.crash_count(&CONTENT, now) < 3)
        .count();
    assert_eq!(behind, 0, "of {count} nodes");
}

fn node(record: &NodeRecord, members: &Arc<Members>) -> Node {
    let mut roster = Roster::new(&record.name, &record.data_centre);
    roster.replace(members.clone());
    Node {
        name: record.name.clone(),
        roster,
        suspects: Suspects::default(),
        sent_to: Default::default(),
        failures: 0,
        waits_until: Duration::ZERO,
        received: HashMap::new(),
    }
}

/// Sends losses to the preferred peer, as the function `send_losses` of the daemon does.
fn send_losses(
    nodes: &mut [Node],
    i: usize,
    at: &HashMap<String, usize>,
    hung: &[String],
    now: Moment,
) {
    if nodes[i].suspects.known_losses() == 0 || now < nodes[i].waits_until {
        return;
    }
    let parents = nodes[i].roster.parents(now);
    let (name, _) = parents[nodes[i].failures % parents.len()].clone();
    if nodes[i].sent_to.0 != name {
        nodes[i].sent_to = (name.clone(), 0);
    }
    let (losses, known) = nodes[i].suspects.losses_since(nodes[i].sent_to.1, now);
    if losses.is_empty() {
        return;
    }
    if hung.contains(&name) {
        nodes[i].failures += 1;
        nodes[i].waits_until = now + CALL_TIMEOUT;
        return;
    }
    nodes[at[&name]].suspects.merge(&losses, now);
    nodes[i].sent_to.1 = known;
}

/// Receives the losses of the peer whose answers this node waits for. A peer that hangs is detected
/// after a while.
fn receive_losses(
    nodes: &mut [Node],
    i: usize,
    at: &HashMap<String, usize>,
    hung: &[String],
    now: Moment,
) {
    const DETECTED_AT: Duration = Duration::from_millis(1000);
    if nodes[i].roster.reader_rank(now) == 0 {
        return;
    }
    let Some((name, _)) = nodes[i].roster.peer(now, false) else {
        return;
    };
    if hung.contains(&name) {
        if now >= DETECTED_AT {
            nodes[i].roster.exclude(&name, now);
        }
        return;
    }
    let received = nodes[i].received.get(&name).copied().unwrap_or_default();
    let (losses, known) = nodes[at[&name]].suspects.losses_since(received, now);
    nodes[i].suspects.merge(&losses, now);
    nodes[i].received.insert(name, known);
}

#[test]
fn a_position_of_another_incarnation_is_ignored() {
    let position = |life, known| LossPosition::new(life, known);
    assert!(position(1, 5).is_ahead_of(position(1, 4)));
    assert!(!position(1, 5).is_ahead_of(position(1, 5)));
    assert!(position(2, 1).is_ahead_of(position(1, 9)));
    assert!(!position(2, 0).is_ahead_of(position(1, 9)));
}
