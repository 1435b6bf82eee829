//! Names and numbers that identify things, shared cheaply between tasks.

use std::sync::Arc;

/// The id of one run of a backend server's process.
pub type BackendId = Arc<str>;

/// The name of a data centre.
pub type DataCentre = Arc<str>;

/// The id of one attempt of a caller.
pub type RequestId = Arc<str>;

/// A revision of the store, which rises with each change.
pub type Revision = u64;

/// The name of a service.
pub type ServiceId = Arc<str>;

/// The name of a client account.
pub type AccountId = Arc<str>;

/// A version of a service's software.
pub type Version = Arc<str>;
