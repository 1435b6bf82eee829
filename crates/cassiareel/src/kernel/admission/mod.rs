/*!
Admission control: which requests run now, which wait in a queue, and which are refused.

- [`MemoryBudget`] bounds the engine memory, in tokens, that a node's requests may reserve.
- [`Limiter`] enforces the limits of client accounts and callers, in requests and tokens. A
  [`Bucket`] is a single rate limit and an [`InFlight`] a single concurrency limit.
- [`fleet_share`] computes a node's part of a limit that applies to the whole fleet.
- [`FairQueue`] holds waiting requests and is fair between client accounts and between the callers
  of each account.
- [`Throttle`] rejects the requests that a service can't serve where many nodes share its backend
  servers.

A request is either refused before it runs or not at all: all of these checks happen before the
first byte is sent to a backend server.
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
