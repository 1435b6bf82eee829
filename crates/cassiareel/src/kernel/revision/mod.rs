/*!
The revision of the settings in force on a node.

The revision only increases. It is offered by the store, by peers and by the operator's own push
after an accepted edit, in any order and any number of times. An offer that is not higher than the
revision in force is ignored, whatever its source: it may come from a replica of the store that lags
behind, from a delayed watch or from a peer that was unreachable.

A new node has no settings and could therefore start with an old revision. It queries the store and
its peers and applies the highest revision, as soon as the store and a peer have answered, or as soon
as the silent one of them has had [`START_TIMEOUT`]. If none answers, the node waits and reports the
reason.

A node announces each revision that it applies; peers that lack it fetch it from a node that
announced it.
*/

mod machine;

#[cfg(test)]
mod machine_tests;
#[cfg(test)]
mod model_tests;

pub use machine::{Action, ActiveRevision, Event, Source, WaitReason, START_TIMEOUT};
