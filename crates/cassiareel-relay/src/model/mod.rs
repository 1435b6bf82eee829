//! The input data of a node: the operator's policy, registry entries, and callers' requests.

mod entry;
mod ids;
mod policy;
mod request_head;
mod rollout;
mod route;
mod service;
mod store_revision;

pub use entry::{Entry, Phase};
pub use ids::{AccountId, BackendId, DataCentre, RequestId, Revision, ServiceId, Version};
pub use policy::{Account, Limits, Policy};
pub use request_head::{Prompt, RequestHead};
pub use rollout::{Rollout, RolloutState};
pub use route::{Route, RouteKind, Target};
pub use service::{EngineShape, Service};
pub use store_revision::{StoreEra, StoreRevision};
