/*!
Small stand-ins of what cassiareel meets outside itself.

Each one listens on loopback, speaks the interface of the system whose place it takes, and has its
faults injected from outside. They are fakes for tests and the demo, not a simulator: a model
[`engine`] and an object API ([`objects`]). A [`fleet`] runs nodes beside them in one process, and a
[`caller`] reads answers as a stock client would.
*/

pub mod caller;
pub mod engine;
mod feed;
pub mod fleet;
pub mod matrix;
pub mod objects;
mod respond;
