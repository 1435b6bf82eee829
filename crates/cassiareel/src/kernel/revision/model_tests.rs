//! Two nodes, a store with a replica that is behind, and operators' edits.
//!
//! Announcements and fetches are lost, repeated and delayed: each is a step that may be taken at
//! any time and any number of times. The store goes away and comes back, and nodes are replaced.

use std::time::Duration;

use super::{Action, ActiveRevision, Event, Source, START_TIMEOUT};
use crate::kernel::{
    check::{search, Model},
    Revision,
};

const NODES: usize = 2;
const LAST: Revision = 3;

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct World {
    accepted: Revision,
    replica: Revision,
    away: bool,
    nodes: Vec<ActiveRevision>,
    highest: Vec<Revision>,
    told: Vec<Revision>,
    replacements: u8,
    outages: u8,
    fell: bool,
    older_start: bool,
}

struct Fleet {
    mutation: Option<&'static str>,
}

fn peer(i: usize) -> Source {
    Source::Peer(["a", "b"][i].into())
}

impl Fleet {
    fn fresh(&self) -> ActiveRevision {
        let mut node = ActiveRevision::new();
        node.mutation = self.mutation;
        node
    }
}

impl World {
    /// Gives an event to a node and notes what it put in force.
    fn give(&mut self, i: usize, now: Duration, event: Event) {
        let before = self.nodes[i].revision();
        if let Event::Announced { source, revision } | Event::Fetched { source, revision } = &event
        {
            if *source != Source::Store && before == 0 {
                self.told[i] = self.told[i].max(*revision);
            }
        }
        for action in self.nodes[i].step(now, event) {
            if let Action::Apply { revision } = action {
                self.fell |= revision < self.highest[i];
                self.highest[i] = self.highest[i].max(revision);
                let unheard = self.told[i] == 0 || revision < self.told[i];
                self.older_start |= before == 0 && now < START_TIMEOUT && unheard;
                self.told[i] = 0;
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
            away: false,
            nodes: vec![self.fresh(); NODES],
            highest: vec![0; NODES],
            told: vec![0; NODES],
            replacements: 2,
            outages: 2,
            fell: false,
            older_start: false,
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
        if world.accepted < LAST && !world.away {
            add("an edit is accepted".to_owned(), &|w| w.accepted += 1);
        }
        if world.replica < world.accepted {
            add("the replica catches up".to_owned(), &|w| w.replica += 1);
        }
        if world.away {
            add("the store comes back".to_owned(), &|w| w.away = false);
        } else if world.outages > 0 {
            add("the store goes away".to_owned(), &|w| {
                w.away = true;
                w.outages -= 1;
            });
        }
        for i in 0..NODES {
            if !world.away {
                for revision in [world.accepted, world.replica] {
                    add(format!("{i}: fetches {revision} from the store"), &|w| {
                        let source = Source::Store;
                        w.give(i, Duration::ZERO, Event::Fetched { source, revision });
                    });
                }
            }
            for j in (0..NODES).filter(|&j| j != i) {
                let revision = world.nodes[j].revision();
                add(format!("{i}: hears {revision} from {j}"), &|w| {
                    let source = peer(j);
                    w.give(i, Duration::ZERO, Event::Announced { source, revision });
                });
                if revision > 0 {
                    add(format!("{i}: fetches {revision} from {j}"), &|w| {
                        let source = peer(j);
                        w.give(i, Duration::ZERO, Event::Fetched { source, revision });
                    });
                }
                add(format!("{i}: its fetch from {j} fails"), &|w| {
                    w.give(i, Duration::ZERO, Event::FetchFailed { source: peer(j) });
                });
            }
            add(format!("{i}: waited long"), &|w| {
                w.give(i, START_TIMEOUT, Event::Tick);
            });
            if world.replacements > 0 {
                add(format!("{i}: is replaced"), &|w| {
                    w.replacements -= 1;
                    w.nodes[i] = self.fresh();
                    w.highest[i] = 0;
                    w.told[i] = 0;
                });
            }
        }
        steps
    }

    fn invariant(&self, world: &World) -> Result<(), &'static str> {
        if world.fell {
            return Err("a revision in force never falls");
        }
        if world.older_start {
            return Err("a fresh node asks its peers before it starts");
        }
        if world.nodes.iter().any(|n| n.revision() > world.accepted) {
            return Err("only accepted revisions are in force");
        }
        Ok(())
    }

    fn quiet_step(&self, world: &World) -> Option<World> {
        let mut next = world.clone();
        next.away = false;
        next.replica = next.accepted;
        for i in 0..NODES {
            let (source, revision) = (Source::Store, next.accepted);
            next.give(i, START_TIMEOUT, Event::Fetched { source, revision });
            next.give(i, START_TIMEOUT + START_TIMEOUT, Event::Tick);
        }
        (next.nodes.iter().any(|n| n.revision() != next.accepted) || next != *world).then_some(next)
    }
}

/// The most states that a search may reach.
const STATES: usize = 300_000;

#[test]
fn settings_never_revert_in_any_reachable_state() {
    let report = search(&Fleet { mutation: None }, STATES);
    println!("settings in force: {report}, bound {STATES}");
    assert!(report.violation.is_none(), "{report}");
}

#[test_case::test_case("takes what comes", "a revision in force never falls")]
#[test_case::test_case(
    "starts on the first answer",
    "a fresh node asks its peers before it starts"
)]
fn search_catches(mutation: &'static str, invariant: &str) {
    let model = Fleet {
        mutation: Some(mutation),
    };
    let report = search(&model, STATES);
    println!("settings in force, {mutation}: {report}");
    let violation = report.violation.expect("the broken variant is caught");
    assert_eq!(violation.invariant, invariant);
}
