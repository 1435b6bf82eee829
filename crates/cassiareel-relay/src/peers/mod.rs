/*!
News between nodes.

One node reads the store, a few relays ask it, and the others ask these. All that is passed on
carries its age, counted from the start of the read that brought it: a node that goes by a peer's word
knows as well as one that read the store how long it may. Whose word grows old reads the store itself,
one node after another (see [`crate::kernel::ReadSchedule`]). Nobody has to agree on who reads: each node
goes by its own list, and a wrong list costs calls, not correctness.
*/

mod cache_state;
mod cached;
mod change;
#[cfg(test)]
mod change_tests;
mod exchange;
#[cfg(test)]
mod fleet_tests;
mod losses;
#[cfg(test)]
mod losses_tests;
mod members;
mod message;
mod roster;
#[cfg(test)]
mod roster_tests;
mod store_cache;

pub(crate) use exchange::{follow_peers, serve_peers};
pub(crate) use losses::send_losses;
pub(crate) use members::Members;
pub(crate) use store_cache::StoreCache;
