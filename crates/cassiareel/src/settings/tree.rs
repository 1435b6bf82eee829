/*!
The tree as operators write it.

Each type is a node or a leaf of the tree, with the values that the node itself says. What a node
inherits is worked out elsewhere. A name that stands in for another node is checked when the tree is
parsed, so that the rest of the crate meets no dangling name.
*/

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DisplayFromStr};

use super::{
    policy::{Policy, PolicyId},
    units::{Digest, Share},
};
use crate::kernel::{AccountId, CallerId, DataCentreId, ServiceId, VersionId};

/// Keys by name, each as the digest of its text.
pub type KeyDigests = BTreeMap<String, Digest>;

/// The whole tree.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tree {
    /// The deployment.
    #[serde(default)]
    pub platform: Platform,
    /// Named policies that nodes may build on.
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

/// The deployment.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Its name.
    #[serde(default)]
    pub name: String,
    /// Operators by name.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub operators: BTreeMap<String, Operator>,
    /// Secrets that sign and check the resume tickets in event ids, the newest first; without
    /// one, callers can't take up an answer at another node.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ticket_keys: Vec<String>,
    /// What all nodes of the tree inherit.
    #[serde(default, skip_serializing_if = "Policy::is_empty")]
    pub policy: Policy,
}

/// Somebody who may ask nodes for their status.
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
    /// What its data centres inherit.
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
    /// Accelerators for placements; none where they are not counted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accelerators: Option<u32>,
    /// Versions that new work from its nodes goes to, where they differ from the services' own.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub versions: BTreeMap<ServiceId, VersionId>,
    /// What requests to its nodes inherit.
    #[serde(default, skip_serializing_if = "Policy::is_empty")]
    pub policy: Policy,
}

/// What a service is.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines that generate tokens; the service's name is the model's.
    #[default]
    Model,
    /// A plain service called by path.
    Plain,
}

/// A service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// What it is.
    #[serde(default)]
    pub kind: ServiceKind,
    /// Whether a call may run twice without harm; model services always may.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether its backend servers refuse old fencing numbers.
    #[serde(default)]
    pub checks_fencing: bool,
    /// The version that new work goes to.
    #[serde(default)]
    pub version: VersionId,
    /// What its versions and routes inherit.
    #[serde(default, skip_serializing_if = "Policy::is_empty")]
    pub policy: Policy,
    /// Routes of a plain service by the start of their path, such as `/entries`.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub routes: BTreeMap<String, RouteNode>,
    /// Versions by name.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub versions: BTreeMap<VersionId, Version>,
}

/// Calls of a plain service whose path starts alike.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RouteNode {
    /// Whether a call may run twice without harm; none takes the service's word.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotent: Option<bool>,
    /// What differs from the service.
    #[serde(default, skip_serializing_if = "Policy::is_empty")]
    pub policy: Policy,
}

/// A backend server version of a service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// The name of its weights in the weight store; none for the version's own name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weights: Option<String>,
    /// Accelerators that each of its backend servers takes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accelerators: Option<u32>,
    /// What its placements inherit.
    #[serde(default, skip_serializing_if = "Policy::is_empty")]
    pub policy: Policy,
    /// Placements by data centre.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub placements: BTreeMap<DataCentreId, Placement>,
}

/// Backend servers of a version in a data centre.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Placement {
    /// Their addresses.
    #[serde(default)]
    pub servers: Vec<SocketAddr>,
    /// The most of them that may load or change role at one time; none for one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub surge: Option<u32>,
    /// What differs from the version.
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
    /// Versions that differ from the services' own, by service.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub versions: BTreeMap<ServiceId, VersionId>,
    /// What is held for it alone; not inherited.
    #[serde(default, skip_serializing_if = "Reserve::is_empty")]
    pub reserve: Reserve,
    /// What its callers inherit.
    #[serde(default, skip_serializing_if = "Policy::is_empty")]
    pub policy: Policy,
    /// What differs for its use of one service.
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
    /// What differs from the account.
    #[serde(default, skip_serializing_if = "Policy::is_empty")]
    pub policy: Policy,
}

/// What is held for a client account or caller alone.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Reserve {
    /// A share of what the parent has.
    #[serde_as(as = "Option<DisplayFromStr>")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<Share>,
    /// Requests at one time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub open_requests: Option<u32>,
}

impl Reserve {
    /// Reports whether nothing is held.
    pub fn is_empty(&self) -> bool {
        *self == Reserve::default()
    }
}

/// A caller beneath a client account.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// Digests of its keys.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub keys: KeyDigests,
    /// Versions that differ from its account's, by service.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub versions: BTreeMap<ServiceId, VersionId>,
    /// What is held for it alone; not inherited.
    #[serde(default, skip_serializing_if = "Reserve::is_empty")]
    pub reserve: Reserve,
    /// What differs from its account.
    #[serde(default, skip_serializing_if = "Policy::is_empty")]
    pub policy: Policy,
}
