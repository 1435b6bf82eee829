/*!
One generation, from its first choice of an engine to its end.

A generation stays on one version for life. Its attempts are numbered; a token is taken only from
the current attempt and only at the next position, so that late tokens of a lost engine and tokens
that arrive twice fall away. When an engine is lost, the next attempt goes on after the tokens that
the caller has.

An engine counts as silent by its own pace: when no token came for several of its recent times
between tokens, and never before a floor that an engine ten times slower than its kind stays under.
A reset connection is no proof that the engine is gone, so that its live stream is asked for first.
A node that was paused itself finds its timers late, and looks at what arrived before it judges.
*/

mod action;
mod event;
mod machine;
#[cfg(test)]
mod machine_tests;
mod token_interval;
#[cfg(test)]
mod token_interval_tests;

pub use action::{Action, Ending};
pub use event::{Event, FinishReason, Loss, NoBackend};
#[cfg(test)]
pub(crate) use machine::Mutation;
pub use machine::{Generation, Limits, Resume};
pub use token_interval::TokenInterval;
