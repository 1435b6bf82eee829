/*!
What may follow in an event stream that goes on over several backend servers.

The caller must get each event once and in order, and the end only after the last one. An event may
follow only the one before it; what does not fit is a lost run, and the stream goes on elsewhere
after its last event. How often it may go on is bounded, for the backend servers' sake.
*/

/// Sends beyond the allowed runs that ran nowhere.
const SPARE_SENDS: u32 = 4;

/// The progress of one stream.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Continuation {
    last_event: Option<u64>,
    max_runs: u32,
    repeatable: bool,
    sends: u32,
    runs: u32,
}

/// Why a stream may not be sent again.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum StopReason {
    /// It ran nowhere, and no backend server is left to try.
    NotRun,
    /// It may have run.
    MayHaveRun,
}

impl Continuation {
    /// A stream of which the caller has the events up to `last`, that may run at `attempts` backend
    /// servers, more than once where `repeats` is true.
    pub fn new(last: Option<u64>, attempts: u32, repeats: bool) -> Continuation {
        Continuation {
            last_event: last,
            max_runs: attempts,
            repeatable: repeats,
            sends: 0,
            runs: 0,
        }
    }

    /// The last event that the caller has.
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Reports whether the stream was sent before.
    pub fn was_sent(&self) -> bool {
        self.sends > 0
    }

    /// Reports whether it may be sent to one more backend server.
    ///
    /// # Errors
    ///
    /// Fails with what the caller may be told.
    pub fn may_send(&self) -> Result<(), StopReason> {
        let again = self.repeatable || self.runs == 0;
        let room = self.sends < self.max_runs + SPARE_SENDS && self.runs <= self.max_runs;
        if again && room {
            Ok(())
        } else {
            Err(self.stop_reason())
        }
    }

    /// What the caller may be told where it is not sent again.
    pub fn stop_reason(&self) -> StopReason {
        if self.runs == 0 {
            StopReason::NotRun
        } else {
            StopReason::MayHaveRun
        }
    }

    /// Notes a send.
    pub fn record_send(&mut self) {
        self.sends += 1;
    }

    /// Notes that the last send may have run.
    pub fn record_run(&mut self) {
        self.runs += 1;
    }

    /// Takes in an event; `false` where it does not follow the last one. An event without a number
    /// is taken as it comes.
    pub fn accept_event(&mut self, id: Option<u64>) -> bool {
        let follows = match (self.last_event, id) {
            (Some(last), Some(id)) => id == last + 1,
            _ => true,
        };
        if follows {
            self.last_event = id.or(self.last_event);
        }
        follows
    }
}
