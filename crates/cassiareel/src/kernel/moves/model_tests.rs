//! Two nodes, the store's record and a bad version.
//!
//! A judge may speak at any node once; verdicts and records pass between any two nodes or the
//! store, in any order, late and repeatedly; nodes restart, the store goes away, and the operator
//! may start one more move.

use std::time::Duration;

use super::{Caller, Cell, Evidence, Plan, Record, State, Status, Verdict, VersionQuery, View};
use crate::kernel::{
    check::{search, Model},
    Time,
};

const NODES: usize = 2;

/// A node's view, in a form that can be compared.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Node {
    record: Option<(u64, u64)>,
    verdicts: Vec<u64>,
    /// Whether the last news is within the bound; none before the first news.
    fresh: Option<bool>,
    /// What the environment knows: the highest move with a verdict that this life has seen.
    knew: u64,
    /// The newest status that this life has seen.
    newest: (u64, u64),
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct World {
    nodes: Vec<Node>,
    /// The store's move, change and verdicts.
    store: (u64, u64, Vec<u64>),
    away: bool,
    outages: u8,
    restarts: u8,
    judgements: u8,
}

struct Fleet {
    mutation: Option<&'static str>,
}

/// The time at which nodes are asked; news within the bound was at [`NEWS`].
const NOW: Time = Duration::from_secs(1000);
const NEWS: Time = Duration::from_secs(999);
const OLD_NEWS: Time = Duration::from_secs(900);

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
    /// The real view of a node.
    fn view(&self, node: &Node) -> View {
        let mut view = View::new();
        view.mutation = self.mutation;
        view.verdicts.forgets = self.mutation == Some("forgets verdicts");
        if let Some(order) = node.record {
            view.merge_record(
                NOW,
                &"drafts".into(),
                record(order, &[]),
                Duration::from_secs(590),
            );
        }
        for &id in &node.verdicts {
            view.verdicts.add(verdict(id));
        }
        match node.fresh {
            Some(true) => view.freshness.record_store_answer(NEWS),
            Some(false) => view.freshness.record_store_answer(OLD_NEWS),
            None => {}
        }
        view
    }

    /// Takes the view back into the comparable form.
    fn keep(&self, node: &mut Node, view: &View) {
        node.record = view
            .records()
            .next()
            .and_then(|(_, record)| record.latest.as_ref())
            .map(|status| (status.id, status.change));
        node.verdicts = view.verdicts.iter().map(|v| v.id).collect();
    }

    /// Gives a node a record and verdicts.
    fn give(&self, node: &mut Node, order: Option<(u64, u64)>, verdicts: &[u64]) {
        let mut view = self.view(node);
        if let Some(order) = order {
            view.merge_record(
                NOW,
                &"drafts".into(),
                record(order, verdicts),
                Duration::from_secs(590),
            );
            node.newest = node.newest.max(order);
        }
        for &id in verdicts {
            view.verdicts.add(verdict(id));
            node.knew = node.knew.max(id);
        }
        self.keep(node, &view);
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
        let question = VersionQuery {
            service: "drafts",
            version: "v1",
            cell: &cell,
            caller_name: "shop",
            caller,
            data_centre: "zg1",
        };
        &*self.view(node).version(NOW, question) == "v2"
    }

    fn fresh(&self) -> Node {
        Node {
            record: None,
            verdicts: Vec::new(),
            fresh: None,
            knew: 0,
            newest: (0, 0),
        }
    }
}

impl Model for Fleet {
    type State = World;

    fn initial(&self) -> World {
        World {
            nodes: vec![self.fresh(); NODES],
            store: (1, 1, Vec::new()),
            away: false,
            outages: 1,
            restarts: 1,
            judgements: 2,
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
        if world.away {
            add("the store comes back".to_owned(), &|w| w.away = false);
        } else {
            if world.outages > 0 {
                add("the store goes away".to_owned(), &|w| {
                    w.away = true;
                    w.outages -= 1;
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
            if !world.away {
                add(format!("{i}: reads the store"), &|w| {
                    let (id, change, verdicts) = w.store.clone();
                    self.give(&mut w.nodes[i], Some((id, change)), &verdicts);
                    w.nodes[i].fresh = Some(true);
                });
                add(format!("{i}: reads an old replica"), &|w| {
                    self.give(&mut w.nodes[i], Some((1, 1)), &[]);
                });
                let known = world.nodes[i].verdicts.clone();
                add(format!("{i}: records its verdict"), &|w| {
                    w.store.2.extend(known.iter());
                    w.store.2.sort_unstable();
                    w.store.2.dedup();
                });
            }
            for j in (0..NODES).filter(|&j| j != i) {
                add(format!("{i}: hears {j}"), &|w| {
                    let from = w.nodes[j].clone();
                    self.give(&mut w.nodes[i], from.record, &from.verdicts);
                });
            }
            if world.judgements > 0 {
                if let Some((id, _)) = world.nodes[i].record {
                    add(format!("{i}: shows the version bad"), &|w| {
                        w.judgements -= 1;
                        self.give(&mut w.nodes[i], None, &[id]);
                    });
                }
            }
            add(format!("{i}: has no news for the bound"), &|w| {
                w.nodes[i].fresh = w.nodes[i].fresh.map(|_| false);
            });
            if world.restarts > 0 {
                add(format!("{i}: restarts"), &|w| {
                    w.restarts -= 1;
                    w.nodes[i] = self.fresh();
                });
            }
        }
        steps
    }

    fn invariant(&self, world: &World) -> Result<(), &'static str> {
        for node in &world.nodes {
            let takes = self.uses_new_version(node);
            let id = node.record.map_or(0, |(id, _)| id);
            if takes && node.knew >= id {
                return Err("a version shown bad gets nothing until another move");
            }
            if takes && node.fresh != Some(true) {
                return Err("a node without news goes back to the proven version");
            }
            if node.record.unwrap_or((0, 0)) < node.newest {
                return Err("a move's status never reverts");
            }
        }
        Ok(())
    }

    fn quiet_step(&self, world: &World) -> Option<World> {
        // Verdicts go to the store and from there to everyone: then nobody takes the bad version.
        let mut next = world.clone();
        next.away = false;
        for i in 0..NODES {
            let known = next.nodes[i].verdicts.clone();
            next.store.2.extend(known);
        }
        next.store.2.sort_unstable();
        next.store.2.dedup();
        let (id, change, verdicts) = next.store.clone();
        for i in 0..NODES {
            self.give(&mut next.nodes[i], Some((id, change)), &verdicts);
        }
        let bad = verdicts.contains(&id);
        let left = bad && next.nodes.iter().any(|node| self.uses_new_version(node));
        (left || next != *world).then_some(next)
    }
}

/// The most states that a search may reach.
const STATES: usize = 300_000;

#[test]
fn bad_version_stays_out_in_every_reachable_state() {
    let report = search(&Fleet { mutation: None }, STATES);
    println!("moves: {report}, bound {STATES}");
    assert!(report.violation.is_none(), "{report}");
}

#[test_case::test_case(
    "forgets verdicts",
    "a version shown bad gets nothing until another move"
)]
#[test_case::test_case("takes an older status", "a move's status never reverts")]
#[test_case::test_case("needs no news", "a node without news goes back to the proven version")]
fn search_catches(mutation: &'static str, invariant: &str) {
    let model = Fleet {
        mutation: Some(mutation),
    };
    let report = search(&model, STATES);
    println!("moves, {mutation}: {report}");
    let violation = report.violation.expect("the broken variant is caught");
    assert_eq!(violation.invariant, invariant);
}
