/*!
The progress of an event stream that several backend servers may continue in turn.

The caller must receive each event once and in order, and the end of the stream only after the last
event. A run whose next event does not follow the previous one counts as lost, and another backend
server continues the stream after its last event. The number of runs is limited, to bound the load
on the backend servers.
*/

/// The number of sends allowed beyond the runs, for sends that no backend server ran.
const SPARE_SENDS: u32 = 4;

/// The progress of one event stream.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Continuation {
    last_event: Option<u64>,
    max_runs: u32,
    repeatable: bool,
    sends: u32,
    runs: u32,
    /// The runs that their backend servers ended with a failure.
    failures: u32,
}

/// The reason why a stream may not be sent again.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum StopReason {
    /// No backend server ran it, and none is left to try.
    NotRun,
    /// A backend server may have run it.
    MayHaveRun,
}

impl Continuation {
    /// Returns the progress of a stream of which the caller has the events up to `last_event`. It
    /// may run at up to `max_runs` backend servers if it is `repeatable`, and at most once
    /// otherwise. One more run may take the place of one that was lost with its backend server.
    pub fn new(last_event: Option<u64>, max_runs: u32, repeatable: bool) -> Continuation {
        Continuation {
            last_event,
            max_runs,
            repeatable,
            sends: 0,
            runs: 0,
            failures: 0,
        }
    }

    /// Returns the number of the last event that the caller has.
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Reports whether the stream was sent before.
    pub fn was_sent(&self) -> bool {
        self.sends > 0
    }

    /// Checks whether the stream may be sent to one more backend server.
    ///
    /// # Errors
    ///
    /// Fails with the reason if it may not.
    pub fn may_send(&self) -> Result<(), StopReason> {
        let may_repeat = self.repeatable || self.runs == 0;
        let within_limits = self.sends < self.max_runs + SPARE_SENDS
            && self.failures < self.max_runs
            && self.runs <= self.max_runs;
        if may_repeat && within_limits {
            Ok(())
        } else {
            Err(self.stop_reason())
        }
    }

    /// Reports whether another run may take the place of the one that the last send began. `ran`
    /// states whether that run was already recorded.
    pub fn may_replace(&self, ran: bool) -> bool {
        let mut lost = *self;
        if !ran {
            lost.record_run();
        }
        lost.may_send().is_ok()
    }

    /// Returns the reason to give if the stream is not sent again.
    pub fn stop_reason(&self) -> StopReason {
        if self.runs == 0 {
            StopReason::NotRun
        } else {
            StopReason::MayHaveRun
        }
    }

    /// Records a send.
    pub fn record_send(&mut self) {
        self.sends += 1;
    }

    /// Records that a backend server may have run the last send.
    pub fn record_run(&mut self) {
        self.runs += 1;
    }

    /// Records that a backend server ran the last send and answered with a failure.
    pub fn record_failure(&mut self) {
        self.record_run();
        self.failures += 1;
    }

    /// Records an event; returns `false` if it does not follow the last one. An event without a
    /// number is always accepted.
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
