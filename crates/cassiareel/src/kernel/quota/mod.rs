/*!
Limits that backend servers name for the whole fleet.

A backend server in need names in its answers how many requests a second it takes from all nodes
together. No node can tell by itself how many the others send, and an even division would serve
nobody in a large fleet whose callers use few nodes. The limit is therefore divided into a few
quotas. Each quota is owned by one node, chosen by a hash of the process over the list of nodes, so
that nodes with the same list agree without a message. An owner grants permits out of its quota to
the nodes that want to send, its own node included; a permit allows one request and expires soon.

- A node without a permit sends nothing. One that is cut off, was frozen or has just started holds
  none, and adds no share of its own.
- The quotas add up to the limit whichever owners are reachable. The quota of an owner that is lost
  is not used until it is back, or until it has been unreachable for so long that the next node by
  the hash replaces it.
- A node that becomes an owner waits until the permits of the owner before it, which may have been
  its own process before a restart, have expired.
- Unused permits are returned with the next request, and an owner tells each node when to come back:
  later the more nodes want permits, sooner the more the node itself wants. Messages thus grow with
  the limits, not with the nodes.
*/

mod exchange;
mod owner;
mod owners;
mod permits;
mod quotas;
mod reachability;
mod reading;
mod spread;

#[cfg(test)]
mod fleet_simulation;
#[cfg(test)]
mod fleet_tests;
#[cfg(test)]
mod owner_tests;
#[cfg(test)]
mod permits_tests;
#[cfg(test)]
mod reading_tests;
#[cfg(test)]
mod spread_tests;

pub use exchange::{PermitMessage, PermitReply};
pub use owner::{PermitGrant, PermitRequest, QuotaOwner};
pub use owners::{node_key, owners, quota};
pub use permits::{LimitChange, PermitPool, Purpose};
pub use quotas::{PermitCall, Quotas};
pub use reading::{is_valid_limit, LimitReading, ReportedReading};
pub use spread::Spread;

use std::time::Duration;

/// A number of requests a second.
pub type Rate = f64;

/// Identifies a node; the same on all nodes.
pub type NodeKey = u64;

/// How long a permit can be used, counted from the request for it.
pub const PERMIT_LIFETIME: Duration = Duration::from_millis(1000);

/// The shortest interval between a node's requests to an owner.
pub const REQUEST_INTERVAL: Duration = Duration::from_millis(500);

/// How long a node that becomes an owner waits before it grants permits: other nodes may not know
/// of it yet, and the permits of the owner before it are still in use.
pub const OWNER_DELAY: Duration = Duration::from_millis(2500);

/// How long an owner has to be unreachable until the next node by the hash replaces it.
pub const REPLACE_DELAY: Duration = Duration::from_secs(15);
