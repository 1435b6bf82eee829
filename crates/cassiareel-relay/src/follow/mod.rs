//! Tasks that keep what a node believes up to date.

mod call;
mod nodes;
mod policy;
mod registry;
mod rollouts;

pub(crate) use nodes::follow_nodes;
pub(crate) use policy::follow_policy;
pub(crate) use registry::follow_registry;
pub(crate) use rollouts::follow_rollouts;
