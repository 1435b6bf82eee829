//! Lets requests in, service by service, and tells those that are turned away when to come back.

use std::{collections::HashMap, sync::Mutex, time::Duration};

use cassiareel::{kernel::admission::Throttled, runtime::lock};

use crate::{
    clock,
    kernel::{AdmissionRequest, ServiceLoad},
    model::{Prompt, ServiceId},
};

/// The loads of all services, as this node sees them.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    services: Mutex<HashMap<ServiceId, ServiceLoad>>,
}

/// A request that was let in.
#[derive(Clone, Debug)]
pub(crate) struct Admitted {
    /// Whose it is and what it costs.
    pub claim: AdmissionRequest,
    /// The part of a backend server's room that it has to leave to others.
    pub reserve: f64,
}

impl Admission {
    /// The cost of a request, in usual ones of its service.
    pub(crate) fn units(&self, service: &ServiceId, prompt: &Prompt) -> f64 {
        self.with(service, |load| load.relative_cost(prompt))
    }

    /// Counts a request, and lets it in or not.
    pub(crate) fn admit(
        &self,
        service: &ServiceId,
        claim: &AdmissionRequest,
    ) -> Result<f64, Throttled> {
        let (now, random) = (clock::now(), fastrand::f64());
        self.with(service, |load| load.admit(claim, now, random))
    }

    /// Notes that a request that was let in was not served, or not in time.
    pub(crate) fn note_unserved(&self, service: &ServiceId, claim: &AdmissionRequest) {
        self.with(service, |load| load.record_unserved(claim, clock::now()));
    }

    /// When a caller may come back.
    pub(crate) fn retry_after(&self, service: &ServiceId, objective: Duration) -> Duration {
        let (now, random) = (clock::now(), fastrand::f64());
        self.with(service, |load| load.retry_after(objective, now, random))
    }

    /// Reports whether a copy of a run's memory may be made.
    pub(crate) fn may_copy(&self, service: &ServiceId) -> bool {
        self.with(service, |load| load.may_copy(fastrand::f64()))
    }

    /// Reads or changes the load of a service.
    pub(crate) fn with<F, T>(&self, service: &ServiceId, change: F) -> T
    where
        F: FnOnce(&mut ServiceLoad) -> T,
    {
        let mut services = lock(&self.services);
        match services.get_mut(service) {
            Some(load) => change(load),
            None => change(services.entry(service.clone()).or_default()),
        }
    }
}
