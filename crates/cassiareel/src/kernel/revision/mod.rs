/*!
Which revision of the settings is in force on a node.

The revision only rises. It is offered by the store, by peers and by the operator's own push after
an accepted edit, in any order and any number of times; an offer that is not higher than the one in
force is ignored, whoever makes it: a replica of the store that is behind, a watch that was delayed,
a peer that was away.

A fresh node holds nothing and so could start on an old revision. It asks the store and its peers
and takes the highest answer, once it has heard from the store and from a peer, or once the one that
is silent has had [`START_TIMEOUT`]. Where nobody answers it waits and says why.

A node that enforced a revision announces it; peers that lack it fetch it from whoever announced it.
*/

mod machine;

#[cfg(test)]
mod machine_tests;
#[cfg(test)]
mod model_tests;

pub use machine::{Action, ActiveRevision, Event, Source, WaitReason, START_TIMEOUT};
