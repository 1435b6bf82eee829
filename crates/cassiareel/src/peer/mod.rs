/*!
Messages between nodes: HTTP with rmp-serde.

Each exchange is one POST whose body and answer carry the fleet's membership and [`Facts`]: the
revision in force, moves, verdicts and counts. All of it merges by maximum or by union, so that a
message that comes late, twice or out of order does no harm; replays need no defence of their own.

Bodies carry a keyed digest ([`Keys`]). The keys come from the daemon's own settings file, as a fresh
node in an outage of the store must talk to its peers before it has any settings.
*/

mod auth;
mod facts;
mod peers;
mod settings;
mod watch;

#[cfg(test)]
mod auth_tests;

pub use auth::{BadKeys, Keys};
pub use facts::{Facts, SharedState, TallyOf};
pub(crate) use peers::Answers;
pub use peers::{Peers, Traffic};
pub use settings::Held;
pub use watch::CountedRequest;
