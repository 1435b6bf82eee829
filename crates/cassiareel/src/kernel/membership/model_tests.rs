//! A model of two nodes that may pause, with a network that loses and delays messages.
//!
//! A pause needs no step of its own: time may pass while a node takes no step.

use std::time::Duration;

use super::{Action, Event, Member, Membership, Message, NodeState};
use crate::kernel::{
    check::{search, Model},
    NodeId,
};

/// A step of time. Two steps are longer than the silence after which a node is suspected. One step
/// is shorter: a node whose ticks are further apart than that silence assumes that it was itself
/// paused.
const STEP: Duration = Duration::from_millis(700);

/// The maximum number of steps of time.
const MAX_STEPS: u32 = 2;

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct World {
    now: u32,
    nodes: [Membership; 2],
    /// A delayed message with its receiver.
    delayed: Option<(usize, Message)>,
    /// The highest incarnation of the other node that each node declared dead.
    highest_dead: [u64; 2],
    returned: bool,
}

struct Pair {
    mutation: Option<&'static str>,
}

fn member(i: usize) -> Member {
    Member {
        name: name(i),
        incarnation: 1,
        addr: ([127, 0, 0, 1], 7000 + i as u16).into(),
        data_centre: "d".into(),
        content_version: 0,
        state: NodeState::Live,
        revision: 0,
    }
}

fn name(i: usize) -> NodeId {
    ["a", "b"][i].into()
}

impl World {
    fn time(&self) -> Duration {
        STEP * self.now
    }

    /// Delivers an event to a node. Its messages are delivered if `deliver` is set; otherwise one
    /// of them is delayed.
    fn step_node(&mut self, i: usize, event: Event, deliver: bool) -> Option<Message> {
        let actions = self.nodes[i].step(self.time(), event);
        let mut answer = None;
        for action in actions {
            match action {
                Action::Send { message, .. } if deliver => {
                    let received = Event::Received {
                        message: Box::new(message),
                        answer: true,
                    };
                    if let Some(message) = self.step_node(1 - i, received, false) {
                        let received = Event::Received {
                            message: Box::new(message),
                            answer: false,
                        };
                        self.step_node(i, received, false);
                    }
                }
                Action::Send { message, .. } => self.delayed = Some((1 - i, message)),
                Action::Answer { message } => answer = Some(message),
                Action::MembersChanged => {}
            }
        }
        self.observe(i);
        answer
    }

    /// Records the dead incarnations that a node knows, and whether one of them is back.
    fn observe(&mut self, i: usize) {
        let ended = self.nodes[i].dead_incarnation(&name(1 - i)).unwrap_or(0);
        self.highest_dead[i] = self.highest_dead[i].max(ended);
        let back = self.nodes[i]
            .others()
            .any(|m| m.incarnation <= self.highest_dead[i]);
        self.returned |= back;
    }
}

impl Model for Pair {
    type State = World;

    fn initial(&self) -> World {
        let nodes = [0, 1].map(|i| {
            let mut node = Membership::new(member(i));
            node.mutation = self.mutation;
            node.step(
                Duration::ZERO,
                Event::Listed {
                    addrs: vec![member(1 - i).addr],
                },
            );
            node
        });
        World {
            now: 0,
            nodes,
            delayed: None,
            highest_dead: [0; 2],
            returned: false,
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
        if world.now < MAX_STEPS {
            add("time passes".to_owned(), &|w| w.now += 1);
        }
        for (i, node) in ["a", "b"].iter().enumerate() {
            add(format!("{node}: its messages arrive"), &|w| {
                w.step_node(i, Event::Tick { random: 1 }, true);
            });
            add(format!("{node}: its messages are lost or late"), &|w| {
                w.step_node(i, Event::Tick { random: 1 }, false);
            });
        }
        if let Some((to, message)) = &world.delayed {
            let message = Box::new(message.clone());
            let answer = true;
            add("the late message arrives".to_owned(), &|w| {
                let message = message.clone();
                w.delayed = None;
                w.step_node(*to, Event::Received { message, answer }, false);
            });
        }
        steps
    }

    fn invariant(&self, world: &World) -> Result<(), &'static str> {
        if world.returned {
            return Err("a dead incarnation does not return");
        }
        Ok(())
    }

    fn quiet_step(&self, world: &World) -> Option<World> {
        let mut next = world.clone();
        next.delayed = None;
        for _ in 0..12 {
            for i in [0, 1] {
                next.step_node(i, Event::Tick { random: 1 }, true);
            }
        }
        next.delayed = None;
        let complete = next.nodes.iter().all(|node| node.others().count() == 1);
        (!complete).then_some(next)
    }
}

/// The maximum number of states that a search may reach.
const MAX_STATES: usize = 50_000;

#[test]
fn dead_members_stay_out_in_every_reachable_state() {
    let report = search(&Pair { mutation: None }, MAX_STATES);
    println!("membership: {report}, bound {MAX_STATES}");
    assert!(report.violation.is_none(), "{report}");
}

#[test_case::test_case("dead incarnations return", "a dead incarnation does not return")]
#[test_case::test_case("keeps its incarnation", "a quiet environment leads to an end")]
fn search_finds_defect(mutation: &'static str, invariant: &str) {
    let model = Pair {
        mutation: Some(mutation),
    };
    let report = search(&model, MAX_STATES);
    println!("membership, {mutation}: {report}");
    let violation = report.violation.expect("the search finds the defect");
    assert_eq!(violation.invariant, invariant);
}
