/*!
Engines, callers and nodes of the relay in virtual time, under the loads at their worst.

The decisions are the relay's own, taken from its kernel; engines read prompts in chunks between the
tokens of others, hold what they read, tell their loads late, and end together by data centre. A run
is decided by its seed. Each [`Pattern`] is a load that a decision answers; the tests hold each
decision to what it brings there, against simple policies and against the relay without it.
*/

mod engine;
mod node;
mod pattern;
mod policy;
mod result;
mod run;
mod stream;

pub use pattern::Pattern;
pub use policy::{NodeConfig, BASELINES, RELAY};
pub use result::Outcome;
pub use run::run;
