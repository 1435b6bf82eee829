//! Aliases for the identifiers and counters that several modules share.

use std::{sync::Arc, time::Duration};

/// The name of a client account.
pub type AccountId = Arc<str>;
/// The number of an attempt at a generation on one backend server; the first is 1.
pub type Attempt = u32;
/// The address of a backend server.
pub type BackendId = Arc<str>;
/// The name of a caller within a client account.
pub type CallerId = Arc<str>;
/// The name of a data centre.
pub type DataCentreId = Arc<str>;
/// A fencing number, which only increases.
pub type Fence = u64;
/// The incarnation of a node, which increases when the node restarts or resumes.
pub type Incarnation = u64;
/// The name of a node of the fleet.
pub type NodeId = Arc<str>;
/// The position of a token in its answer; the first is 0.
pub type Position = u32;
/// The name of a request, unique per caller.
pub type RequestId = Arc<str>;
/// A revision of the settings, which only increases.
pub type Revision = u64;
/// The name of a service.
pub type ServiceId = Arc<str>;
/// A time on a node's monotonic clock, measured from an arbitrary origin.
pub type Time = Duration;
/// The number of a token in the vocabulary of its model.
pub type TokenId = u32;
/// The name of a version of a service.
pub type VersionId = Arc<str>;
