//! What a node is told: the operator's policy, the registry's entries, and a caller's request.

mod ask;
mod entry;
mod ids;
mod policy;
mod rollout;
mod route;
mod service;

pub use ask::{Ask, Prompt};
pub use entry::{Entry, Phase};
pub use ids::{BackendId, DataCentre, RequestId, Revision, ServiceId, TenantId, Version};
pub use policy::{Limits, Policy, Tenant};
pub use rollout::{Rollout, RolloutState};
pub use route::{Kind, Route, Target};
pub use service::{EngineShape, Service};
