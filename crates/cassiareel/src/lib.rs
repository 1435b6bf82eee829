/*!
A serving system for long generations on engines that fail.

cassiareel forwards requests between callers and backend servers. It gives each caller the complete
answer to its own request, runs non-idempotent work at most once, moves traffic between versions within
a time limit and rolls back bad versions. Every VM runs the same daemon. State that nodes must agree on
or keep is stored as objects in the platform's object API; all other state may be lost.

The crate is layered so that dependencies point one way, from adapters to the [`kernel`]:

- [`kernel`] contains all decisions as pure state machines: events and a time in, actions out.
- [`settings`] is the typed tree that operators edit.
- [`store`], [`backend`] and [`peer`] access other systems through traits and thin HTTP adapters.
- [`engines`] is a node's table of backend servers, from which requests choose without a lock, and
  [`fleet_limits`] holds the limits that these name for all nodes together.
- [`front`] serves callers and operators, [`control`] runs moves and placements, and [`observe`] writes
  the log of decisions and the metrics.
- [`wire`] provides HTTP by a library with the checks that it lacks, and [`runtime`] provides executors
  and threads.
*/

pub mod backend;
pub mod body_budget;
pub mod control;
pub mod engines;
pub mod fleet_limits;
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
