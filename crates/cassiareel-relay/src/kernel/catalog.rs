//! The configuration in force, indexed for requests: routes by host and longest prefix, keys.

use std::{collections::HashMap, sync::Arc};

use crate::model::{Account, AccountId, EngineShape, Limits, Policy, Route, ServiceId};

/// One version of the configuration, ready for requests. It never changes.
#[derive(Debug, Default)]
pub struct Catalog {
    version: u64,
    hosts: HashMap<String, Prefixes>,
    keys: HashMap<String, Owner>,
    requires_keys: bool,
    engines: HashMap<ServiceId, EngineShape>,
    limits: Limits,
}

/// The routes of one host by their whole prefixes.
type Prefixes = HashMap<String, Arc<Route>>;

#[derive(Clone, Debug)]
struct Owner {
    name: AccountId,
    priority: Option<u8>,
}

/// What the configuration says of a request.
#[derive(Clone, Debug)]
pub enum Lookup {
    /// It is served by this route, for this client account.
    Found {
        /// The route.
        route: Arc<Route>,
        /// The client account; `None` where no key is needed.
        account: Option<AccountId>,
        /// The rank of the request, 0 first.
        priority: u8,
    },
    /// No route serves the path.
    NoRoute,
    /// The route needs a key, and the request's is not known.
    UnknownKey,
}

impl Catalog {
    /// Indexes a version of the configuration.
    pub fn new(policy: Policy) -> Catalog {
        let mut hosts: HashMap<String, Prefixes> = HashMap::new();
        for route in policy.routes {
            hosts
                .entry(route.host.to_ascii_lowercase())
                .or_default()
                .insert(route.prefix.clone(), Arc::new(route));
        }
        Catalog {
            version: policy.version,
            hosts,
            requires_keys: policy.accounts.is_some(),
            keys: index_keys(policy.accounts.unwrap_or_default()),
            engines: policy
                .services
                .into_iter()
                .filter_map(|s| s.engine.map(|engine| (s.name, engine)))
                .collect(),
            limits: policy.limits,
        }
    }

    /// The version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Bounds on what a caller sends.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// The shape of a service's engines, where it runs a model.
    pub fn engine(&self, service: &str) -> Option<&EngineShape> {
        self.engines.get(service)
    }

    /// Finds the route and the client account of a request.
    pub fn find(&self, host: &str, path: &str, key: Option<&str>) -> Lookup {
        let Some(route) = self.route(host, path) else {
            return Lookup::NoRoute;
        };
        if !self.requires_keys || route.public {
            return Lookup::Found {
                priority: route.priority,
                route,
                account: None,
            };
        }
        match key.and_then(|key| self.keys.get(key)) {
            Some(owner) => Lookup::Found {
                priority: owner.priority.unwrap_or(route.priority),
                route,
                account: Some(owner.name.clone()),
            },
            None => Lookup::UnknownKey,
        }
    }

    /// The route with the longest prefix: cuts the path at its slashes, the last one first.
    fn route(&self, host: &str, path: &str) -> Option<Arc<Route>> {
        let prefixes = self.hosts.get(host)?;
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(route) = prefixes.get(&path[..=slash]) {
                return Some(route.clone());
            }
            end = slash;
        }
        None
    }
}

fn index_keys(tenants: Vec<Account>) -> HashMap<String, Owner> {
    let mut keys = HashMap::new();
    for tenant in tenants {
        let owner = Owner {
            name: tenant.name,
            priority: tenant.priority,
        };
        keys.extend(tenant.keys.into_iter().map(|key| (key, owner.clone())));
    }
    keys
}
