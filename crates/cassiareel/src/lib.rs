/*!
A serving system for long generations on engines that fail.

cassiareel stands between callers and backend servers. It answers each caller with its own complete
answer, runs non-idempotent work at most once, moves traffic between versions in time and takes bad
versions back. Every VM runs the same daemon; what must be agreed or kept is an object in the
platform's object API, and all other state can be lost.

The crate is layered so that dependencies point one way, from adapters to the [`kernel`]:

- [`kernel`] holds every decision as a pure state machine: events and a time in, actions out.
- [`settings`] is the typed tree that operators edit.
- [`store`], [`backend`] and [`peer`] meet the outside through traits and thin HTTP adapters.
- [`engines`] is a node's table of backend servers, which requests choose from without a lock.
- [`front`] serves callers and operators, [`control`] drives moves and placements, and [`observe`]
  writes the decision log and the metrics.
- [`wire`] and [`runtime`] are the plumbing: HTTP by library with the checks it lacks, and threads.
*/

pub mod backend;
pub mod control;
pub mod engines;
pub mod front;
pub mod hooks;
pub mod kernel;
pub mod node;
pub mod observe;
pub mod orders;
pub mod peer;
pub mod plugin;
pub mod runtime;
pub mod settings;
pub mod store;
pub mod wire;
