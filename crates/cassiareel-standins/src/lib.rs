/*!
Small stand-ins of what cassiareel meets outside itself.

Each one listens on loopback, speaks the interface of the system whose place it takes, and has its
faults injected from outside, by a seed: through its handle, or over HTTP under `/control`. They are
fakes for tests and the demo, not a simulator.

- [`engine`]: a model engine.
- [`service`]: a plain service with a ledger that counts every run of each order.
- [`objects`]: the platform's object API.
- [`vms`]: the platform's VM list, which lags.
- [`weights`]: the rate-limited weight store.

A [`fleet`] runs nodes beside them in one process, a [`caller`] reads answers as a stock client would,
the [`matrix`] brings every fault about at every step, and the [`demo`] tells a story of them.
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
mod token_bucket;
#[cfg(test)]
mod token_bucket_tests;
pub mod vms;
pub mod weights;
