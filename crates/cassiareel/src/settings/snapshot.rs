//! Snapshots: a revision of the tree, indexed for the look-ups that requests need.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq;

use super::{DataCentre, ResolvedPolicy, Scope, ServiceKind, Tree};
use crate::kernel::{AccountId, CallerId, DataCentreId, Revision, ServiceId, VersionId};

/// The identity of a caller.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Identity {
    /// The client account.
    pub account: AccountId,
    /// The caller within the account.
    pub caller: CallerId,
}

/// A backend server of a version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Server {
    /// The address.
    pub addr: SocketAddr,
    /// The data centre.
    pub data_centre: DataCentreId,
}

/// The version and backend servers that a caller's requests for a service go to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// The service.
    pub service: ServiceId,
    /// The kind of the service.
    pub kind: ServiceKind,
    /// Whether its calls are idempotent.
    pub idempotent: bool,
    /// The version that new work goes to.
    pub version: VersionId,
    /// The version's backend servers.
    pub servers: Arc<Vec<Server>>,
}

/// A revision of the tree, indexed for look-ups.
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
    /// Indexes a tree.
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
                node.versions.iter().map(|(version, version_node)| {
                    let list = version_node
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

    /// Finds the caller that a key belongs to.
    ///
    /// The look-up is by digest, and the digest found is compared again in constant time, so the
    /// time taken reveals nothing about a key.
    pub fn identify(&self, key: &str) -> Option<&Identity> {
        let digest = key_digest(key);
        let (stored, identity) = self.keys.get_key_value(&digest)?;
        bool::from(stored.ct_eq(&digest)).then_some(identity)
    }

    /// Returns the route with another version. The route is unchanged if the tree has no backend
    /// servers of that version.
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

    /// Finds the operator that a key belongs to.
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
                    .any(|stored| bool::from(stored.0.ct_eq(&digest)))
            })
            .map(|(name, _)| name.as_str())
    }

    /// Finds the route of a caller's requests for a service; `None` if the caller may not use it.
    pub fn route(&self, identity: &Identity, service: &str) -> Option<Route> {
        self.route_at(identity, service, None)
    }

    /// Finds the route of a caller's requests for a service that a node in a data centre receives;
    /// `None` if the caller may not use the service.
    ///
    /// The version is the first one set by the caller, the client account, the data centre or the
    /// service, in this order.
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
            .or_else(|| self.data_centre(data_centre?)?.versions.get(name))
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

    /// Finds the route to the version that began an answer, to resume it. `None` if the caller may
    /// not use the service or the tree has the version no longer.
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

    /// Reports whether a call to a path of a service is idempotent.
    pub fn is_idempotent(&self, service: &str, path: &str) -> bool {
        let route = self.tree.find_route(service, path);
        let route_value = route.and_then(|(_, route)| route.idempotent);
        let node = self.tree.services.get(service);
        route_value.unwrap_or_else(|| {
            node.is_some_and(|node| node.idempotent || node.kind == ServiceKind::Model)
        })
    }

    /// Resolves every policy value that applies to a request.
    pub fn policy(&self, scope: &Scope) -> ResolvedPolicy {
        self.tree.resolve(scope)
    }

    fn data_centre(&self, name: &str) -> Option<&DataCentre> {
        self.tree
            .regions
            .values()
            .find_map(|region| region.data_centres.get(name))
    }
}

/// Returns the SHA-256 digest of a key, which the tree stores in place of the key.
pub fn key_digest(key: &str) -> [u8; 32] {
    Sha256::digest(key.as_bytes()).into()
}
