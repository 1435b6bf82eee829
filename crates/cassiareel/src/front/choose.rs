//! Choice of a backend server among those that the settings give a request.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        atomic::{AtomicU32, Ordering},
        Arc, Mutex,
    },
};

use crate::{
    kernel::{
        routing::{self, Ask, Candidate, Policy},
        BackendId,
    },
    settings::{Route, Server},
};

/// Chooses backend servers and counts what is outstanding at each.
pub(super) struct Chooser {
    policy: Box<dyn Policy>,
    outstanding: Mutex<HashMap<SocketAddr, Arc<AtomicU32>>>,
}

/// A request's place at a backend server, given back when dropped.
pub(super) struct Place {
    /// The backend server's address.
    pub(super) addr: SocketAddr,
    count: Arc<AtomicU32>,
}

impl Chooser {
    /// A chooser with the default policy.
    pub(super) fn new() -> Chooser {
        Chooser {
            // INVARIANT: the crate registers this policy itself.
            policy: routing::policy("least-outstanding").expect("the default policy is registered"),
            outstanding: Mutex::new(HashMap::new()),
        }
    }

    /// Takes a place at a backend server where the request runs already.
    pub(super) fn at(&self, addr: SocketAddr) -> Place {
        let mut outstanding = self.outstanding.lock().unwrap_or_else(|e| e.into_inner());
        let count = outstanding.entry(addr).or_default().clone();
        count.fetch_add(1, Ordering::Relaxed);
        Place { addr, count }
    }

    /// Chooses a backend server other than those excluded.
    pub(super) fn choose(&self, route: &Route, exclude: &[BackendId]) -> Option<Place> {
        let servers: Vec<&Server> = route
            .servers
            .iter()
            .filter(|server| !exclude.iter().any(|b| **b == *server.addr.to_string()))
            .collect();
        let counts: Vec<Arc<AtomicU32>> = {
            let mut outstanding = self.outstanding.lock().unwrap_or_else(|e| e.into_inner());
            servers
                .iter()
                .map(|server| outstanding.entry(server.addr).or_default().clone())
                .collect()
        };
        let names: Vec<BackendId> = servers
            .iter()
            .map(|server| server.addr.to_string().into())
            .collect();
        let candidates: Vec<Candidate> = servers
            .iter()
            .zip(&counts)
            .zip(&names)
            .map(|((server, count), backend)| Candidate {
                backend,
                data_centre: &server.data_centre,
                outstanding: count.load(Ordering::Relaxed),
                backlog: 0,
                free_tokens: u64::MAX,
                cached: 0,
                home: 0,
                health: 1.0,
                token_ms: 0.0,
                pace: 1.0,
                barred: None,
            })
            .collect();
        let choice = self
            .policy
            .choose(&Ask::default(), &candidates, fastrand::u64(..));
        let index = choice.index?;
        counts[index].fetch_add(1, Ordering::Relaxed);
        Some(Place {
            addr: servers[index].addr,
            count: counts[index].clone(),
        })
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}
