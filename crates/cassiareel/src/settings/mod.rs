/*!
The tree of settings that operators edit.

The tree is TOML, typed, and kept in the object API as one revision. A child inherits from its
parent unless it says otherwise. Nodes read a [`Snapshot`]: the tree with its inheritance worked
out, in the shape that the path of a request looks things up by.
*/

mod snapshot;
mod tree;

pub use snapshot::{key_digest, Identity, Route, Server, Snapshot};
pub use tree::{
    Account, Caller, DataCentre, Placement, Platform, Region, Service, ServiceKind, Tree, Version,
};
