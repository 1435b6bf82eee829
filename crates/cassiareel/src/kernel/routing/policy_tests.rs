//! What each policy must do, whatever its taste.

use test_case::test_case;

use super::{policy, Ask, Candidate, Pass};

fn candidate(name: &str, outstanding: u32, health: f32) -> Candidate {
    Candidate {
        backend: name.into(),
        data_centre: "a".into(),
        outstanding,
        free_tokens: 10_000,
        cached: 0,
        health,
        token_ms: 20.0,
    }
}

#[test_case("least-outstanding")]
#[test_case("power-of-two")]
#[test_case("random")]
#[test_case("round-robin")]
fn no_policy_takes_an_ejected_server(name: &str) {
    let policy = policy(name).expect("registered");
    let ejected = candidate("x", 0, 0.0);
    let none = policy.choose(&Ask::default(), std::slice::from_ref(&ejected), 7);
    assert_eq!((none.index, none.scores[0].1), (None, Some(Pass::Ejected)));
    assert_eq!(policy.choose(&Ask::default(), &[], 7).index, None);
    let candidates = [ejected, candidate("y", 3, 1.0), candidate("z", 3, 1.0)];
    let mut seen = [0; 3];
    for i in 0..300u64 {
        let random = i.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let choice = policy.choose(&Ask::default(), &candidates, random);
        let index = choice.index.expect("two are fit");
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

#[test_case("least-outstanding")]
#[test_case("power-of-two")]
fn load_decides(name: &str) {
    let policy = policy(name).expect("registered");
    let candidates = [candidate("x", 9, 1.0), candidate("y", 2, 1.0)];
    for random in [0, 1, u64::MAX, 1 << 32] {
        let choice = policy.choose(&Ask::default(), &candidates, random);
        assert_eq!(choice.index, Some(1));
    }
}
