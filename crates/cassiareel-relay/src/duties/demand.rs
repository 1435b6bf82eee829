//! A node's own demand for the services whose size follows it, and that of all nodes.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Mutex, MutexGuard},
};

use cassiareel::runtime::lock;

use crate::{
    kernel::FleetDemand,
    model::{DataCentre, DemandSample, ServiceId},
    state::State,
};

/// The demand for services whose size follows it.
#[derive(Debug, Default)]
pub(crate) struct NodeDemand {
    services: Mutex<HashMap<ServiceId, ServiceDemand>>,
    fleet: Mutex<FleetDemand>,
}

/// The node's requests to a service that no server runs.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceDemand {
    waiting: u32,
    refused: u64,
}

/// Counts a request as waiting for a place until it is dropped.
#[derive(Debug)]
pub(crate) struct WaitGuard<'a> {
    demand: &'a NodeDemand,
    service: &'a ServiceId,
}

impl NodeDemand {
    /// Locks the samples of all nodes.
    pub(crate) fn fleet(&self) -> MutexGuard<'_, FleetDemand> {
        lock(&self.fleet)
    }

    fn change<F>(&self, service: &ServiceId, change: F)
    where
        F: FnOnce(&mut ServiceDemand),
    {
        let mut services = lock(&self.services);
        change(services.entry(service.clone()).or_default());
    }

    fn of_service(&self, service: &ServiceId) -> ServiceDemand {
        let services = lock(&self.services);
        services.get(service).copied().unwrap_or_default()
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.demand.change(self.service, |demand| {
            demand.waiting = demand.waiting.saturating_sub(1);
        });
    }
}

impl State {
    /// Counts a request that waits for a place, if its service's size follows the demand.
    pub(crate) fn begin_wait<'a>(&'a self, service: &'a ServiceId) -> Option<WaitGuard<'a>> {
        self.is_scaled(service).then(|| {
            self.demand.change(service, |demand| demand.waiting += 1);
            WaitGuard {
                demand: &self.demand,
                service,
            }
        })
    }

    /// Counts a request that was refused for want of capacity, if its service's size follows the
    /// demand. What a stopping node refuses says nothing about the servers.
    pub(crate) fn record_refusal(&self, service: &ServiceId) {
        if self.is_scaled(service) && !self.is_leaving() {
            self.demand.change(service, |demand| demand.refused += 1);
        }
    }

    /// Returns the node's own demand for the services whose size follows it.
    pub(crate) fn sample_demand(&self) -> Vec<DemandSample> {
        let Some(catalog) = self.catalog() else {
            return Vec::new();
        };
        let own = self.settings.load().node.data_centre.clone();
        let services = catalog.scaled_services().map(|(service, _)| service);
        services
            .flat_map(|service| self.sample_service(service, &own))
            .collect()
    }

    fn sample_service(&self, service: &ServiceId, own: &DataCentre) -> Vec<DemandSample> {
        let mut running: BTreeMap<DataCentre, u32> = BTreeMap::from([(own.clone(), 0)]);
        for backend in self.backends.of_service(service).iter() {
            let count = running.entry(backend.entry.data_centre.clone());
            *count.or_default() += backend.open_requests();
        }
        let unserved = self.demand.of_service(service);
        let sample = |(data_centre, running): (DataCentre, u32)| {
            let ServiceDemand { waiting, refused } = match data_centre == *own {
                true => unserved,
                false => ServiceDemand::default(),
            };
            DemandSample {
                service: service.clone(),
                data_centre,
                running,
                waiting,
                refused,
            }
        };
        running.into_iter().map(sample).collect()
    }

    fn is_scaled(&self, service: &ServiceId) -> bool {
        self.catalog()
            .is_some_and(|catalog| catalog.scale(service).is_some())
    }
}
