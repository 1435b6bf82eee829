//! Bad versions are taken back, good ones complete in time, and the share stays small until then.

use std::time::Duration;

use test_case::test_case;

use super::{Exposure, Judge, LogTimes, RolloutDecision, Tally};

const JUDGE: Judge = Judge {
    duration: Duration::from_secs(12),
    exposure: Exposure {
        share: 0.1,
        slack: 50.0,
    },
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
    ends: RolloutDecision,
}

/// Plays a move, and returns its end, the time of it and the requests that the new version got.
fn play(case: &Case, seed: u64) -> (RolloutDecision, u64, u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let (mut old, mut new) = (Tally::default(), Tally::default());
    for ms in (0..12_000).step_by(10) {
        let split = JUDGE.decide(Duration::from_millis(ms), old, new);
        let RolloutDecision::Share(share) = split else {
            return (split, ms, new.answers);
        };
        for _ in 0..RATE / 100 {
            let (tally, bad) = if random.f64() < share {
                let bad = if ms >= case.from { case.bad } else { OLD_BAD };
                (&mut new, bad)
            } else {
                (&mut old, OLD_BAD)
            };
            tally.sent += 1;
            tally.answers += 1;
            tally.bad += u64::from(random.u64(0..1000) < bad);
        }
    }
    panic!("the move did not end");
}

#[test_case(&Case { bad: OLD_BAD, from: 0, ends: RolloutDecision::Complete }; "as good")]
#[test_case(&Case { bad: 0, from: 0, ends: RolloutDecision::Complete }; "better")]
#[test_case(&Case { bad: 500, from: 0, ends: RolloutDecision::RollBack }; "bad at once")]
#[test_case(&Case { bad: 1000, from: 0, ends: RolloutDecision::RollBack }; "always failing")]
#[test_case(&Case { bad: 800, from: 6_000, ends: RolloutDecision::RollBack }; "bad later")]
fn moves_end_as_the_version_deserves(case: &Case) {
    let ends: Vec<(RolloutDecision, u64, u64)> = (0..200).map(|seed| play(case, seed)).collect();
    let right = ends.iter().filter(|(end, _, _)| *end == case.ends).count();
    // Chance alone makes few good versions look bad, and few bad ones good.
    assert!(right >= 194, "{right} of 200");
    for (_, ms, exposed) in ends {
        assert!(ms < 12_000);
        // A tenth of all requests until the deadline, and 50, with all that follow a completion.
        let after = (12_000 - ms) * RATE / 1000;
        let exposed = exposed + after * u64::from(case.ends == RolloutDecision::Complete);
        assert!(exposed <= 12 * RATE / 10 + 50, "{exposed}");
    }
}

/// Runs of both versions at a moment of the move's time.
struct Moment {
    ms: u64,
    old: Tally,
    new: Tally,
    split: fn(RolloutDecision) -> bool,
}

const fn runs(sent: u64, answers: u64, bad: u64) -> Tally {
    Tally {
        sent,
        answers,
        bad,
        first: NONE,
        gap: NONE,
    }
}

const NONE: LogTimes = LogTimes {
    count: 0,
    log_sum: 0.0,
};

const OPEN: fn(RolloutDecision) -> bool = |split| matches!(split, RolloutDecision::Share(_));
const SMALL: fn(RolloutDecision) -> bool =
    |split| matches!(split, RolloutDecision::Share(share) if share <= 0.06);
const LARGE: fn(RolloutDecision) -> bool =
    |split| matches!(split, RolloutDecision::Share(share) if share >= 0.15);
const COMPLETE: fn(RolloutDecision) -> bool = |split| split == RolloutDecision::Complete;
const ROLL_BACK: fn(RolloutDecision) -> bool = |split| split == RolloutDecision::RollBack;

#[test_case(&Moment { ms: 11_900, old: runs(100, 100, 2), new: runs(6, 6, 0), split: OPEN }; "few runs are no evidence, even at the end")]
#[test_case(&Moment { ms: 20_000, old: runs(200, 200, 2), new: runs(9, 1, 1), split: OPEN }; "nor after it")]
#[test_case(&Moment { ms: 10_000, old: runs(100, 100, 2), new: runs(24, 20, 0), split: COMPLETE }; "good well before the deadline")]
#[test_case(&Moment { ms: 10_000, old: runs(1_000, 1_000, 2), new: runs(24, 20, 0), split: OPEN }; "a wrong verdict would bring it too many requests")]
#[test_case(&Moment { ms: 11_500, old: runs(60, 50, 18), new: runs(11, 10, 10), split: ROLL_BACK }; "all bad, where many of the old ones are")]
#[test_case(&Moment { ms: 10_000, old: runs(60, 50, 18), new: runs(11, 10, 10), split: OPEN }; "in doubt, with time left")]
#[test_case(&Moment { ms: 11_500, old: runs(60, 50, 18), new: runs(18, 16, 16), split: ROLL_BACK }; "more of them")]
#[test_case(&Moment { ms: 11_500, old: runs(60, 50, 3), new: runs(20, 19, 5), split: COMPLETE }; "a few bad ones beside failing servers")]
#[test_case(&Moment { ms: 11_500, old: runs(1_000, 1_000, 2), new: runs(70, 60, 0), split: COMPLETE }; "good in time")]
#[test_case(&Moment { ms: 5_000, old: runs(100, 100, 2), new: runs(24, 20, 0), split: SMALL }; "it may turn bad later")]
#[test_case(&Moment { ms: 5_000, old: runs(50, 45, 0), new: runs(6, 5, 5), split: ROLL_BACK }; "all that is known is bad")]
#[test_case(&Moment { ms: 2_000, old: runs(20, 10, 0), new: runs(0, 0, 0), split: LARGE }; "evidence is needed soon")]
#[test_case(&Moment { ms: 2_000, old: runs(20, 10, 0), new: runs(4, 3, 2), split: SMALL }; "in doubt it gets no more")]
#[test_case(&Moment { ms: 100, old: runs(0, 0, 0), new: runs(0, 0, 0), split: SMALL }; "nothing is known of the rate")]
#[test_case(&Moment { ms: 2_000, old: runs(2_000, 1_900, 0), new: runs(10, 3, 0), split: SMALL }; "many requests need a small share")]
fn a_move_ends_by_evidence(moment: &Moment) {
    let elapsed = Duration::from_millis(moment.ms);
    let split = JUDGE.decide(elapsed, moment.old, moment.new);
    assert!((moment.split)(split), "{split:?}");
}
