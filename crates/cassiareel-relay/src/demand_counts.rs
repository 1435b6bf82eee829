//! Requests of this node that wait for a place, and those that were refused for want of capacity.

use std::{collections::HashMap, sync::Mutex};

use cassiareel::runtime::lock;

use crate::model::ServiceId;

/// Waiting and refused requests.
type Counts = (u32, u64);

/// The waiting and refused requests by service.
#[derive(Debug, Default)]
pub(crate) struct DemandCounts {
    services: Mutex<HashMap<ServiceId, Counts>>,
}

impl DemandCounts {
    /// Counts a request as waiting until the guard is dropped.
    pub(crate) fn wait<'a>(&'a self, service: &'a ServiceId) -> WaitGuard<'a> {
        self.change(service, |(waiting, _)| *waiting += 1);
        WaitGuard {
            counts: self,
            service,
        }
    }

    /// Counts a request that was refused.
    pub(crate) fn record_refusal(&self, service: &ServiceId) {
        self.change(service, |(_, refused)| *refused += 1);
    }

    /// Returns the counts of all services.
    pub(crate) fn counts(&self) -> Vec<(ServiceId, Counts)> {
        let services = lock(&self.services);
        let counts = services.iter();
        counts
            .map(|(service, counts)| (service.clone(), *counts))
            .collect()
    }

    fn change<F>(&self, service: &ServiceId, change: F)
    where
        F: FnOnce(&mut Counts),
    {
        let mut services = lock(&self.services);
        match services.get_mut(service) {
            Some(counts) => change(counts),
            None => change(services.entry(service.clone()).or_default()),
        }
    }
}

/// Counts a request as waiting until it is dropped.
#[derive(Debug)]
pub(crate) struct WaitGuard<'a> {
    counts: &'a DemandCounts,
    service: &'a ServiceId,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let lower = |(waiting, _): &mut Counts| *waiting = waiting.saturating_sub(1);
        self.counts.change(self.service, lower);
    }
}
