/*!
Messages between nodes: HTTP with bodies encoded by rmp-serde.

Each exchange is one POST request. Its body and its answer carry the fleet's membership and a
[`StateUpdate`]: the revision in force, moves, verdicts and counts. All of these are merged by maximum
or by union, so that late, repeated or reordered messages do no harm, and no separate protection
against replays is needed.

Bodies are authenticated by a keyed digest ([`Keys`]). The keys come from the daemon's own settings
file, because a new node must be able to talk to its peers before it has any settings when the store
is unavailable.
*/

mod auth;
mod counted_request;
mod peers;
mod settings;
mod shared_state;

#[cfg(test)]
mod auth_tests;

pub use auth::{Keys, KeysError};
pub use counted_request::CountedRequest;
pub(crate) use peers::{PeerHandler, PermitOwner};
pub use peers::{Peers, Traffic};
pub use settings::ActiveSettings;
pub use shared_state::{NodeTally, SharedState, StateUpdate};
