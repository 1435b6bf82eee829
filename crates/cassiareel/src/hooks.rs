/*!
Hooks at named steps of the protocols, where tests inject faults.

The task that runs a request calls the hook at each [`Step`]. A daemon uses [`NoHooks`], with which a
step costs one virtual call. A test stops the task exactly at a step, injects a fault and lets the task
continue, so that no fault depends on timing.
*/

use std::fmt;

use crate::wire::BoxFuture;

/// A step of a protocol.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Step {
    /// A backend server was chosen for an attempt, and nothing was sent yet.
    AttemptChosen,
    /// An attempt was started at its engine.
    AttemptOpened,
    /// Tokens were received from the engine and not yet forwarded.
    TokensTaken,
    /// Tokens were forwarded to the caller's connection.
    TokensPassed,
    /// The engine ended the answer, and the end was not yet forwarded to the caller.
    AnswerEnded,
    /// An order's record is about to be created.
    OrderRecording,
    /// An order's record was created, and nothing was sent to the service yet.
    OrderRecorded,
    /// The service answered an order, and the outcome is not stored yet.
    OrderAnswered,
    /// An order's outcome is stored, and was not yet sent to the caller.
    OrderStored,
}

/// Hooks at the steps of the protocols.
pub trait Hooks: Send + Sync {
    /// Called at a step; the task waits for the returned future before it continues.
    fn on_step(&self, step: Step) -> Option<BoxFuture<'static, ()>>;
}

/// Hooks that do nothing.
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

/// Calls the hook for a step and waits for its future.
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
