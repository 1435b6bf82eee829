/*!
Simulates engines, callers and nodes of the relay in virtual time, under adverse loads.

The decisions are the relay's own, from its kernel. Engines prefill prompts in chunks between the
tokens of other streams, keep the prompts in memory, report their load late, and crash together by
data centre. The seed determines the run. Each [`Pattern`] is a load that one of the decisions
addresses; the tests check the benefit of each decision against simple policies and against the
relay without it.
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
