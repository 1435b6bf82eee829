/*!
The tree of settings that operators edit.

The tree is typed TOML. The object API keeps it as one revision. A child node inherits each value
from its parent unless it sets the value itself. Nodes of the fleet read a [`Snapshot`]: a revision
of the tree, indexed by the keys that requests are looked up by.

[`Draft::parse`] reads an operator's text and reports every fault at once. [`diff`] compares two
trees by path, and [`Tree::origins`] lists which node of the tree sets each value.
*/

mod apply;
mod check;
mod collect;
mod diff;
mod errors;
mod fault;
mod head;
mod origin;
mod parse;
#[cfg(test)]
mod parse_tests;
mod parts;
mod path;
pub mod policy;
mod resolve;
#[cfg(test)]
mod resolve_tests;
mod snapshot;
#[cfg(test)]
mod snapshot_tests;
mod store;
#[cfg(test)]
mod store_tests;
mod tree;
pub mod units;
#[cfg(test)]
mod units_tests;

pub use apply::{apply, Applied, Edit};
pub use collect::{collect_unreferenced_parts, PART_GRACE_PERIOD};
pub use diff::{diff, patch, Change};
pub use errors::{ApplyError, LoadError};
pub use fault::{Fault, Faults};
pub use head::{AcceptedRevision, Head};
pub use origin::Origin;
pub use parse::{parse_collecting_faults, Draft};
pub use parts::{split_into_parts, text_digest, Part, PartRef};
pub use path::Path;
pub use policy::{Group, Policy, PolicyId, ResolvedPolicy};
pub use resolve::{Layer, Scope};
pub use snapshot::{key_digest, Identity, Route, Server, Snapshot};
pub use store::{
    load, load_from_head, matches_digest, parse_accepted_tree, read_revision, LoadedRevision,
    HEAD_KIND, HEAD_NAME, PART_KIND,
};
pub use tree::{
    Account, Caller, DataCentre, KeyDigests, Operator, Placement, Platform, Region, Reserve,
    RouteNode, Service, ServiceKind, ServiceUse, Tree, Version,
};
