//! The tree in the shape that requests look things up by.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq;

use super::{DataCentre, ResolvedPolicy, Scope, ServiceKind, Tree};
use crate::kernel::{AccountId, CallerId, DataCentreId, Revision, ServiceId, VersionId};

/// Who calls.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Identity {
    /// The client account.
    pub account: AccountId,
    /// The caller beneath it.
    pub caller: CallerId,
}

/// A backend server of a version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Server {
    /// Its address.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
}

/// Where a caller's requests for a service go.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// The service.
    pub service: ServiceId,
    /// What it is.
    pub kind: ServiceKind,
    /// Whether a call may run twice without harm.
    pub idempotent: bool,
    /// The version that new work goes to.
    pub version: VersionId,
    /// The version's backend servers.
    pub servers: Arc<Vec<Server>>,
}

/// A revision of the tree, ready for look-ups.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The revision.
    pub revision: Revision,
    /// The tree.
    pub tree: Tree,
    keys: HashMap<[u8; 32], Identity>,
    servers: HashMap<(ServiceId, VersionId), Arc<Vec<Server>>>,
}

impl Snapshot {
    /// Works a tree out.
    pub fn new(revision: Revision, tree: Tree) -> Snapshot {
        let keys = tree
            .accounts
            .iter()
            .flat_map(|(account, node)| {
                node.callers.iter().flat_map(|(caller, leaf)| {
                    let identity = Identity {
                        account: account.clone(),
                        caller: caller.clone(),
                    };
                    leaf.keys
                        .values()
                        .map(move |digest| (digest.0, identity.clone()))
                })
            })
            .collect();
        let servers = tree
            .services
            .iter()
            .flat_map(|(service, node)| {
                node.versions.iter().map(|(version, placed)| {
                    let list = placed
                        .placements
                        .iter()
                        .flat_map(|(data_centre, placement)| {
                            placement.servers.iter().map(|&addr| Server {
                                addr,
                                data_centre: data_centre.clone(),
                            })
                        })
                        .collect();
                    ((service.clone(), version.clone()), Arc::new(list))
                })
            })
            .collect();
        Snapshot {
            revision,
            tree,
            keys,
            servers,
        }
    }

    /// Finds the caller of a key.
    ///
    /// The look-up is by digest, and the digest found is compared again in constant time, so that
    /// the time taken tells nothing about a key.
    pub fn identify(&self, key: &str) -> Option<&Identity> {
        let digest = key_digest(key);
        let (kept, identity) = self.keys.get_key_value(&digest)?;
        bool::from(kept.ct_eq(&digest)).then_some(identity)
    }

    /// The same route by another version; unchanged where that version is not in the tree.
    pub fn route_with_version(&self, route: Route, version: VersionId) -> Route {
        let key = (route.service.clone(), version);
        match self.servers.get(&key) {
            Some(servers) if !servers.is_empty() => Route {
                version: key.1,
                servers: servers.clone(),
                ..route
            },
            _ => route,
        }
    }

    /// Finds the operator of a key.
    pub fn identify_operator(&self, key: &str) -> Option<&str> {
        let digest = key_digest(key);
        self.tree
            .platform
            .operators
            .iter()
            .find(|(_, node)| {
                // Digests are compared in constant time.
                node.keys
                    .values()
                    .any(|kept| bool::from(kept.0.ct_eq(&digest)))
            })
            .map(|(name, _)| name.as_str())
    }

    /// Finds where a caller's requests for a service go; none where it may not use the service.
    pub fn route(&self, identity: &Identity, service: &str) -> Option<Route> {
        self.route_at(identity, service, None)
    }

    /// Finds where a caller's requests for a service go when they come to a node in a data centre.
    ///
    /// The version is the caller's, else the client account's, else the data centre's, else the
    /// service's own.
    pub fn route_at(
        &self,
        identity: &Identity,
        service: &str,
        data_centre: Option<&str>,
    ) -> Option<Route> {
        let account = self.tree.accounts.get(&identity.account)?;
        let name = account.services.iter().find(|s| &***s == service)?;
        let node = self.tree.services.get(name)?;
        let version = account
            .callers
            .get(&identity.caller)
            .and_then(|caller| caller.versions.get(name))
            .or_else(|| account.versions.get(name))
            .or_else(|| self.place(data_centre?)?.versions.get(name))
            .unwrap_or(&node.version)
            .clone();
        let servers = self.servers.get(&(name.clone(), version.clone()))?.clone();
        Some(Route {
            service: name.clone(),
            kind: node.kind,
            idempotent: node.idempotent || node.kind == ServiceKind::Model,
            version,
            servers,
        })
    }

    /// Finds where an answer that a version began goes on; none where the caller may not use the
    /// service or the version is not placed any more.
    pub fn pinned_route(
        &self,
        identity: &Identity,
        service: &str,
        version: &VersionId,
    ) -> Option<Route> {
        let route = self.route(identity, service)?;
        let servers = self
            .servers
            .get(&(route.service.clone(), version.clone()))?
            .clone();
        Some(Route {
            version: version.clone(),
            servers,
            ..route
        })
    }

    /// Reports whether a call of a service's path may run twice without harm.
    pub fn is_idempotent(&self, service: &str, path: &str) -> bool {
        let route = self.tree.find_route(service, path);
        let said = route.and_then(|(_, route)| route.idempotent);
        let node = self.tree.services.get(service);
        said.unwrap_or_else(|| {
            node.is_some_and(|node| node.idempotent || node.kind == ServiceKind::Model)
        })
    }

    /// Works out every value for a request.
    pub fn policy(&self, scope: &Scope) -> ResolvedPolicy {
        self.tree.resolve(scope)
    }

    fn place(&self, name: &str) -> Option<&DataCentre> {
        self.tree
            .regions
            .values()
            .find_map(|region| region.data_centres.get(name))
    }
}

/// The digest of a key that the tree keeps: SHA-256.
pub fn key_digest(key: &str) -> [u8; 32] {
    Sha256::digest(key.as_bytes()).into()
}
