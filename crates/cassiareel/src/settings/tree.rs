//! The tree as operators write it.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::kernel::{AccountId, CallerId, DataCentreId, ServiceId, VersionId};

/// The whole tree.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tree {
    /// The deployment.
    #[serde(default)]
    pub platform: Platform,
    /// Regions by name.
    #[serde(default)]
    pub regions: BTreeMap<String, Region>,
    /// Services by name.
    #[serde(default)]
    pub services: BTreeMap<ServiceId, Service>,
    /// Client accounts by name.
    #[serde(default)]
    pub accounts: BTreeMap<AccountId, Account>,
}

/// The deployment.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Its name.
    #[serde(default)]
    pub name: String,
}

/// A region.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Data centres by name.
    #[serde(default)]
    pub data_centres: BTreeMap<DataCentreId, DataCentre>,
}

/// A data centre.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {}

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
    pub version: VersionId,
    /// Versions by name.
    #[serde(default)]
    pub versions: BTreeMap<VersionId, Version>,
}

/// A backend server version of a service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Placements by data centre.
    #[serde(default)]
    pub placements: BTreeMap<DataCentreId, Placement>,
}

/// Backend servers of a version in a data centre.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Placement {
    /// Their addresses.
    #[serde(default)]
    pub servers: Vec<SocketAddr>,
}

/// A client account.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Services that its callers may use.
    #[serde(default)]
    pub services: Vec<ServiceId>,
    /// Versions that differ from the services' own, by service.
    #[serde(default)]
    pub versions: BTreeMap<ServiceId, VersionId>,
    /// Callers by name.
    #[serde(default)]
    pub callers: BTreeMap<CallerId, Caller>,
}

/// A caller beneath a client account.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// SHA-256 of its key, in hexadecimal.
    pub key_digest: String,
}
