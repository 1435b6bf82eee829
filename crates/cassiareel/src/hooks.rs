/*!
Named steps of the protocols, at which tests bring faults about.

A driver passes each [`Step`] on its way. In a daemon nothing listens and a step costs one virtual
call; a test holds a driver exactly at a step, kills, freezes or cuts something, and lets it go on,
so that no fault depends on timing.
*/

use std::fmt;

use crate::wire::BoxFuture;

/// A step of a protocol.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Step {
    /// A backend server was chosen for an attempt, and nothing was sent.
    AttemptChosen,
    /// An attempt was opened at its engine.
    AttemptOpened,
    /// Tokens were taken from the engine and not yet passed on.
    TokensTaken,
    /// Tokens were passed on to the caller's connection.
    TokensPassed,
    /// The engine ended the answer, and the caller does not have the end.
    AnswerEnded,
    /// An order's record is about to be created.
    OrderRecording,
    /// An order's record stands, and nothing was sent to the service.
    OrderRecorded,
    /// The service answered, and the outcome is not stored.
    OrderAnswered,
    /// The outcome is stored, and the caller does not have it.
    OrderStored,
}

/// Listens to steps.
pub trait Hooks: Send + Sync {
    /// Is told of a step; the driver waits for the returned future.
    fn on_step(&self, step: Step) -> Option<BoxFuture<'static, ()>>;
}

/// Listens to nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoHooks;

impl Hooks for NoHooks {
    fn on_step(&self, _step: Step) -> Option<BoxFuture<'static, ()>> {
        None
    }
}

impl fmt::Debug for dyn Hooks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Hooks")
    }
}

/// Passes a step.
///
/// # Examples
///
/// ```
/// use cassiareel::hooks::{run_hook, NoHooks, Step};
///
/// smol::block_on(run_hook(&NoHooks, Step::OrderRecorded));
/// ```
pub async fn run_hook(hooks: &dyn Hooks, step: Step) {
    if let Some(wait) = hooks.on_step(step) {
        wait.await;
    }
}
