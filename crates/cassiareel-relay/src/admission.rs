//! Admits requests service by service, and returns when rejected ones may be retried.

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

/// An admitted request.
#[derive(Clone, Debug)]
pub(crate) struct Admitted {
    /// The client account of the request and its cost.
    pub claim: AdmissionRequest,
    /// The part of a backend server's capacity that the request has to leave to others.
    pub reserve: f64,
}

impl Admission {
    /// Returns the cost of a request, in units of a typical request of its service.
    pub(crate) fn units(&self, service: &ServiceId, prompt: &Prompt) -> f64 {
        self.with_load(service, |load| load.relative_cost(prompt))
    }

    /// Counts a request, and admits or rejects it.
    pub(crate) fn admit(
        &self,
        service: &ServiceId,
        claim: &AdmissionRequest,
    ) -> Result<f64, Throttled> {
        let (now, random) = (clock::now(), fastrand::f64());
        self.with_load(service, |load| load.admit(claim, now, random))
    }

    /// Records that an admitted request was not served, or not in time.
    pub(crate) fn note_unserved(&self, service: &ServiceId, claim: &AdmissionRequest) {
        self.with_load(service, |load| load.record_unserved(claim, clock::now()));
    }

    /// Returns when a caller may retry.
    pub(crate) fn retry_after(&self, service: &ServiceId, objective: Duration) -> Duration {
        let (now, random) = (clock::now(), fastrand::f64());
        self.with_load(service, |load| load.retry_after(objective, now, random))
    }

    /// Reports whether a copy of a run's memory may be made.
    pub(crate) fn may_copy(&self, service: &ServiceId) -> bool {
        self.with_load(service, |load| load.may_copy(fastrand::f64()))
    }

    /// Reads or changes the load of a service.
    pub(crate) fn with_load<F, T>(&self, service: &ServiceId, change: F) -> T
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
