/*!
The decision logic, as pure state machines.

Nothing here owns a socket, a clock, a thread or a source of randomness. The input is events and a
[`Time`]; the output is actions. The daemon, the tests, the model checks and the benchmarks all run
this same code.
*/

pub mod admission;
#[cfg(any(test, feature = "check"))]
pub mod check;
#[cfg(test)]
mod check_tests;
pub mod generation;
pub mod health;
mod ids;
pub mod lease;
pub mod membership;
pub mod moves;
mod numbers;
pub mod order;
pub mod quota;
pub mod revision;
pub mod routing;
pub mod suspect;
pub mod ticket;
#[cfg(test)]
mod ticket_tests;

pub use ids::{
    AccountId, Attempt, BackendId, CallerId, DataCentreId, Fence, Incarnation, NodeId, Position,
    RequestId, Revision, ServiceId, Time, TokenId, VersionId,
};
pub use numbers::{next_number, number_era};
