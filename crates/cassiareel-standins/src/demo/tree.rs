//! Changes to a settings tree for the demo, and queries on it.

use std::{collections::BTreeMap, net::SocketAddr};

use cassiareel::{
    kernel::{DataCentreId, ServiceId, VersionId},
    settings::{key_digest, units::Digest, Account, Caller, Operator, ServiceKind, Tree},
};

use super::{ACCOUNT, KEY, OPERATOR_KEY};

/// Adds the demo's operator and its client account, which may use every service, and sets the
/// ticket keys.
pub(super) fn add_demo_access(tree: &mut Tree) {
    let account = Account {
        services: tree.services.keys().cloned().collect(),
        callers: [("desk".into(), caller_with_key(KEY))].into(),
        ..Account::default()
    };
    tree.accounts.insert(ACCOUNT.into(), account);
    let operator = Operator {
        keys: [("first".to_owned(), Digest(key_digest(OPERATOR_KEY)))].into(),
    };
    tree.platform.operators.insert("demo".to_owned(), operator);
    // Without ticket keys, a caller whose node was killed could not resume its stream at another
    // node.
    tree.platform.ticket_keys = vec![KEY.to_owned()];
}

/// Returns a caller with one API key.
pub(super) fn caller_with_key(key: &str) -> Caller {
    Caller {
        keys: [("first".to_owned(), Digest(key_digest(key)))].into(),
        ..Caller::default()
    }
}

/// A backend server that a settings tree names.
#[derive(Clone, Debug, Default)]
pub(super) struct ServerSpec {
    /// The services and versions that it serves.
    pub(super) versions: Vec<(ServiceId, VersionId)>,
    /// Whether it is a model engine; otherwise it is a plain service.
    pub(super) is_model: bool,
    /// Whether it rejects commands with an old fencing number.
    pub(super) checks_fencing: bool,
}

/// Returns the backend servers that a settings tree names, by their addresses.
pub(super) fn servers_by_addr(tree: &Tree) -> BTreeMap<SocketAddr, ServerSpec> {
    let mut servers: BTreeMap<SocketAddr, ServerSpec> = BTreeMap::new();
    for (service, settings) in &tree.services {
        for (version, version_settings) in &settings.versions {
            for addr in version_settings
                .placements
                .values()
                .flat_map(|p| &p.servers)
            {
                let server = servers.entry(*addr).or_default();
                server.versions.push((service.clone(), version.clone()));
                server.is_model = settings.kind == ServiceKind::Model;
                server.checks_fencing = settings.checks_fencing;
            }
        }
    }
    servers
}

/// Replaces the addresses of backend servers in a tree as given by `new_addrs`; addresses that it
/// does not contain stay.
pub(super) fn replace_addrs(tree: &mut Tree, new_addrs: &BTreeMap<SocketAddr, SocketAddr>) {
    tree.services
        .values_mut()
        .flat_map(|service| service.versions.values_mut())
        .flat_map(|version| version.placements.values_mut())
        .flat_map(|placement| &mut placement.servers)
        .for_each(|addr| *addr = *new_addrs.get(addr).unwrap_or(addr));
}

/// Returns the data centres of a tree.
pub(super) fn data_centres(tree: &Tree) -> Vec<DataCentreId> {
    tree.regions
        .values()
        .flat_map(|region| region.data_centres.keys().cloned())
        .collect()
}

/// Returns the first service of a kind; for plain services, the first that is not idempotent.
pub(super) fn first_service(tree: &Tree, kind: ServiceKind) -> Option<ServiceId> {
    let matches = |id: &&ServiceId| {
        let settings = &tree.services[*id];
        settings.kind == kind && (kind == ServiceKind::Model || !settings.idempotent)
    };
    tree.services.keys().find(matches).cloned()
}
