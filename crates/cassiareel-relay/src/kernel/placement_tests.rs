//! Each case is a load, and the backend server that has to get the request.

use std::time::Duration;

use test_case::test_case;

use super::{choose, Candidate, RequestDemand};

const ENGINE: RequestDemand = RequestDemand {
    input: 5_000,
    peak_tokens: 6_000,
    capacity: Some(55_000),
};

fn candidate() -> Candidate {
    Candidate {
        local: true,
        slots: 12,
        ..Candidate::default()
    }
}

struct Case {
    need: RequestDemand,
    /// The first is the one that must not be chosen, the second the one that must.
    pair: [Candidate; 2],
}

#[test_case(&Case { need: ENGINE, pair: [
    Candidate { unread_tokens: 5_000, open_requests: 1, ..candidate() },
    Candidate { open_requests: 2, ..candidate() },
]}; "a prompt that is being read delays the first event more than running requests")]
#[test_case(&Case { need: ENGINE, pair: [
    Candidate { peak_tokens: 50_000, ..candidate() },
    Candidate { unread_tokens: 10_000, open_requests: 3, ..candidate() },
]}; "memory that is full at the end preempts someone")]
#[test_case(&Case { need: ENGINE, pair: [
    Candidate { suspect: true, ..candidate() },
    Candidate { unread_tokens: 5_000, open_requests: 4, local: false, ..candidate() },
]}; "a suspect engine")]
#[test_case(&Case { need: ENGINE, pair: [
    Candidate { tried: true, ..candidate() },
    Candidate { suspect: true, ..candidate() },
]}; "an engine that just lost this request")]
#[test_case(&Case { need: ENGINE, pair: [
    Candidate { excluded: true, ..candidate() },
    Candidate { tried: true, suspect: true, ..candidate() },
]}; "one that leaves, though nothing else is left")]
#[test_case(&Case { need: RequestDemand::default(), pair: [
    Candidate { slots: 6, open_requests: 9, ..candidate() },
    Candidate { slots: 6, open_requests: 2, local: false, ..candidate() },
]}; "a queue costs more than another data centre")]
#[test_case(&Case { need: RequestDemand::default(), pair: [
    Candidate { slots: 6, error_rate: 0.6, ..candidate() },
    Candidate { slots: 6, error_rate: 0.14, open_requests: 3, ..candidate() },
]}; "one that fails far more often than the service")]
fn the_load_decides(case: &Case) {
    for random in [0.0, 0.5, 0.99] {
        assert_eq!(choose(&case.pair, case.need, || random), Some(1));
    }
}

#[test]
fn nothing_is_chosen_where_all_leave() {
    let closed = Candidate {
        excluded: true,
        ..candidate()
    };
    assert_eq!(choose(&[closed], ENGINE, || 0.5), None);
}

/// Several nodes see the same late loads. They must not all choose the same engine.
#[test]
fn nodes_with_the_same_reports_spread() {
    let candidates: Vec<Candidate> = (0..36)
        .map(|i| Candidate {
            other_requests: u32::from(i % 3 != 0),
            report_age: Duration::from_millis(300),
            ..candidate()
        })
        .collect();
    let mut random = fastrand::Rng::with_seed(7);
    let mut chosen: Vec<usize> = (0..6)
        .filter_map(|_| choose(&candidates, ENGINE, || random.f64()))
        .collect();
    chosen.sort_unstable();
    chosen.dedup();
    assert!(chosen.len() >= 4, "{chosen:?}");
}
