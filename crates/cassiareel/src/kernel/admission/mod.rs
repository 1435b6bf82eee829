/*!
Who may run now, who waits, and who is refused.

- [`MemoryBudget`] keeps the tokens that a node's requests hold of an engine's memory and may still hold.
- [`Limiter`] keeps the limits of client accounts and callers, in requests and tokens; a [`Bucket`]
  is one limit in a time, and a [`InFlight`] one at a time.
- [`fleet_share`] is a node's part of a limit that holds for the fleet.
- [`FairQueue`] holds what waits, fair between client accounts and between the callers of each.
- [`Throttle`] turns away what a service can't serve, where many nodes share its backend servers.

A request is refused before it runs or not at all: everything here happens before the first byte
goes to a backend server.
*/

mod account;
mod bucket;
#[cfg(test)]
mod bucket_tests;
mod drain;
mod in_flight;
mod job;
mod limiter;
#[cfg(test)]
mod limiter_tests;
mod memory_budget;
#[cfg(test)]
mod memory_budget_tests;
mod queue;
#[cfg(test)]
mod queue_tests;
mod schedule;
mod share;
#[cfg(test)]
mod share_tests;
mod throttle;
#[cfg(test)]
mod throttle_tests;

pub use bucket::{Bucket, Rate};
pub use in_flight::InFlight;
pub use job::{Job, Refusal, Refused, Requester};
pub use limiter::{Exceeded, LimitKind, LimitScope, Limiter, Limits, Permit};
pub use memory_budget::{memory_share, MemoryBudget};
pub use queue::{FairQueue, QueueLimits};
pub use share::fleet_share;
pub use throttle::{Throttle, Throttled};
