/*!
The membership of the fleet, which nodes learn from each other by gossip.

At each [`GOSSIP_PERIOD`] a node sends its own state to a few fixed neighbours on a ring of names,
and to one random peer. If a node's messages stop, these neighbours suspect it, and it counts as
dead once two of them suspect it, or all of them if there are fewer. Deaths, departures and other
urgent updates are sent at once to a few peers; a node that misses such an update gets it when it
compares digests with a random peer.

A node is identified by its name and its incarnation. The incarnation increases with each restart,
and when the node learns that it was declared dead. A node that was paused therefore returns as a
different member, and a replacement VM at the same address is a different member from the start.

The digest covers the members' names, incarnations and content versions. If two digests differ, one
side sends its vector of content versions, in the order of the names that both know, and receives
what it lacks; the vector omits the names if both sides know the same members. This is the view and
vector of VectorSync without its leader, since no single list that all nodes agree on is needed.
*/

mod machine;
mod member;
mod ring;

#[cfg(test)]
mod model_tests;

pub use machine::{Action, Event, Membership, Message, GOSSIP_PERIOD};
pub use member::{Member, NodeState, Suspicion};
