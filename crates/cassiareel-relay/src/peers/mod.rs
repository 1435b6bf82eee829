/*!
The exchange of cached store contents between nodes.

One node reads the store, a few forwarders query it, and the other nodes query these. Everything
that is passed on carries its age, counted from the start of the read that returned it, so that a
node that uses a peer's value knows as well as one that read the store how long it may use it. A
node whose cached values become too old reads the store itself; nodes do so one after another (see
[`crate::kernel::ReadSchedule`]). The nodes need not agree on which of them reads: each node uses its own
list, and a wrong list costs additional calls, not correctness.
*/

mod cache_state;
#[cfg(test)]
mod cache_state_tests;
mod cached;
mod change;
mod change_chain;
#[cfg(test)]
mod change_chain_tests;
#[cfg(test)]
mod change_tests;
mod exchange;
#[cfg(test)]
mod fleet_start_tests;
#[cfg(test)]
mod fleet_tests;
mod format;
mod limits;
#[cfg(test)]
mod limits_tests;
mod list_digest;
mod list_error;
mod list_search;
#[cfg(test)]
mod list_search_tests;
mod list_server;
mod lists;
mod losses;
#[cfg(test)]
mod losses_tests;
mod members;
#[cfg(test)]
mod members_tests;
mod message;
mod packed_entries;
#[cfg(test)]
mod packed_entries_tests;
mod packed_listing;
mod policy_cache;
#[cfg(test)]
mod policy_cache_tests;
mod policy_update;
mod roster;
#[cfg(test)]
mod roster_tests;
mod store_cache;
mod unlisted;
mod usage;

pub(crate) use exchange::{ask_peer_at_start, follow_peers, serve_peers};
pub(crate) use format::{FORMAT_HEADER, MESSAGE_FORMAT};
pub(crate) use limits::{follow_limits, record_answer as record_limit_answer};
pub(crate) use losses::send_losses;
pub(crate) use members::Members;
pub(crate) use policy_cache::KnownPolicy;
pub(crate) use store_cache::StoreCache;
pub(crate) use unlisted::UnlistedNodes;
pub(crate) use usage::{send_last_usage, send_usage};
