//! What a node is told: the operator's policy, the registry's entries, and a caller's request.

mod entry;
mod ids;
mod policy;
mod request_head;
mod rollout;
mod route;
mod service;

pub use entry::{Entry, Phase};
pub use ids::{AccountId, BackendId, DataCentre, RequestId, Revision, ServiceId, Version};
pub use policy::{Account, Limits, Policy};
pub use request_head::{Prompt, RequestHead};
pub use rollout::{Rollout, RolloutState};
pub use route::{Route, RouteKind, Target};
pub use service::{EngineShape, Service};
