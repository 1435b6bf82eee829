//! Tasks that keep the node's view of the system up to date.

mod call;
mod nodes;
mod policy;
mod registry;
mod rollouts;

pub(crate) use nodes::follow_nodes;
pub(crate) use policy::follow_policy;
pub(crate) use registry::follow_registry;
pub(crate) use rollouts::follow_rollouts;
