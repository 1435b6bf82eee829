//! Injected faults of a service, as its control interface reads and writes them.

use serde::{Deserialize, Serialize};

/// The injected faults of a service. Probabilities are from 0 to 1, and a call has at most one fault
/// besides the delay.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The delay before each order runs, in milliseconds.
    pub delay_ms: u64,
    /// The probability of a refusal that states that the order did not run.
    pub refuse: f64,
    /// The probability of status 500 without a run, which does not state whether the order ran.
    pub fail: f64,
    /// The probability that the connection is reset and the order does not run.
    pub lose_before: f64,
    /// The probability that the order runs and then the connection is reset.
    pub lose_after: f64,
    /// The probability that the order runs and is never answered.
    pub hang: f64,
    /// The probability that the connection is reset and the order runs some time later.
    pub late: f64,
    /// The probability that the order runs and is answered with the answer to an earlier call.
    pub cross: f64,
    /// The limit that each answer names, in requests a second from all nodes.
    pub request_limit: Option<f64>,
}

/// The injected fault of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallFault {
    /// The call is refused with the statement that the order did not run.
    Refused,
    /// The call fails with status 500, and the order does not run.
    Failed,
    /// The connection is reset, and the order does not run.
    ResetBefore,
    /// The order runs, and then the connection is reset.
    ResetAfter,
    /// The order runs, and the call is never answered.
    Hung,
    /// The connection is reset, and the order runs later.
    RunLate,
    /// The order runs, and the call is answered with the answer to an earlier call.
    EarlierAnswer,
}

impl Faults {
    /// Returns the fault for a random number `draw` from 0 to 1, if any.
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
