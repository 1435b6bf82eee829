//! Identifiers. String ids are reference-counted, so that tasks share them without a copy.

use std::sync::Arc;

use cassiareel::store::StoreVersion;

/// The id of a backend server's process.
pub type BackendId = Arc<str>;

/// The name of a data centre.
pub type DataCentre = Arc<str>;

/// The id that a caller gives to one attempt of a request.
pub type RequestId = Arc<str>;

/// A revision of the store, which increases with each change within an era.
pub type Revision = u64;

/// A revision of the store with the era in which the store gave it out.
pub type StoreRevision = StoreVersion;

/// The name of a service.
pub type ServiceId = Arc<str>;

/// The name of a client account.
pub type AccountId = Arc<str>;

/// A version of a service's software.
pub type Version = Arc<str>;
