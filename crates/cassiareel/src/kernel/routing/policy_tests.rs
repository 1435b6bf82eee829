//! Properties that hold for every policy.

use test_case::test_case;

use super::{policy, Candidate, RoutingRequest, SkipReason};
use crate::kernel::BackendId;

fn names() -> Vec<BackendId> {
    ["x", "y", "z"].map(Into::into).to_vec()
}

fn candidate(backend: &BackendId, outstanding: u32, health: f32) -> Candidate<'_> {
    Candidate {
        backend,
        data_centre: backend,
        outstanding,
        backlog_tokens: 0,
        free_tokens: 10_000,
        cached_blocks: 0,
        home_weight: 0,
        health,
        token_ms: 20.0,
        slowdown: 1.0,
        skip_reason: None,
    }
}

#[test_case("first-token")]
#[test_case("least-outstanding")]
#[test_case("power-of-two")]
#[test_case("random")]
#[test_case("round-robin")]
fn no_policy_chooses_an_ejected_server(name: &str) {
    let policy = policy(name).expect("registered");
    let names = names();
    let ejected = candidate(&names[0], 0, 0.0);
    let none = policy.choose(
        &RoutingRequest::default(),
        std::slice::from_ref(&ejected),
        7,
    );
    assert_eq!(
        (none.index, none.scores[0].1),
        (None, Some(SkipReason::Ejected))
    );
    assert_eq!(
        policy.choose(&RoutingRequest::default(), &[], 7).index,
        None
    );
    let candidates = [
        ejected,
        candidate(&names[1], 3, 1.0),
        candidate(&names[2], 3, 1.0),
    ];
    let mut seen = [0; 3];
    for i in 0..300u64 {
        let random = i.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let choice = policy.choose(&RoutingRequest::default(), &candidates, random);
        let index = choice.index.expect("two are eligible");
        seen[index] += 1;
        assert_eq!(choice.scores.len(), 3);
        assert!(choice
            .scores
            .iter()
            .enumerate()
            .all(|(i, s)| (i == index) == s.1.is_none()));
    }
    assert_eq!(seen[0], 0);
    assert!(seen[1] > 90 && seen[2] > 90, "{seen:?}");
}

#[test_case("first-token")]
#[test_case("least-outstanding")]
#[test_case("power-of-two")]
fn the_less_loaded_server_is_chosen(name: &str) {
    let policy = policy(name).expect("registered");
    let names = names();
    let candidates = [candidate(&names[0], 9, 1.0), candidate(&names[1], 2, 1.0)];
    for random in [0, 1, u64::MAX, 1 << 32] {
        let choice = policy.choose(&RoutingRequest::default(), &candidates, random);
        assert_eq!(choice.index, Some(1));
    }
}

struct Case {
    // The change that makes the first candidate differ from the second.
    change: fn(&mut Candidate<'_>),
    chosen: usize,
}

#[test_case(&Case { change: |c| c.cached_blocks = 30, chosen: 0 }; "a cached prefix is preferred")]
#[test_case(&Case { change: |c| c.backlog_tokens = 5_000, chosen: 1 }; "a backlog is avoided")]
#[test_case(&Case { change: |c| c.slowdown = 3.0, chosen: 1 }; "a slow server is avoided")]
#[test_case(&Case { change: |c| c.token_ms = 200.0, chosen: 1 }; "slow steps are avoided")]
#[test_case(&Case { change: |c| c.health = 0.1, chosen: 1 }; "a returning server gets little")]
#[test_case(&Case { change: |c| c.free_tokens = 999, chosen: 1 }; "full memory is never chosen")]
#[test_case(&Case { change: |c| c.skip_reason = Some(SkipReason::Busy), chosen: 1 }; "a busy server is never chosen")]
#[test_case(&Case { change: |c| { c.cached_blocks = 40; c.backlog_tokens = 50_000 }, chosen: 1 }; "a cached prefix does not outweigh a long backlog")]
fn first_token_weighs_load_cache_and_health(case: &Case) {
    let policy = policy("first-token").expect("registered");
    let names = names();
    let mut candidates = [candidate(&names[0], 3, 1.0), candidate(&names[1], 3, 1.0)];
    (case.change)(&mut candidates[0]);
    let request = RoutingRequest {
        prompt_tokens: 700,
        output_tokens: 300,
        ..RoutingRequest::default()
    };
    for random in 0..10 {
        assert_eq!(
            policy.choose(&request, &candidates, random).index,
            Some(case.chosen)
        );
    }
}
