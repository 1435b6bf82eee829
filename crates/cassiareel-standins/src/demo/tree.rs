//! The demo's changes to a settings tree.

use std::{collections::BTreeMap, net::SocketAddr};

use cassiareel::{
    kernel::{DataCentreId, ServiceId, VersionId},
    settings::{key_digest, units::Digest, Account, Caller, Operator, ServiceKind, Tree},
};

use super::{ACCOUNT, KEY, OPERATOR_KEY};

/// Adds the demo's operator, and its client account, which may use every service.
pub(super) fn add_account(tree: &mut Tree) {
    let account = Account {
        services: tree.services.keys().cloned().collect(),
        callers: [("desk".into(), caller(KEY))].into(),
        ..Account::default()
    };
    tree.accounts.insert(ACCOUNT.into(), account);
    let operator = Operator {
        keys: [("first".to_owned(), Digest(key_digest(OPERATOR_KEY)))].into(),
    };
    tree.platform.operators.insert("demo".to_owned(), operator);
    // Without keys for tickets a caller that lost its node could not go on at another.
    tree.platform.ticket_keys = vec![KEY.to_owned()];
}

/// A caller with a key.
pub(super) fn caller(key: &str) -> Caller {
    Caller {
        keys: [("first".to_owned(), Digest(key_digest(key)))].into(),
        ..Caller::default()
    }
}

/// A backend server that a tree names.
#[derive(Clone, Debug, Default)]
pub(super) struct Placed {
    /// The versions that it is to serve, with their services.
    pub(super) versions: Vec<(ServiceId, VersionId)>,
    /// Whether it is a model engine.
    pub(super) is_model: bool,
    /// Whether it refuses old fencing numbers.
    pub(super) checks_fencing: bool,
}

/// The backend servers that a tree names, by their addresses.
pub(super) fn servers(tree: &Tree) -> BTreeMap<SocketAddr, Placed> {
    let mut servers: BTreeMap<SocketAddr, Placed> = BTreeMap::new();
    for (service, node) in &tree.services {
        for (version, placed) in &node.versions {
            for addr in placed.placements.values().flat_map(|p| &p.servers) {
                let server = servers.entry(*addr).or_default();
                server.versions.push((service.clone(), version.clone()));
                server.is_model = node.kind == ServiceKind::Model;
                server.checks_fencing = node.checks_fencing;
            }
        }
    }
    servers
}

/// Puts other addresses in place of those that a tree names.
pub(super) fn replace(tree: &mut Tree, by: &BTreeMap<SocketAddr, SocketAddr>) {
    tree.services
        .values_mut()
        .flat_map(|node| node.versions.values_mut())
        .flat_map(|version| version.placements.values_mut())
        .flat_map(|placement| &mut placement.servers)
        .for_each(|addr| *addr = *by.get(addr).unwrap_or(addr));
}

/// The data centres of a tree.
pub(super) fn data_centres(tree: &Tree) -> Vec<DataCentreId> {
    tree.regions
        .values()
        .flat_map(|region| region.data_centres.keys().cloned())
        .collect()
}

/// The first service of a kind; of plain services, one whose calls must not run twice.
pub(super) fn service(tree: &Tree, kind: ServiceKind) -> Option<ServiceId> {
    let fits = |id: &&ServiceId| {
        let node = &tree.services[*id];
        node.kind == kind && (kind == ServiceKind::Model || !node.idempotent)
    };
    tree.services.keys().find(fits).cloned()
}
