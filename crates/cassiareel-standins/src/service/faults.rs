//! What goes wrong with a service, as its control interface sets it.

use serde::{Deserialize, Serialize};

/// The faults of a service. Chances are from 0 to 1, and at most one of them meets a call.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Time before each order runs, in milliseconds.
    pub delay_ms: u64,
    /// The chance of a refusal that says that the order did not run.
    pub refuse: f64,
    /// The chance of status 500 before the order runs, which says nothing.
    pub fail: f64,
    /// The chance of a connection that is reset before the order runs.
    pub lose_before: f64,
    /// The chance of a connection that is reset after the order ran.
    pub lose_after: f64,
    /// The chance of an order that runs, and whose answer never comes.
    pub hang: f64,
    /// The chance of an order that runs after its caller was given up.
    pub late: f64,
    /// The chance of the answer to an earlier call in place of the own one.
    pub cross: f64,
}

/// What meets a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallFault {
    /// Refused as not run.
    Refused,
    /// Failed with status 500 before it ran.
    Failed,
    /// Reset before it ran.
    ResetBefore,
    /// Reset after it ran.
    ResetAfter,
    /// Ran, and never answered.
    Hung,
    /// Reset, and run later.
    RunLate,
    /// Ran, and answered with an earlier answer.
    EarlierAnswer,
}

impl Faults {
    /// The loss that a random number from 0 to 1 draws.
    pub(super) fn draw(&self, draw: f64) -> Option<CallFault> {
        let chances = [
            (self.refuse, CallFault::Refused),
            (self.fail, CallFault::Failed),
            (self.lose_before, CallFault::ResetBefore),
            (self.lose_after, CallFault::ResetAfter),
            (self.hang, CallFault::Hung),
            (self.late, CallFault::RunLate),
            (self.cross, CallFault::EarlierAnswer),
        ];
        let mut sum = 0.0;
        chances
            .into_iter()
            .find(|(chance, _)| {
                sum += chance;
                draw < sum
            })
            .map(|(_, loss)| loss)
    }
}
