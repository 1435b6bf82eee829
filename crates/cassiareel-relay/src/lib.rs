/*!
Forwards callers' requests to backend servers, byte for byte, and resumes event streams when a
backend server is lost.

The OpenAI front of the [`cassiareel`] crate understands what it serves. This crate serves callers
whose requests it must not change: it routes by host and path, checks keys, bounds retries, and
resumes a broken event stream at another backend server.

Dependencies point one way:

- [`kernel`] holds the decisions as plain values: they take a time and facts, and return a choice.
- [`model`] holds the types of what the operator configures and the registry lists.
- [`source`] and [`protocol`] are the traits that a platform's adapter implements.
- `net`, `front` and `follow` are the connections, the requests, and the tasks that keep the node's
  view of the system up to date.
- [`node`] puts them together and runs until a signal stops it.
*/

mod admission;
mod backends;
#[cfg(test)]
mod backends_tests;
mod backoff;
#[cfg(test)]
mod backoff_tests;
pub mod clock;
pub mod duties;
mod follow;
mod front;
mod holds;
#[cfg(test)]
mod holds_tests;
pub mod kernel;
pub mod metrics;
pub mod model;
pub mod net;
pub mod node;
mod peers;
pub mod protocol;
mod rollouts;
pub mod settings;
#[cfg(test)]
mod settings_tests;
mod signals;
pub mod source;
mod state;
mod usage_meter;
#[cfg(test)]
mod usage_meter_tests;
mod usage_metrics;
