/*!
Stand-ins for the external systems with which cassiareel communicates.

Each stand-in listens on a loopback address and has the interface of the system that it replaces.
The engine, the service and the object API have injected faults with a seed, which are set through
the handle or over HTTP under `/control`. The stand-ins are fakes for tests and the demo, not a
simulator.

- [`engine`]: a model engine.
- [`service`]: a plain service with a ledger that counts every run of each order.
- [`objects`]: the platform's object API.
- [`vms`]: the platform's VM list, which lags behind.
- [`weights`]: the rate-limited weight store.

Engines and services can fall silent for a time, as sound servers may ([`silence`]).

A [`fleet`] runs nodes together with the stand-ins in one process, a [`caller`] reads answers like a
standard client, the [`matrix`] injects every fault at every step, and the [`demo`] shows a
deployment under faults.
*/

pub mod caller;
mod channel_body;
pub mod demo;
pub mod engine;
pub mod fleet;
pub mod matrix;
pub mod objects;
mod respond;
pub mod service;
pub mod silence;
mod token_bucket;
#[cfg(test)]
mod token_bucket_tests;
pub mod vms;
pub mod weights;
