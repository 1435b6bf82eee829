//! Two nodes and a network that loses messages and holds them back, while either pauses.
//!
//! A pause needs no step of its own: time may pass while a node takes no step.

use std::time::Duration;

use super::{Action, Event, Member, Membership, Message, NodeState};
use crate::kernel::{
    check::{search, Model},
    NodeId,
};

/// A step of time: two of them are longer than the silence after which a node is suspected, and one
/// is not, as a node that sleeps longer takes itself for the one that was paused.
const STEP: Duration = Duration::from_millis(700);

/// Steps of time.
const STEPS: u32 = 2;

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct World {
    now: u32,
    nodes: [Membership; 2],
    /// A message held back, with its receiver.
    held: Option<(usize, Message)>,
    /// The highest incarnation that each node has taken for dead, of the other.
    buried: [u64; 2],
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

    /// Gives a node an event; its messages are delivered, or the first of them is held back.
    fn give(&mut self, i: usize, event: Event, deliver: bool) -> Option<Message> {
        let actions = self.nodes[i].step(self.time(), event);
        let mut answer = None;
        for action in actions {
            match action {
                Action::Send { message, .. } if deliver => {
                    let heard = Event::Received {
                        message: Box::new(message),
                        answer: true,
                    };
                    if let Some(message) = self.give(1 - i, heard, false) {
                        let heard = Event::Received {
                            message: Box::new(message),
                            answer: false,
                        };
                        self.give(i, heard, false);
                    }
                }
                Action::Send { message, .. } => self.held = Some((1 - i, message)),
                Action::Answer { message } => answer = Some(message),
                Action::MembersChanged => {}
            }
        }
        self.observe(i);
        answer
    }

    /// Notes whom a node holds for dead, and whether one of them is back in the same incarnation.
    fn observe(&mut self, i: usize) {
        let ended = self.nodes[i].ended_incarnation(&name(1 - i)).unwrap_or(0);
        self.buried[i] = self.buried[i].max(ended);
        let back = self.nodes[i]
            .others()
            .any(|m| m.incarnation <= self.buried[i]);
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
            held: None,
            buried: [0; 2],
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
        if world.now < STEPS {
            add("time passes".to_owned(), &|w| w.now += 1);
        }
        for (i, node) in ["a", "b"].iter().enumerate() {
            add(format!("{node}: its words arrive"), &|w| {
                w.give(i, Event::Tick { random: 1 }, true);
            });
            add(format!("{node}: its words are lost or late"), &|w| {
                w.give(i, Event::Tick { random: 1 }, false);
            });
        }
        if let Some((to, message)) = &world.held {
            let message = Box::new(message.clone());
            let answer = true;
            add("the late message arrives".to_owned(), &|w| {
                let message = message.clone();
                w.held = None;
                w.give(*to, Event::Received { message, answer }, false);
            });
        }
        steps
    }

    fn invariant(&self, world: &World) -> Result<(), &'static str> {
        if world.returned {
            return Err("a incarnation taken for dead does not return");
        }
        Ok(())
    }

    fn quiet_step(&self, world: &World) -> Option<World> {
        let mut next = world.clone();
        next.held = None;
        for _ in 0..12 {
            for i in [0, 1] {
                next.give(i, Event::Tick { random: 1 }, true);
            }
        }
        next.held = None;
        let met = next.nodes.iter().all(|node| node.others().count() == 1);
        (!met).then_some(next)
    }
}

/// The most states that a search may reach.
const STATES: usize = 50_000;

#[test]
fn members_are_right_in_every_reachable_state() {
    let report = search(&Pair { mutation: None }, STATES);
    println!("membership: {report}, bound {STATES}");
    assert!(report.violation.is_none(), "{report}");
}

#[test_case::test_case("dead lives return", "a incarnation taken for dead does not return")]
#[test_case::test_case("keeps its incarnation", "a quiet environment leads to an end")]
fn search_catches(mutation: &'static str, invariant: &str) {
    let model = Pair {
        mutation: Some(mutation),
    };
    let report = search(&model, STATES);
    println!("membership, {mutation}: {report}");
    let violation = report.violation.expect("the broken variant is caught");
    assert_eq!(violation.invariant, invariant);
}
