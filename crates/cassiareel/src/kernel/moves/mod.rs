/*!
Moves of traffic from one version of a service to another.

A [`Plan`] says from where to where, in which scope and by when. Each [`Cell`] of the traffic, a
route of a client account, has a [`Ramp`] of its own: a small share until the new version has shown
itself there, then more in steps, and in any case all of it by the time asked, unless a verdict comes
first. So a version that is bad for one account or on one route only meets little of just that
traffic.

Nodes count the outcomes of both versions, see [`Tally`]. The counts only grow within a node's life
and merge by maximum, so that they spread between peers without a store and in any order. A
[`Judge`] compares the two versions on the merged counts. A verdict is a fact that only spreads: no
node takes it back, and only another move started by an operator goes past it, see [`Verdicts`].

A node that has heard neither from the store nor from enough peers can't know of a verdict, and goes
back to the proven version by itself, see [`Freshness`].
*/

mod affinity;
mod counts;
mod freshness;
mod judge;
mod plan;
mod ramp;
mod sequential;
mod verdict;
mod view;

#[cfg(test)]
mod model_tests;
#[cfg(test)]
mod moves_tests;

pub use affinity::{uses_new_version, Caller};
pub use counts::{Cell, Counts, Key, Outcome, Tally};
pub use freshness::Freshness;
pub use judge::{build_judge, Comparison, Evidence, Judge, JudgeConfig};
pub use plan::{Plan, PlanError, Resources, Scope};
pub use ramp::{Ramp, Ramps, CANARY_SHARE};
pub use verdict::{MoveId, Verdict, Verdicts};
pub use view::{Record, SettledScope, State, Status, VersionQuery, View};
