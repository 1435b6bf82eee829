//! Every way in which two backend servers can break a stream, searched exhaustively.

use cassiareel::kernel::check::{search, Model};

use super::{Continuation, StopReason};

/// The number of the last event.
const LAST: u64 = 3;

/// More states than the search may need.
const BOUND: usize = 200_000;

/// A stream with its caller and the backend server that works on it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct State {
    progress: Continuation,
    /// The next event of the run, where one is open.
    run: Option<u64>,
    /// What the caller got.
    got: Vec<u64>,
    /// Backend servers at work.
    working: u32,
    /// Whether the caller saw the stream end as complete.
    complete: bool,
    /// Whether the caller was told that nothing ran.
    denied: bool,
    /// Whether any backend server began to run it.
    ran: bool,
    ended: bool,
}

/// The environment, and what a broken relay leaves out.
#[derive(Clone, Copy, Debug, Default)]
struct Streams {
    repeats: bool,
    unchecked: bool,
    unclosed: bool,
}

impl Streams {
    /// An event arrives.
    fn event(self, state: &State, id: u64) -> State {
        let mut next = state.clone();
        let taken = next.progress.accept_event(Some(id));
        if taken || self.unchecked {
            next.got.push(id);
            next.run = Some(id + 1);
            return next;
        }
        self.lose(&next)
    }

    /// The run is given up; a sound relay closes its connection before it goes on.
    fn lose(self, state: &State) -> State {
        let mut next = state.clone();
        next.run = None;
        if !self.unclosed {
            next.working = 0;
        }
        if next.progress.may_send().is_err() {
            next.denied = next.progress.stop_reason() == StopReason::NotRun;
            next.ended = true;
        }
        next
    }

    fn send(state: &State) -> State {
        let mut next = state.clone();
        next.progress.record_send();
        next.progress.record_run();
        next.ran = true;
        next.working += 1;
        next.run = Some(next.progress.last_event().map_or(1, |last| last + 1));
        next
    }
}

impl Model for Streams {
    type State = State;

    fn initial(&self) -> State {
        State {
            progress: Continuation::new(None, 3, self.repeats),
            run: None,
            got: Vec::new(),
            working: 0,
            complete: false,
            denied: false,
            ran: false,
            ended: false,
        }
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        if state.ended || state.got.len() > 5 {
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
        if next > LAST {
            let mut done = state.clone();
            (done.complete, done.ended) = (true, true);
            steps.push(("ends".to_owned(), done));
        } else {
            steps.push(("event".to_owned(), self.event(state, next)));
            steps.push(("hole".to_owned(), self.event(state, next + 1)));
        }
        if next > 1 {
            steps.push(("repeat".to_owned(), self.event(state, next - 1)));
        }
        steps
    }

    fn invariant(&self, state: &State) -> Result<(), &'static str> {
        let whole: Vec<u64> = (1..).take(state.got.len()).collect();
        // A hole before the first event can't be told from a caller that has the events before.
        let gap = state.got.first().is_some_and(|first| *first != 1);
        if state.got != whole && !gap {
            return Err("each event comes once and in order");
        }
        if state.complete && state.got.last() != Some(&LAST) {
            return Err("the end comes after the last event");
        }
        if state.working > 1 {
            return Err("one backend server works on it at a time");
        }
        if state.denied && state.ran {
            return Err("what ran is not said not to have run");
        }
        Ok(())
    }
}

#[test]
fn streams_are_whole_whatever_backend_servers_do() {
    for repeats in [false, true] {
        let model = Streams {
            repeats,
            ..Streams::default()
        };
        let report = search(&model, BOUND);
        assert!(report.violation.is_none(), "{report}");
        assert!(report.states > 20, "{report}");
    }
}

#[test]
fn broken_relays_are_caught() {
    let broken = [
        Streams {
            unchecked: true,
            ..Streams::default()
        },
        Streams {
            unclosed: true,
            repeats: true,
            ..Streams::default()
        },
    ];
    for model in broken {
        let report = search(&model, BOUND);
        assert!(report.violation.is_some(), "{model:?}: {report}");
    }
}
