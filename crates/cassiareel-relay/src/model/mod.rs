//! The input data of a node: the operator's policy, registry entries, and callers' requests.

mod demand_sample;
mod entry;
mod ids;
mod policy;
mod request_head;
mod rollout;
mod rollout_status;
mod route;
mod service;

pub use cassiareel::store::StoreEra;
pub use demand_sample::DemandSample;
pub use entry::{Entry, Phase};
pub use ids::{
    AccountId, BackendId, DataCentre, RequestId, Revision, ServiceId, StoreRevision, Version,
};
pub use policy::{Account, Limits, Policy};
pub use request_head::{Prompt, RequestHead};
pub use rollout::Rollout;
pub use rollout_status::{RolloutState, RolloutStatus, StoredState, UnprovenVersion};
pub use route::{Route, RouteKind, Target};
pub use service::{EngineShape, ScaleBounds, Service};
