//! A model of two nodes, the store's record and a bad version.
//!
//! The judge may find the version bad on any node, twice in all. Verdicts and records pass between
//! the nodes and the store in any order, late and repeatedly. Nodes restart, the store fails, and
//! the operator may start one more move.

use std::time::Duration;

use super::{Caller, Cell, Evidence, Plan, Record, State, Status, Verdict, VersionQuery, View};
use crate::kernel::{
    check::{search, Model},
    Time,
};

const NODES: usize = 2;

/// A node's view, in a form that can be compared and hashed.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Node {
    record: Option<(u64, u64)>,
    verdicts: Vec<u64>,
    /// Whether the last update is recent; `None` before the first update.
    fresh: Option<bool>,
    /// The highest move with a verdict that this incarnation received, recorded by the model.
    highest_verdict: u64,
    /// The newest status that this incarnation received, recorded by the model.
    newest_status: (u64, u64),
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct World {
    nodes: Vec<Node>,
    /// The store's move, change and verdicts.
    store: (u64, u64, Vec<u64>),
    store_down: bool,
    outages_left: u8,
    restarts_left: u8,
    verdicts_left: u8,
}

struct Fleet {
    mutation: Option<&'static str>,
}

/// The time at which nodes choose versions; a recent update was received at [`RECENT_UPDATE`].
const NOW: Time = Duration::from_secs(1000);
const RECENT_UPDATE: Time = Duration::from_secs(999);
const OLD_UPDATE: Time = Duration::from_secs(900);

fn record((id, change): (u64, u64), verdicts: &[u64]) -> Record {
    let plan = Plan {
        service: "drafts".into(),
        from: "v1".into(),
        to: "v2".into(),
        scope: super::Scope::default(),
        within_secs: 600,
    };
    let status = Status {
        id,
        change,
        plan,
        started: 0,
        state: if change == 1 {
            State::Running
        } else {
            State::Paused
        },
    };
    Record {
        latest: Some(status),
        settled: Vec::new(),
        verdicts: verdicts.iter().map(|&id| verdict(id)).collect(),
    }
}

fn verdict(id: u64) -> Verdict {
    Verdict {
        id,
        service: "drafts".into(),
        version: "v2".into(),
        evidence: Evidence {
            scope: "all traffic".to_owned(),
            fault: "errors".to_owned(),
            requests: 5,
            faults: 5,
            expected: 0.01,
        },
    }
}

impl Fleet {
    /// Builds the kernel's view of a node.
    fn view(&self, node: &Node) -> View {
        let mut view = View::new();
        view.mutation = self.mutation;
        view.verdicts.drops_verdicts = self.mutation == Some("drops verdicts");
        if let Some(position) = node.record {
            view.merge_record(
                NOW,
                &"drafts".into(),
                record(position, &[]),
                Duration::from_secs(590),
            );
        }
        for &id in &node.verdicts {
            view.verdicts.add(verdict(id));
        }
        match node.fresh {
            Some(true) => view.freshness.record_store_answer(RECENT_UPDATE),
            Some(false) => view.freshness.record_store_answer(OLD_UPDATE),
            None => {}
        }
        view
    }

    /// Stores the view in the comparable form.
    fn store_view(&self, node: &mut Node, view: &View) {
        node.record = view
            .records()
            .next()
            .and_then(|(_, record)| record.latest.as_ref())
            .map(|status| (status.id, status.change));
        node.verdicts = view.verdicts.iter().map(|v| v.id).collect();
    }

    /// Delivers a record and verdicts to a node.
    fn deliver(&self, node: &mut Node, position: Option<(u64, u64)>, verdicts: &[u64]) {
        let mut view = self.view(node);
        if let Some(position) = position {
            view.merge_record(
                NOW,
                &"drafts".into(),
                record(position, verdicts),
                Duration::from_secs(590),
            );
            node.newest_status = node.newest_status.max(position);
        }
        for &id in verdicts {
            view.verdicts.add(verdict(id));
            node.highest_verdict = node.highest_verdict.max(id);
        }
        self.store_view(node, &view);
    }

    fn uses_new_version(&self, node: &Node) -> bool {
        let cell = Cell {
            account: "zrinski".into(),
            route: "/v1/completions".into(),
        };
        let caller = Caller {
            name: "zrinski/shop",
            request: "r",
            callers: 1,
        };
        let query = VersionQuery {
            service: "drafts",
            version: "v1",
            cell: &cell,
            caller_name: "shop",
            caller,
            data_centre: "zg1",
        };
        &*self.view(node).version(NOW, query) == "v2"
    }

    fn new_node(&self) -> Node {
        Node {
            record: None,
            verdicts: Vec::new(),
            fresh: None,
            highest_verdict: 0,
            newest_status: (0, 0),
        }
    }
}

impl Model for Fleet {
    type State = World;

