//! Bad versions are rolled back, good ones complete in time, and the share stays small until then.

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

/// The requests per second to the service.
const REQUESTS_PER_SECOND: u64 = 100;

/// The old version's bad answers per thousand.
const OLD_BAD: u64 = 50;

struct Case {
    /// The new version's bad answers per thousand.
    bad: u64,
    /// When the new version turns bad, in milliseconds.
    from: u64,
    end: RolloutDecision,
}

/// Simulates a rollout; returns its end, the time of the end in milliseconds, and the number of
/// requests that the new version got.
fn simulate(case: &Case, seed: u64) -> (RolloutDecision, u64, u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let (mut old, mut new) = (Tally::default(), Tally::default());
    for ms in (0..12_000).step_by(10) {
        let decision = JUDGE.decide(Duration::from_millis(ms), old, new);
        let RolloutDecision::Share(share) = decision else {
            return (decision, ms, new.answers);
        };
        for _ in 0..REQUESTS_PER_SECOND / 100 {
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
    panic!("the rollout did not end");
}

#[test_case(&Case { bad: OLD_BAD, from: 0, end: RolloutDecision::Complete }; "as good")]
#[test_case(&Case { bad: 0, from: 0, end: RolloutDecision::Complete }; "better")]
#[test_case(&Case { bad: 500, from: 0, end: RolloutDecision::RollBack }; "bad at once")]
#[test_case(&Case { bad: 1000, from: 0, end: RolloutDecision::RollBack }; "always failing")]
#[test_case(&Case { bad: 800, from: 6_000, end: RolloutDecision::RollBack }; "bad later")]
fn rollouts_end_by_the_quality_of_the_new_version(case: &Case) {
    let ends: Vec<(RolloutDecision, u64, u64)> =
        (0..200).map(|seed| simulate(case, seed)).collect();
    let right = ends.iter().filter(|(end, _, _)| *end == case.end).count();
    // By chance, a few good versions may look bad, and a few bad ones good.
    assert!(right >= 194, "{right} of 200");
    for (_, ms, exposed) in ends {
        assert!(ms < 12_000);
        // The limit is a tenth of all requests until the deadline plus 50. All requests after a
        // completion count.
        let after = (12_000 - ms) * REQUESTS_PER_SECOND / 1000;
        let exposed = exposed + after * u64::from(case.end == RolloutDecision::Complete);
        assert!(exposed <= 12 * REQUESTS_PER_SECOND / 10 + 50, "{exposed}");
    }
}

/// The runs of both versions at a point in time of the rollout, and a check of the decision.
struct Snapshot {
    ms: u64,
    old: Tally,
    new: Tally,
    check: fn(RolloutDecision) -> bool,
}

const fn runs(sent: u64, answers: u64, bad: u64) -> Tally {
    Tally {
        sent,
        answers,
        bad,
        failed: 0,
        lost: 0,
        loss_periods: 0,
        first: NO_TIMES,
        gap: NO_TIMES,
    }
}

const fn with_losses(tally: Tally, lost: u64, loss_periods: u8) -> Tally {
    Tally {
        lost,
        loss_periods,
        ..tally
    }
}

const NO_TIMES: LogTimes = LogTimes {
    count: 0,
    log_sum: 0.0,
};

const OPEN: fn(RolloutDecision) -> bool = |decision| matches!(decision, RolloutDecision::Share(_));
const SMALL: fn(RolloutDecision) -> bool =
    |decision| matches!(decision, RolloutDecision::Share(share) if share <= 0.06);
const LARGE: fn(RolloutDecision) -> bool =
    |decision| matches!(decision, RolloutDecision::Share(share) if share >= 0.15);
const COMPLETE: fn(RolloutDecision) -> bool = |decision| decision == RolloutDecision::Complete;
const ROLL_BACK: fn(RolloutDecision) -> bool = |decision| decision == RolloutDecision::RollBack;

#[test_case(&Snapshot { ms: 11_900, old: runs(100, 100, 2), new: runs(6, 6, 0), check: OPEN }; "few runs are no evidence, even at the end")]
#[test_case(&Snapshot { ms: 20_000, old: runs(200, 200, 2), new: runs(9, 1, 1), check: OPEN }; "one known run is no evidence, even after the end")]
#[test_case(&Snapshot { ms: 10_000, old: runs(100, 100, 2), new: runs(24, 20, 0), check: COMPLETE }; "good well before the deadline")]
#[test_case(&Snapshot { ms: 10_000, old: runs(1_000, 1_000, 2), new: runs(24, 20, 0), check: OPEN }; "a wrong verdict would send the new version too many requests")]
#[test_case(&Snapshot { ms: 11_500, old: runs(60, 50, 18), new: runs(11, 10, 10), check: ROLL_BACK }; "all new runs are bad, and so are many old ones")]
#[test_case(&Snapshot { ms: 10_000, old: runs(60, 50, 18), new: runs(11, 10, 10), check: OPEN }; "in doubt, with time left")]
#[test_case(&Snapshot { ms: 11_500, old: runs(60, 50, 18), new: runs(18, 16, 16), check: ROLL_BACK }; "more new runs, all bad")]
#[test_case(&Snapshot { ms: 11_500, old: with_losses(runs(60, 47, 0), 3, 0b10), new: with_losses(runs(20, 14, 0), 5, 0b10), check: COMPLETE }; "a few lost runs while backend servers fail")]
#[test_case(&Snapshot { ms: 11_500, old: runs(60, 50, 3), new: runs(20, 19, 5), check: COMPLETE }; "a few bad runs while backend servers fail")]
#[test_case(&Snapshot { ms: 11_500, old: runs(60, 50, 3), new: runs(20, 19, 3), check: COMPLETE }; "a few bad runs on both versions")]
#[test_case(&Snapshot { ms: 11_500, old: runs(60, 50, 3), new: Tally { failed: 5, ..runs(20, 19, 5) }, check: ROLL_BACK }; "a quarter of the known runs failed")]
#[test_case(&Snapshot { ms: 11_500, old: Tally { failed: 16, ..with_losses(runs(175, 132, 16), 12, 0b10) }, new: Tally { failed: 6, ..runs(13, 12, 6) }, check: ROLL_BACK }; "half of few known runs failed")]
#[test_case(&Snapshot { ms: 11_500, old: Tally { failed: 9, ..runs(90, 84, 9) }, new: Tally { failed: 5, ..runs(12, 11, 5) }, check: ROLL_BACK }; "five of eleven beside other failures")]
#[test_case(&Snapshot { ms: 11_500, old: runs(1_000, 1_000, 2), new: runs(70, 60, 0), check: COMPLETE }; "good in time")]
#[test_case(&Snapshot { ms: 5_000, old: runs(100, 100, 2), new: runs(24, 20, 0), check: SMALL }; "the new version may turn bad later")]
#[test_case(&Snapshot { ms: 5_000, old: runs(50, 45, 0), new: runs(6, 5, 5), check: ROLL_BACK }; "all known runs are bad")]
#[test_case(&Snapshot { ms: 2_000, old: runs(20, 10, 0), new: runs(0, 0, 0), check: LARGE }; "evidence is needed soon")]
#[test_case(&Snapshot { ms: 2_000, old: runs(20, 10, 0), new: runs(4, 3, 2), check: SMALL }; "in doubt the new version gets no more")]
#[test_case(&Snapshot { ms: 100, old: runs(0, 0, 0), new: runs(0, 0, 0), check: SMALL }; "the rate of requests is unknown")]
#[test_case(&Snapshot { ms: 2_000, old: runs(2_000, 1_900, 0), new: runs(10, 3, 0), check: SMALL }; "many requests need a small share")]
#[test_case(&Snapshot { ms: 11_500, old: with_losses(runs(60, 47, 0), 13, 0b10), new: Tally { failed: 5, ..runs(20, 19, 5) }, check: ROLL_BACK }; "failures of the new version beside losses of the old one")]
#[test_case(&Snapshot { ms: 9_000, old: with_losses(runs(485, 280, 14), 138, 0b1010), new: with_losses(runs(32, 28, 12), 3, 0b1000), check: ROLL_BACK }; "most bad runs were losses of the old version's servers")]
#[test_case(&Snapshot { ms: 11_500, old: with_losses(runs(60, 50, 0), 3, 0b10), new: with_losses(runs(20, 14, 0), 5, 0b10), check: COMPLETE }; "a data centre of the new version fails")]
#[test_case(&Snapshot { ms: 8_000, old: runs(100, 100, 0), new: with_losses(runs(30, 10, 0), 18, 0b1_1110), check: ROLL_BACK }; "the new version loses its servers again and again")]
#[test_case(&Snapshot { ms: 6_000, old: runs(200, 190, 10), new: runs(16, 14, 4), check: LARGE }; "in doubt for long, the new version gets more")]
#[test_case(&Snapshot { ms: 11_500, old: Tally { failed: 2, ..runs(426, 331, 50) }, new: Tally { failed: 8, ..runs(38, 31, 9) }, check: ROLL_BACK }; "failures of the new version while both are slow")]
#[test_case(&Snapshot { ms: 11_500, old: Tally { failed: 2, ..runs(426, 331, 50) }, new: Tally { failed: 1, ..runs(38, 31, 9) }, check: COMPLETE }; "both versions are slow")]
fn a_rollout_ends_by_evidence(snapshot: &Snapshot) {
    let elapsed = Duration::from_millis(snapshot.ms);
    let decision = JUDGE.decide(elapsed, snapshot.old, snapshot.new);
    assert!((snapshot.check)(decision), "{decision:?}");
}
