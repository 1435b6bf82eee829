/*!
The tree of settings that operators edit.

The tree is TOML, typed, and kept in the object API as one revision. A child inherits from its
parent unless it says otherwise. Nodes read a [`Snapshot`]: the tree with its inheritance worked
out, in the shape that the path of a request looks things up by.

An operator's text becomes a [`Draft`], which reports every fault at once. [`diff`] compares trees
by path, and [`Tree::origins`] tells which node says a value.
*/

mod check;
mod diff;
mod fault;
mod origin;
mod parse;
#[cfg(test)]
mod parse_tests;
mod path;
pub mod policy;
mod resolve;
#[cfg(test)]
mod resolve_tests;
mod snapshot;
mod tree;
pub mod units;
#[cfg(test)]
mod units_tests;

pub use diff::{diff, patch, Change};
pub use fault::{Fault, Faults};
pub use origin::Origin;
pub use parse::Draft;
pub use path::Path;
pub use policy::{Group, Policy, PolicyId, Resolved};
pub use resolve::{Layer, Scope};
pub use snapshot::{key_digest, Identity, Route, Server, Snapshot};
pub use tree::{
    Account, Caller, DataCentre, Keys, Operator, Placement, Platform, Region, Reserve, RouteNode,
    Service, ServiceKind, Tree, Use, Version,
};