    fn initial(&self) -> World {
        World {
            nodes: vec![self.new_node(); NODES],
            store: (1, 1, Vec::new()),
            store_down: false,
            outages_left: 1,
            restarts_left: 1,
            verdicts_left: 2,
        }
    }

    fn steps(&self, world: &World) -> Vec<(String, World)> {
        let mut steps = Vec::new();
        let mut add = |label: String, change: &dyn Fn(&mut World)| {
            let mut next = world.clone();
            change(&mut next);
            if next != *world {
                steps.push((label, next));
            }
        };
        if world.store_down {
            add("the store recovers".to_owned(), &|w| w.store_down = false);
        } else {
            if world.outages_left > 0 {
                add("the store fails".to_owned(), &|w| {
                    w.store_down = true;
                    w.outages_left -= 1;
                });
            }
            if world.store.0 == 1 {
                add("the operator starts another move".to_owned(), &|w| {
                    w.store.0 = 2;
                    w.store.1 = 1;
                });
            }
            if world.store.1 == 1 {
                add("the operator pauses".to_owned(), &|w| w.store.1 = 2);
            }
        }
        for i in 0..NODES {
            if !world.store_down {
                add(format!("{i}: reads the store"), &|w| {
                    let (id, change, verdicts) = w.store.clone();
                    self.deliver(&mut w.nodes[i], Some((id, change)), &verdicts);
                    w.nodes[i].fresh = Some(true);
                });
                add(format!("{i}: reads an old replica"), &|w| {
                    self.deliver(&mut w.nodes[i], Some((1, 1)), &[]);
                });
                let known = world.nodes[i].verdicts.clone();
                add(format!("{i}: records its verdict"), &|w| {
                    w.store.2.extend(known.iter());
                    w.store.2.sort_unstable();
                    w.store.2.dedup();
                });
            }
            for j in (0..NODES).filter(|&j| j != i) {
                add(format!("{i}: receives from {j}"), &|w| {
                    let from = w.nodes[j].clone();
                    self.deliver(&mut w.nodes[i], from.record, &from.verdicts);
                });
            }
            if world.verdicts_left > 0 {
                if let Some((id, _)) = world.nodes[i].record {
                    add(format!("{i}: finds the version bad"), &|w| {
                        w.verdicts_left -= 1;
                        self.deliver(&mut w.nodes[i], None, &[id]);
                    });
                }
            }
            add(format!("{i}: has no update for the maximum age"), &|w| {
                w.nodes[i].fresh = w.nodes[i].fresh.map(|_| false);
            });
            if world.restarts_left > 0 {
                add(format!("{i}: restarts"), &|w| {
                    w.restarts_left -= 1;
                    w.nodes[i] = self.new_node();
                });
            }
        }
        steps
    }

    fn invariant(&self, world: &World) -> Result<(), &'static str> {
        for node in &world.nodes {
            let takes = self.uses_new_version(node);
            let id = node.record.map_or(0, |(id, _)| id);
            if takes && node.highest_verdict >= id {
                return Err("a version with a verdict receives nothing until a later move");
            }
            if takes && node.fresh != Some(true) {
                return Err("a node without updates returns to the proven version");
            }
            if node.record.unwrap_or((0, 0)) < node.newest_status {
                return Err("a move's status never reverts");
            }
        }
        Ok(())
    }

    fn quiet_step(&self, world: &World) -> Option<World> {
        // Verdicts go to the store and from there to all nodes; then no node uses the bad version.
        let mut next = world.clone();
        next.store_down = false;
        for i in 0..NODES {
            let known = next.nodes[i].verdicts.clone();
            next.store.2.extend(known);
        }
        next.store.2.sort_unstable();
        next.store.2.dedup();
        let (id, change, verdicts) = next.store.clone();
        for i in 0..NODES {
            self.deliver(&mut next.nodes[i], Some((id, change)), &verdicts);
        }
        let bad = verdicts.contains(&id);
        let left = bad && next.nodes.iter().any(|node| self.uses_new_version(node));
        (left || next != *world).then_some(next)
    }
}

/// The maximum number of states that a search may reach.
const MAX_STATES: usize = 300_000;

#[test]
fn bad_version_stays_out_in_every_reachable_state() {
    let report = search(&Fleet { mutation: None }, MAX_STATES);
    println!("moves: {report}, bound {MAX_STATES}");
    assert!(report.violation.is_none(), "{report}");
}

#[test_case::test_case(
    "drops verdicts",
    "a version with a verdict receives nothing until a later move"
)]
#[test_case::test_case("accepts an older status", "a move's status never reverts")]
#[test_case::test_case(
    "ignores staleness",
    "a node without updates returns to the proven version"
)]
fn search_finds_defect(mutation: &'static str, invariant: &str) {
    let model = Fleet {
        mutation: Some(mutation),
    };
    let report = search(&model, MAX_STATES);
    println!("moves, {mutation}: {report}");
    let violation = report.violation.expect("the search finds the defect");
    assert_eq!(violation.invariant, invariant);
}
