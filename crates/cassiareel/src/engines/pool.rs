//! The servers of one version, with their health on each route.

use std::{
    collections::HashMap,
    sync::{
        atomic::{AtomicBool, AtomicU32, Ordering},
        Arc,
    },
};

use super::{health::RouteId, BackendServer};

/// A service's version, such as `draft@v1`.
pub type PoolId = Arc<str>;

/// The servers of a version.
#[derive(Clone, Debug)]
pub(super) struct Pool {
    pub(super) servers: Vec<Arc<BackendServer>>,
    // Health of the servers as a whole, which applies to every route. Lost connections decide it.
    pub(super) base: Arc<RouteHealth>,
    pub(super) routes: HashMap<RouteId, Arc<RouteHealth>>,
    // Whether each server is known not to have the version loaded.
    missing_version: Arc<[AtomicBool]>,
}

/// The health of a pool's servers on one route, by their index in the pool.
#[derive(Debug, Default)]
pub(super) struct RouteHealth {
    weights: Box<[AtomicU32]>,
    trials: Box<[AtomicBool]>,
}

impl RouteHealth {
    /// Creates full health for a number of servers.
    pub(super) fn new(count: usize) -> RouteHealth {
        RouteHealth {
            weights: (0..count).map(|_| AtomicU32::new(1f32.to_bits())).collect(),
            trials: (0..count).map(|_| AtomicBool::new(false)).collect(),
        }
    }

    /// Returns a server's weight.
    pub(super) fn weight(&self, i: usize) -> f32 {
        f32::from_bits(self.weights[i].load(Ordering::Relaxed))
    }

    /// Sets a server's weight.
    pub(super) fn set_weight(&self, i: usize, weight: f32) {
        self.weights[i].store(weight.to_bits(), Ordering::Relaxed);
    }

    /// Offers a trial of a server.
    pub(super) fn offer_trial(&self, i: usize) {
        self.trials[i].store(true, Ordering::Release);
    }

    /// Withdraws an offered trial.
    pub(super) fn withdraw_trial(&self, i: usize) {
        self.trials[i].store(false, Ordering::Release);
    }

    /// Takes an offered trial; only one of several concurrent callers gets it.
    pub(super) fn take_trial(&self, i: usize) -> bool {
        self.trials[i].load(Ordering::Relaxed) && self.trials[i].swap(false, Ordering::AcqRel)
    }
}

impl Pool {
    /// Creates a pool of healthy servers.
    pub(super) fn new(servers: Vec<Arc<BackendServer>>) -> Pool {
        Pool {
            base: Arc::new(RouteHealth::new(servers.len())),
            routes: HashMap::new(),
            missing_version: servers.iter().map(|_| AtomicBool::new(false)).collect(),
            servers,
        }
    }

    /// Updates which servers do not have the version `id`.
    pub(super) fn refresh_missing(&self, id: &str) {
        for (missing_version, server) in self.missing_version.iter().zip(&self.servers) {
            missing_version.store(server.lacks(id), Ordering::Relaxed);
        }
    }

    /// Reports whether a server is known not to have the version.
    pub(super) fn is_missing_version(&self, i: usize) -> bool {
        self.missing_version[i].load(Ordering::Relaxed)
    }

    /// Returns a server's weight on a route: the lower of those of the route and the whole server.
    pub(super) fn weight(&self, route: Option<&RouteHealth>, i: usize) -> f32 {
        let base = self.base.weight(i);
        route.map_or(base, |route| base.min(route.weight(i)))
    }

    /// Takes an offered trial of a server.
    ///
    /// A server that is ejected as a whole needs a trial offered for the server, and one that is
    /// ejected on the route needs a trial offered for the route.
    pub(super) fn take_trial(&self, route: Option<&RouteHealth>, i: usize) -> bool {
        if self.base.weight(i) <= 0.0 {
            return self.base.take_trial(i);
        }
        route.is_some_and(|route| route.weight(i) <= 0.0 && route.take_trial(i))
    }
}
