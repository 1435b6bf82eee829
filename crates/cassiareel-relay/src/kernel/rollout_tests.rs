//! Bad versions are taken back, good ones complete in time, and the share stays small until then.

use std::time::Duration;

use test_case::test_case;

use super::{Judge, Split, Tally};

const JUDGE: Judge = Judge {
    duration: Duration::from_secs(12),
};

/// Requests a second to the service.
const RATE: u64 = 100;

/// Of a thousand answers, the old version's bad ones.
const OLD_BAD: u64 = 50;

struct Case {
    /// Of a thousand answers, the new version's bad ones.
    bad: u64,
    /// When the new version turns bad, in milliseconds.
    from: u64,
    ends: Split,
}

/// Plays a move, and returns its end, the time of it and the requests that the new version got.
fn play(case: &Case, seed: u64) -> (Split, u64, u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let (mut old, mut new) = (Tally::default(), Tally::default());
    for ms in (0..12_000).step_by(10) {
        let split = JUDGE.decide(Duration::from_millis(ms), old, new);
        let Split::Share(share) = split else {
            return (split, ms, new.answers);
        };
        for _ in 0..RATE / 100 {
            let (tally, bad) = if random.f64() < share {
                let bad = if ms >= case.from { case.bad } else { OLD_BAD };
                (&mut new, bad)
            } else {
                (&mut old, OLD_BAD)
            };
            tally.answers += 1;
            tally.bad += u64::from(random.u64(0..1000) < bad);
        }
    }
    panic!("the move did not end");
}

#[test_case(&Case { bad: OLD_BAD, from: 0, ends: Split::Complete }; "as good")]
#[test_case(&Case { bad: 0, from: 0, ends: Split::Complete }; "better")]
#[test_case(&Case { bad: 500, from: 0, ends: Split::RollBack }; "bad at once")]
#[test_case(&Case { bad: 1000, from: 0, ends: Split::RollBack }; "always failing")]
#[test_case(&Case { bad: 800, from: 6_000, ends: Split::RollBack }; "bad later")]
fn moves_end_as_the_version_deserves(case: &Case) {
    let ends: Vec<(Split, u64, u64)> = (0..200).map(|seed| play(case, seed)).collect();
    let right = ends.iter().filter(|(end, _, _)| *end == case.ends).count();
    // Chance alone makes few good versions look bad, and few bad ones good.
    assert!(right >= 194, "{right} of 200");
    for (_, ms, exposed) in ends {
        assert!(ms < 12_000);
        // A tenth of all requests until the deadline, and 50, with all that follow a completion.
        let after = (12_000 - ms) * RATE / 1000;
        let exposed = exposed + after * u64::from(case.ends == Split::Complete);
        assert!(exposed <= 12 * RATE / 10 + 50, "{exposed}");
    }
}
