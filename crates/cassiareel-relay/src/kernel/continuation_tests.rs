//! An exhaustive search of the ways in which backend servers can break a stream.

use cassiareel::kernel::check::{search, Model};
use test_case::test_case;

use super::{Continuation, StopReason};

/// The number of the last event.
const LAST_EVENT: u64 = 3;

/// The limit on the states of a search, above what it needs.
const MAX_STATES: usize = 200_000;

/// A stream with its caller and the backend server that runs it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct State {
    progress: Continuation,
    /// The next event of the open run, if there is one.
    run: Option<u64>,
    /// The events that the caller received.
    received: Vec<u64>,
    /// The number of backend servers that run the stream.
    running: u32,
    /// Whether the caller saw the stream end as complete.
    complete: bool,
    /// Whether the caller received the answer that the stream did not run.
    reported_not_run: bool,
    /// Whether any backend server began to run the stream.
    ran: bool,
    ended: bool,
}

/// The kind of stream, and the checks that a broken relay omits.
#[derive(Clone, Copy, Debug, Default)]
struct Streams {
    repeatable: bool,
    /// The relay passes on events that do not follow the last one.
    skips_order_check: bool,
    /// The relay does not close the connection of a run that it gives up.
    skips_close: bool,
}

impl Streams {
    /// An event arrives.
    fn event(self, state: &State, id: u64) -> State {
        let mut next = state.clone();
        let accepted = next.progress.accept_event(Some(id));
        if accepted || self.skips_order_check {
            next.received.push(id);
            next.run = Some(id + 1);
            return next;
        }
        self.lose(&next)
    }

    /// The run is given up. A correct relay closes its connection before it continues elsewhere.
    fn lose(self, state: &State) -> State {
        let mut next = state.clone();
        next.run = None;
        if !self.skips_close {
            next.running = 0;
        }
        if next.progress.may_send().is_err() {
            next.reported_not_run = next.progress.stop_reason() == StopReason::NotRun;
            next.ended = true;
        }
        next
    }

    fn send(state: &State) -> State {
        let mut next = state.clone();
        next.progress.record_send();
        next.progress.record_run();
        next.ran = true;
        next.running += 1;
        next.run = Some(next.progress.last_event().map_or(1, |last| last + 1));
        next
    }
}

impl Model for Streams {
    type State = State;

    fn initial(&self) -> State {
        State {
            progress: Continuation::new(None, 3, self.repeatable),
            run: None,
            received: Vec::new(),
            running: 0,
            complete: false,
            reported_not_run: false,
            ran: false,
            ended: false,
        }
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        if state.ended || state.received.len() > 5 {
            return Vec::new();
        }
        let Some(next) = state.run else {
            let mut refused = state.clone();
            refused.progress.record_send();
            let refused = if refused.progress.may_send().is_ok() {
                refused
            } else {
                self.lose(&refused)
            };
            return vec![
                ("sent".to_owned(), Streams::send(state)),
                ("not run".to_owned(), refused),
            ];
        };
        let mut steps = vec![("run lost".to_owned(), self.lose(state))];
        if next > LAST_EVENT {
            let mut done = state.clone();
            (done.complete, done.ended) = (true, true);
            steps.push(("ends".to_owned(), done));
        } else {
            steps.push(("event".to_owned(), self.event(state, next)));
            steps.push(("gap".to_owned(), self.event(state, next + 1)));
        }
        if next > 1 {
            steps.push(("duplicate event".to_owned(), self.event(state, next - 1)));
        }
        steps
    }

    fn invariant(&self, state: &State) -> Result<(), &'static str> {
        let whole: Vec<u64> = (1..).take(state.received.len()).collect();
        // A gap before the first event looks the same as a caller that has the earlier events.
        let gap = state.received.first().is_some_and(|first| *first != 1);
        if state.received != whole && !gap {
            return Err("the caller must receive each event once and in order");
        }
        if state.complete && state.received.last() != Some(&LAST_EVENT) {
            return Err("the stream must end only after its last event");
        }
        if state.running > 1 {
            return Err("at most one backend server may run the stream at a time");
        }
        if state.reported_not_run && state.ran {
            return Err("a stream that ran must not be reported as not run");
        }
        Ok(())
    }
}

#[test]
fn streams_are_whole_whatever_backend_servers_do() {
    for repeatable in [false, true] {
        let model = Streams {
            repeatable,
            ..Streams::default()
        };
        let report = search(&model, MAX_STATES);
        assert!(report.violation.is_none(), "{report}");
        assert!(report.states > 20, "{report}");
    }
}

#[test]
fn the_search_finds_the_faults_of_broken_relays() {
    let broken = [
        Streams {
            skips_order_check: true,
            ..Streams::default()
        },
        Streams {
            skips_close: true,
            repeatable: true,
            ..Streams::default()
        },
    ];
    for model in broken {
        let report = search(&model, MAX_STATES);
        assert!(report.violation.is_some(), "{model:?}: {report}");
    }
}

#[test_case(0; "no run was lost")]
#[test_case(1; "a run was lost")]
fn a_stream_whose_backend_servers_fail_runs_no_more_often_than_allowed(lost: u32) {
    let max_runs = 5;
    let mut progress = Continuation::new(None, max_runs, true);
    for _ in 0..lost {
        progress.record_send();
        progress.record_run();
    }
    let mut failures = 0;
    while progress.may_send().is_ok() {
        progress.record_send();
        progress.record_failure();
        failures += 1;
    }
    assert_eq!(failures, max_runs);
}
