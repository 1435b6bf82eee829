//! Which backend server is chosen under a given load.

use std::time::Duration;

use test_case::test_case;

use super::{choose, Candidate, RequestDemand, SEARCHED_ENGINES};
use crate::kernel::PROBED_ENGINES;

const ENGINE_DEMAND: RequestDemand = RequestDemand {
    input: 5_000,
    peak_tokens: 6_000,
    capacity: Some(55_000),
    contended: false,
};

fn candidate() -> Candidate {
    Candidate {
        local: true,
        slots: 12,
        ..Candidate::default()
    }
}

/// A backend server of a plain service that reports work times.
fn paced() -> Candidate {
    Candidate {
        slots: 6,
        service_time: Some(60.0),
        work_factor: Some(1.0),
        ..candidate()
    }
}

struct Case {
    demand: RequestDemand,
    /// A candidate that must not be chosen, and one that must.
    pair: [Candidate; 2],
}

#[test_case(&Case { demand: ENGINE_DEMAND, pair: [
    Candidate { unread_tokens: 5_000, open_requests: 1, ..candidate() },
    Candidate { open_requests: 2, ..candidate() },
]}; "a prompt that is being prefilled delays the first event more than running requests")]
#[test_case(&Case { demand: ENGINE_DEMAND, pair: [
    Candidate { peak_tokens: 50_000, ..candidate() },
    Candidate { unread_tokens: 10_000, open_requests: 3, ..candidate() },
]}; "an engine whose memory will not suffice preempts a request")]
#[test_case(&Case { demand: ENGINE_DEMAND, pair: [
    Candidate { suspect: true, ..candidate() },
    Candidate { unread_tokens: 5_000, open_requests: 4, local: false, ..candidate() },
]}; "a suspect engine")]
#[test_case(&Case { demand: ENGINE_DEMAND, pair: [
    Candidate { tried: true, ..candidate() },
    Candidate { suspect: true, ..candidate() },
]}; "an engine that just lost this request")]
#[test_case(&Case { demand: ENGINE_DEMAND, pair: [
    Candidate { excluded: true, ..candidate() },
    Candidate { tried: true, suspect: true, ..candidate() },
]}; "an excluded engine is not chosen even if no other is left")]
#[test_case(&Case { demand: RequestDemand::default(), pair: [
    Candidate { slots: 6, open_requests: 9, ..candidate() },
    Candidate { slots: 6, open_requests: 2, local: false, ..candidate() },
]}; "a queue costs more than another data centre")]
#[test_case(&Case { demand: RequestDemand::default(), pair: [
    Candidate { slots: 6, error_rate: 0.6, ..candidate() },
    Candidate { slots: 6, error_rate: 0.14, open_requests: 3, ..candidate() },
]}; "a backend server that fails far more often than its service")]
#[test_case(&Case { demand: RequestDemand::default(), pair: [
    Candidate { work_factor: Some(4.0), ..paced() },
    Candidate { work_factor: Some(1.0), open_requests: 1, ..paced() },
]}; "a machine that is slow now")]
#[test_case(&Case { demand: RequestDemand::default(), pair: [
    Candidate { usual_requests: 9.0, report_age: Duration::from_secs(2), ..paced() },
    Candidate { usual_requests: 2.0, other_requests: 4, report_age: Duration::from_secs(2), ..paced() },
]}; "an old report of an idle server that usually has a queue")]
#[test_case(&Case { demand: RequestDemand::default(), pair: [
    Candidate { usual_requests: 3.0, other_requests: 12, ..paced() },
    Candidate { usual_requests: 5.0, other_requests: 2, work_factor: None, ..paced() },
]}; "a new report of a queue, beside a server that reports no work time")]
#[test_case(&Case { demand: RequestDemand::default(), pair: [
    Candidate { error_rate: 0.6, work_factor: Some(0.5), ..paced() },
    Candidate { error_rate: 0.14, open_requests: 3, ..paced() },
]}; "a fast backend server that fails far more often than its service")]
#[test_case(&Case { demand: ENGINE_DEMAND, pair: [
    Candidate { unread_tokens: 5_000, work_factor: Some(0.25), ..candidate() },
    Candidate { open_requests: 2, work_factor: Some(4.0), ..candidate() },
]}; "work times say nothing of engines")]
fn the_load_decides(case: &Case) {
    for random in [0.0, 0.5, 0.99] {
        assert_eq!(choose(&case.pair, case.demand, || random), Some(1));
    }
}

