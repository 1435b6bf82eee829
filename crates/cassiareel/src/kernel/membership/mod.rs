/*!
Who the nodes of the fleet are, by their own word.

A node sends its word to a few fixed neighbours on a ring of names, and to one peer at random, at
each [`GOSSIP_PERIOD`]. A node whose word stops coming is suspected by those neighbours, and is dead once
two of them say so, or all of them where there are fewer. Deaths, departures and other urgent news
are passed on at once to a few peers; what such a rumour misses, the comparison of digests with a
random peer finds.

A node is named by its name, and by a incarnation that rises with each restart, and when it hears that it
was taken for dead. So a node that was paused comes back as another member, and a VM replaced at the
same address is one from the start.

The digest is of the members' names, lives and content numbers. Where two digests differ, one side
sends its vector of content numbers, in the order of the names that both hold, and gets what it
lacks; the vector leaves the names out where both hold the same members. This is the view and vector
of VectorSync, without its leader: nothing here needs one list that all agree on.
*/

mod machine;
mod member;
mod ring;

#[cfg(test)]
mod model_tests;

pub use machine::{Action, Event, Membership, Message, GOSSIP_PERIOD};
pub use member::{Member, NodeState, Suspicion};
