/*!
The state machine of one generation, from the first choice of an engine to the end of the answer.

A generation stays on one version for its whole life. Its attempts are numbered. A token is accepted
only from the current attempt and only at the next position, so that late tokens of a lost engine
and duplicate tokens are dropped. When an engine is lost, the next attempt continues after the
tokens that the caller has.

Whether an engine is silent depends on its own speed: it is silent if no token has arrived for
several of its recent token intervals, but never before a minimum time. The minimum is long enough
that an engine ten times slower than typical does not exceed it. A reset connection does not prove
that the engine is gone, so the machine first tries to reattach to its live stream. If the node
itself was paused, its timers fire late; it then processes what has arrived before it declares an
engine lost.
*/

mod action;
mod event;
mod machine;
#[cfg(test)]
mod machine_tests;
#[cfg(test)]
mod silence_tests;
mod token_interval;
#[cfg(test)]
mod token_interval_tests;

pub use action::{Action, Ending};
pub use event::{Event, FinishReason, Loss, NoBackend};
#[cfg(test)]
pub(crate) use machine::Mutation;
pub use machine::{Generation, Limits, Resume};
pub use token_interval::TokenInterval;
