/*!
A node's table of backend servers.

For each version in the settings, [`BackendTable`] holds the servers that the node uses, with an
estimate of the load, memory, cache and health of each. The table is replaced as a whole when the
settings or the membership change (read-copy-update), and all state that changes with each request
is atomic, so that a choice takes no lock.

A choice returns a [`Reservation`], which holds the request's part of the server's memory until it
is dropped, and a [`Decision`], which records for the log why the server was chosen.
*/

mod admission_queue;
#[cfg(test)]
mod admission_queue_tests;
mod backend_server;
mod choose;
mod decision;
mod feed;
#[cfg(test)]
mod feed_tests;
mod health;
mod limits;
mod poll;
mod pool;
mod reservation;
mod table;
#[cfg(test)]
mod table_tests;

pub use admission_queue::{AdmissionQueue, Assignment, QueuedRequest};
pub use backend_server::BackendServer;
pub use choose::Request;
pub use decision::{Decision, Reason, ScoredCandidate};
pub use feed::{CacheFeed, Fetch};
pub use health::{HealthChange, RouteId};
pub use limits::RequestLimits;
pub use poll::{
    cache_answer_bytes, poll, EngineConnector, CACHE_ANSWER_BYTES, CACHE_BYTE_RATE, REPORT_BYTES,
    REPORT_BYTE_RATE,
};
pub use pool::PoolId;
pub use reservation::Reservation;
pub use table::{BackendTable, Options, Placement, SubsetConfig};
