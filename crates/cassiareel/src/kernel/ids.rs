//! Aliases of the ids and counters that cross module borders.

use std::{sync::Arc, time::Duration};

/// A client account.
pub type AccountId = Arc<str>;
/// A try at a generation on one backend server; the first is 1.
pub type Attempt = u32;
/// A backend server, by its address.
pub type BackendId = Arc<str>;
/// A caller beneath a client account.
pub type CallerId = Arc<str>;
/// A data centre.
pub type DataCentreId = Arc<str>;
/// A fencing number; it only rises.
pub type Fence = u64;
/// A life of a node; a restarted or resumed node has a higher one.
pub type Incarnation = u64;
/// A node of the fleet.
pub type NodeId = Arc<str>;
/// A token's place in its answer; the first is 0.
pub type Position = u32;
/// A request's name, unique beneath its caller.
pub type RequestId = Arc<str>;
/// A revision of the settings; it only rises.
pub type Revision = u64;
/// A service.
pub type ServiceId = Arc<str>;
/// Time on a node's monotonic clock, since an arbitrary origin.
pub type Time = Duration;
/// A token's number in its model's vocabulary.
pub type TokenId = u32;
/// A backend server version of a service.
pub type VersionId = Arc<str>;