/// Usual loads must not change how services without work times are served.
#[test]
fn usual_loads_decide_only_where_work_times_are_reported() {
    let at = |usual_requests| Candidate {
        usual_requests,
        work_factor: None,
        ..paced()
    };
    for random in [0.0, 0.5, 0.99] {
        let chosen = choose(&[at(30.0), at(0.0)], RequestDemand::default(), || random);
        assert_eq!(chosen, Some(0));
    }
}

#[test]
fn nothing_is_chosen_if_all_are_excluded() {
    let excluded = Candidate {
        excluded: true,
        ..candidate()
    };
    assert_eq!(choose(&[excluded], ENGINE_DEMAND, || 0.5), None);
}

/// Several nodes with the same late load reports must not all choose the same engine.
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
        .filter_map(|_| choose(&candidates, ENGINE_DEMAND, || random.f64()))
        .collect();
    chosen.sort_unstable();
    chosen.dedup();
    assert!(chosen.len() >= 4, "{chosen:?}");
}

/// All nodes that know of the same queues would otherwise send to the same server.
#[test]
fn requests_for_a_contended_service_are_spread_by_the_expected_wait() {
    let at = |others| Candidate {
        slots: 6,
        other_requests: others,
        service_time: Some(60.0),
        ..candidate()
    };
    let demand = RequestDemand {
        contended: true,
        ..RequestDemand::default()
    };
    let candidates = [at(7), at(8), at(20)];
    let mut random = fastrand::Rng::with_seed(1);
    let mut counts = [0; 3];
    for _ in 0..1000 {
        counts[choose(&candidates, demand, || random.f64()).unwrap()] += 1;
    }
    assert!(counts[0] > counts[1] && counts[1] > 200, "{counts:?}");
    assert!(counts[2] < 20, "{counts:?}");
}

struct Search {
    engines: usize,
    /// Whether the caller reconnects to a node of the data centre where its prompt was read.
    same_data_centre: bool,
    /// The least share of searches that find the prompt.
    found: f64,
}

/// Chooses engines one after another, as a node of the data centre `near` does, out of three.
fn take_engines<R>(ranks: &[f64], near: usize, count: usize, mut random: R) -> Vec<usize>
where
    R: FnMut() -> f64,
{
    let engine = |(i, rank): (usize, &f64)| Candidate {
        local: i % 3 == near,
        preference_rank: *rank,
        ..candidate()
    };
    let mut engines: Vec<Candidate> = ranks.iter().enumerate().map(engine).collect();
    (0..count)
        .filter_map(|_| {
            let chosen = choose(&engines, ENGINE_DEMAND, &mut random)?;
            engines[chosen].tried = true;
            Some(chosen)
        })
        .collect()
}

/// In a fleet of thousands of engines, the random part of costs once moved choices by dozens of
/// places, and callers whose nodes had been killed had their prompts read again.
#[test_case(&Search { engines: 120, same_data_centre: true, found: 0.95 }; "120 engines")]
#[test_case(&Search { engines: 300, same_data_centre: true, found: 0.95 }; "300 engines")]
#[test_case(&Search { engines: 3_000, same_data_centre: true, found: 0.95 }; "3000 engines")]
#[test_case(&Search { engines: 3_000, same_data_centre: false, found: 0.85 }; "3000 engines, another data centre")]
fn a_search_finds_the_engine_that_another_node_chose(case: &Search) {
    const SEARCHES: usize = 100;
    let mut random = fastrand::Rng::with_seed(3);
    let mut found = 0;
    for _ in 0..SEARCHES {
        let ranks: Vec<f64> = (0..case.engines).map(|_| random.f64()).collect();
        let probed = take_engines(&ranks, 0, PROBED_ENGINES, || random.f64());
        let chosen = probed[random.usize(..probed.len())];
        let near = usize::from(!case.same_data_centre);
        let searched = take_engines(&ranks, near, SEARCHED_ENGINES, || 0.0);
        found += usize::from(searched.contains(&chosen));
    }
    let share = found as f64 / SEARCHES as f64;
    assert!(share >= case.found, "found in {share}");
}
