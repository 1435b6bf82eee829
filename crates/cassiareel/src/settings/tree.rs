/*!
The tree as operators write it.

Each type is a node or a leaf of the tree, with the values that the node itself sets; the `resolve`
module adds what it inherits. References to other nodes by name are checked when the tree is parsed,
so the rest of the crate meets no dangling reference.
*/

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DisplayFromStr};

use super::{
    policy::{Policy, PolicyId},
    units::{Digest, Share},
};
use crate::kernel::{AccountId, CallerId, DataCentreId, ServiceId, VersionId};

/// Digests of keys, by the name of the key.
pub type KeyDigests = BTreeMap<String, Digest>;

/// The whole tree.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tree {
    /// The settings of the whole deployment.
    #[serde(default)]
    pub platform: Platform,
    /// Named policies that the policies of nodes may use as their base.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub policies: BTreeMap<PolicyId, Policy>,
    /// Regions by name.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub regions: BTreeMap<String, Region>,
    /// Services by name.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub services: BTreeMap<ServiceId, Service>,
    /// Client accounts by name.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub accounts: BTreeMap<AccountId, Account>,
}

/// The settings of the whole deployment.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The name of the deployment.
    #[serde(default)]
    pub name: String,
    /// Operators by name.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub operators: BTreeMap<String, Operator>,
    /// Secrets that sign and verify the resume tickets in event ids, the newest first. Without
    /// any, callers can't resume an answer at another node.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ticket_keys: Vec<String>,
    /// The policy that all nodes of the tree inherit.
    #[serde(default, skip_serializing_if = "Policy::is_empty")]
    pub policy: Policy,
}

/// Someone who may query nodes for their status.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Digests of the operator's keys.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub keys: KeyDigests,
}

/// A region.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// The policy that its data centres inherit.
    #[serde(default, skip_serializing_if = "Policy::is_empty")]
    pub policy: Policy,
    /// Data centres by name.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub data_centres: BTreeMap<DataCentreId, DataCentre>,
}

/// A data centre.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// The accelerators available to placements; `None` if they are not counted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accelerators: Option<u32>,
    /// The versions that new work from its nodes goes to, where they differ from those of the
    /// services.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub versions: BTreeMap<ServiceId, VersionId>,
    /// The policy that requests to its nodes inherit.
    #[serde(default, skip_serializing_if = "Policy::is_empty")]
    pub policy: Policy,
}

/// The kind of a service.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines that generate tokens. The name of the service is the name of the model.
    #[default]
    Model,
    /// A plain service, called by path.
    Plain,
}

/// A service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The kind of the service.
    #[serde(default)]
    pub kind: ServiceKind,
    /// Whether its calls are idempotent. Calls of model services always are.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether its backend servers reject outdated fencing numbers.
    #[serde(default)]
    pub checks_fencing: bool,
    /// The version that new work goes to.
    #[serde(default)]
    pub version: VersionId,
    /// The policy that its versions and routes inherit.
    #[serde(default, skip_serializing_if = "Policy::is_empty")]
    pub policy: Policy,
    /// Routes of a plain service by path prefix, such as `/entries`.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub routes: BTreeMap<String, RouteNode>,
    /// Versions by name.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub versions: BTreeMap<VersionId, Version>,
}

/// The calls of a plain service whose paths share a prefix.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RouteNode {
    /// Whether its calls are idempotent; `None` uses the value of the service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotent: Option<bool>,
    /// The policy values that differ from those of the service.
    #[serde(default, skip_serializing_if = "Policy::is_empty")]
    pub policy: Policy,
}

/// A backend server version of a service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// The name of its weights in the weight store; `None` uses the name of the version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weights: Option<String>,
    /// The accelerators that each of its backend servers uses.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accelerators: Option<u32>,
    /// The policy that its placements inherit.
    #[serde(default, skip_serializing_if = "Policy::is_empty")]
    pub policy: Policy,
    /// Placements by data centre.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub placements: BTreeMap<DataCentreId, Placement>,
}

/// The backend servers of a version in a data centre.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Placement {
    /// Their addresses.
    #[serde(default)]
    pub servers: Vec<SocketAddr>,
    /// The most backend servers that may load or change role at one time; `None` means 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub surge: Option<u32>,
    /// The policy values that differ from those of the version.
    #[serde(default, skip_serializing_if = "Policy::is_empty")]
    pub policy: Policy,
}

/// A client account.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Services that its callers may use.
    #[serde(default)]
    pub services: Vec<ServiceId>,
    /// The versions that its requests use, where they differ from those of the services.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub versions: BTreeMap<ServiceId, VersionId>,
    /// The capacity reserved for this account; not inherited.
    #[serde(default, skip_serializing_if = "Reserve::is_empty")]
    pub reserve: Reserve,
    /// The policy that its callers inherit.
    #[serde(default, skip_serializing_if = "Policy::is_empty")]
    pub policy: Policy,
    /// The policy values that differ for its use of one service.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub uses: BTreeMap<ServiceId, ServiceUse>,
    /// Callers by name.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub callers: BTreeMap<CallerId, Caller>,
}

/// A client account's use of one service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceUse {
    /// The policy values that differ from those of the account.
    #[serde(default, skip_serializing_if = "Policy::is_empty")]
    pub policy: Policy,
}

/// The capacity reserved for a client account or a caller.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Reserve {
    /// The share of the parent's capacity.
    #[serde_as(as = "Option<DisplayFromStr>")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<Share>,
    /// The number of concurrent requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub open_requests: Option<u32>,
}

impl Reserve {
    /// Reports whether nothing is reserved.
    pub fn is_empty(&self) -> bool {
        *self == Reserve::default()
    }
}

/// A caller of a client account.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// Digests of its keys.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub keys: KeyDigests,
    /// The versions that its requests use, where they differ from those of its account.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub versions: BTreeMap<ServiceId, VersionId>,
    /// The capacity reserved for this caller; not inherited.
    #[serde(default, skip_serializing_if = "Reserve::is_empty")]
    pub reserve: Reserve,
    /// The policy values that differ from those of its account.
    #[serde(default, skip_serializing_if = "Policy::is_empty")]
    pub policy: Policy,
}
