/*!
One generation, from its first choice of an engine to its end.

A generation stays on one version for life. Its attempts are numbered; a token is taken only from
the current attempt and only at the next position, so that late tokens of a lost engine and tokens
that arrive twice fall away. When an engine is lost, the next attempt goes on after the tokens that
the caller has.
*/

mod action;
mod event;
mod machine;

pub use action::{Action, Ending};
pub use event::{Event, FinishReason, Loss, NoBackend};
pub use machine::{Generation, Limits, Resume};
