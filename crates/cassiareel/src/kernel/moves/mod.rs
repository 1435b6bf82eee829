/*!
Moves of traffic from one version of a service to another.

A [`Plan`] names the two versions, the scope of the traffic and the time limit. Each [`Cell`] of the
traffic, the traffic of one client account on one route, has its own [`Ramp`]: a small share until
the new version has handled enough requests there, then larger shares in steps, and all of the
traffic by the time limit, unless a verdict comes first. A version that fails for one account or on
one route therefore receives only a small part of just that traffic.

Nodes count the outcomes of both versions, see [`Tally`]. The counts only increase within a node's
incarnation and are merged by maximum, so that they can be exchanged between peers without a store
and in any order. A [`Judge`] compares the two versions on the merged counts. A verdict is never
withdrawn: nodes only pass it on, and only a later move started by an operator overrides it, see
[`Verdicts`].

A node that has received updates neither from the store nor from enough peers can't know of a
verdict, and returns to the proven version by itself, see [`Freshness`].
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
