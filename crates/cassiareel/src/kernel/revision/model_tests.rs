//! A model of two nodes, a store with a replica that lags behind, and operators' edits.
//!
//! Announcements and fetches are lost, repeated and delayed: each is a step that may be taken at
//! any time and any number of times. The store fails and recovers, and nodes are replaced.

use std::time::Duration;

use super::{Action, ActiveRevision, Event, Source, START_TIMEOUT};
use crate::kernel::{
    check::{search, Model},
    Revision,
};

const NODES: usize = 2;
const MAX_REVISION: Revision = 3;

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct World {
    accepted: Revision,
    replica: Revision,
    store_down: bool,
    nodes: Vec<ActiveRevision>,
    highest: Vec<Revision>,
    highest_announced: Vec<Revision>,
    replacements_left: u8,
    outages_left: u8,
    revision_fell: bool,
    started_early: bool,
}

struct Fleet {
    mutation: Option<&'static str>,
}

fn peer(i: usize) -> Source {
    Source::Peer(["a", "b"][i].into())
}

impl Fleet {
    fn new_node(&self) -> ActiveRevision {
        let mut node = ActiveRevision::new();
        node.mutation = self.mutation;
        node
    }
}

impl World {
    /// Delivers an event to a node and checks the revisions that it applies.
    fn step_node(&mut self, i: usize, now: Duration, event: Event) {
        let before = self.nodes[i].revision();
        if let Event::Announced { source, revision } | Event::Fetched { source, revision } = &event
        {
            if *source != Source::Store && before == 0 {
                self.highest_announced[i] = self.highest_announced[i].max(*revision);
            }
        }
        for action in self.nodes[i].step(now, event) {
            if let Action::Apply { revision } = action {
                self.revision_fell |= revision < self.highest[i];
                self.highest[i] = self.highest[i].max(revision);
                let missed_announcement =
                    self.highest_announced[i] == 0 || revision < self.highest_announced[i];
                self.started_early |= before == 0 && now < START_TIMEOUT && missed_announcement;
                self.highest_announced[i] = 0;
            }
        }
    }
}

impl Model for Fleet {
    type State = World;

    fn initial(&self) -> World {
        World {
            accepted: 1,
            replica: 1,
            store_down: false,
            nodes: vec![self.new_node(); NODES],
            highest: vec![0; NODES],
            highest_announced: vec![0; NODES],
            replacements_left: 2,
            outages_left: 2,
            revision_fell: false,
            started_early: false,
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
        if world.accepted < MAX_REVISION && !world.store_down {
            add("an edit is accepted".to_owned(), &|w| w.accepted += 1);
        }
        if world.replica < world.accepted {
            add("the replica catches up".to_owned(), &|w| w.replica += 1);
        }
        if world.store_down {
            add("the store recovers".to_owned(), &|w| w.store_down = false);
        } else if world.outages_left > 0 {
            add("the store fails".to_owned(), &|w| {
                w.store_down = true;
                w.outages_left -= 1;
            });
        }
        for i in 0..NODES {
            if !world.store_down {
                for revision in [world.accepted, world.replica] {
                    add(format!("{i}: fetches {revision} from the store"), &|w| {
                        let source = Source::Store;
                        w.step_node(i, Duration::ZERO, Event::Fetched { source, revision });
                    });
                }
            }
            for j in (0..NODES).filter(|&j| j != i) {
                let revision = world.nodes[j].revision();
                add(format!("{i}: receives {revision} from {j}"), &|w| {
                    let source = peer(j);
                    w.step_node(i, Duration::ZERO, Event::Announced { source, revision });
                });
                if revision > 0 {
                    add(format!("{i}: fetches {revision} from {j}"), &|w| {
                        let source = peer(j);
                        w.step_node(i, Duration::ZERO, Event::Fetched { source, revision });
                    });
                }
                add(format!("{i}: its fetch from {j} fails"), &|w| {
                    w.step_node(i, Duration::ZERO, Event::FetchFailed { source: peer(j) });
                });
            }
            add(format!("{i}: start timeout passes"), &|w| {
                w.step_node(i, START_TIMEOUT, Event::Tick);
            });
            if world.replacements_left > 0 {
                add(format!("{i}: is replaced"), &|w| {
                    w.replacements_left -= 1;
                    w.nodes[i] = self.new_node();
                    w.highest[i] = 0;
                    w.highest_announced[i] = 0;
                });
            }
        }
        steps
    }

    fn invariant(&self, world: &World) -> Result<(), &'static str> {
        if world.revision_fell {
            return Err("the revision in force never decreases");
        }
        if world.started_early {
            return Err("a new node queries its peers before it starts");
        }
        if world.nodes.iter().any(|n| n.revision() > world.accepted) {
            return Err("only accepted revisions are in force");
        }
        Ok(())
    }

    fn quiet_step(&self, world: &World) -> Option<World> {
        let mut next = world.clone();
        next.store_down = false;
        next.replica = next.accepted;
        for i in 0..NODES {
            let (source, revision) = (Source::Store, next.accepted);
            next.step_node(i, START_TIMEOUT, Event::Fetched { source, revision });
            next.step_node(i, START_TIMEOUT + START_TIMEOUT, Event::Tick);
        }
        (next.nodes.iter().any(|n| n.revision() != next.accepted) || next != *world).then_some(next)
    }
}

/// The maximum number of states that a search may reach.
const MAX_STATES: usize = 300_000;

#[test]
fn settings_never_revert_in_any_reachable_state() {
    let report = search(&Fleet { mutation: None }, MAX_STATES);
    println!("settings in force: {report}, bound {MAX_STATES}");
    assert!(report.violation.is_none(), "{report}");
}

#[test_case::test_case("accepts any revision", "the revision in force never decreases")]
#[test_case::test_case(
    "starts with the first answer",
    "a new node queries its peers before it starts"
)]
fn search_finds_defect(mutation: &'static str, invariant: &str) {
    let model = Fleet {
        mutation: Some(mutation),
    };
    let report = search(&model, MAX_STATES);
    println!("settings in force, {mutation}: {report}");
    let violation = report.violation.expect("the search finds the defect");
    assert_eq!(violation.invariant, invariant);
}
