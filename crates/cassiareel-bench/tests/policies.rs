//! Checks the targets of the policy comparison on a shorter scenario with a third of the engines.

use std::time::Duration;

use cassiareel_bench::{
    compare::{self, BASELINES, DEFAULT_POLICY},
    model::{run, Demand, RunResult, Scenario},
};

const SEED: u64 = 3;

/// Returns the goodput of the short scenario at saturation, with its best baseline policy.
fn saturation() -> f64 {
    run(&short_scenario("least-outstanding", 200.0)).goodput()
}

fn short_scenario(policy: &'static str, rate: f64) -> Scenario {
    let mut scenario = compare::scenario(policy, rate, SEED);
    scenario.engines = 12;
    scenario.workload.prefixes = 270;
    scenario.workload.duration = Duration::from_secs(17);
    scenario.warmup = Duration::from_secs(6);
    scenario.crash = Some((Duration::from_secs(9), Duration::from_secs(13)));
    scenario
}

fn best_baseline_p95(rate: f64) -> f64 {
    BASELINES
        .iter()
        .map(|policy| run(&short_scenario(policy, rate)).first_token_ms(0.95))
        .fold(f64::MAX, f64::min)
}

fn assert_complete(result: &RunResult) {
    assert_eq!((result.overflows, result.incomplete), (0, 0));
}

#[test]
fn first_tokens_come_earlier_at_high_and_at_low_load() {
    let saturation = saturation();
    for (load, bound) in [(0.8, 0.75), (0.3, 1.0)] {
        let result = run(&short_scenario(DEFAULT_POLICY, load * saturation));
        assert_complete(&result);
        let ratio = result.first_token_ms(0.95) / best_baseline_p95(load * saturation);
        println!("load {load}: p95 first token {ratio:.3} of the best baseline's");
        assert!(ratio <= bound, "{ratio} at load {load}");
    }
}

#[test]
fn goodput_stays_flat_at_three_times_the_load() {
    let saturation = saturation();
    let saturated = run(&short_scenario(DEFAULT_POLICY, saturation)).goodput();
    let overloaded = run(&short_scenario(DEFAULT_POLICY, 3.0 * saturation));
    assert_complete(&overloaded);
    println!(
        "goodput {saturated:.1} at saturation, {:.1} at three times the load",
        overloaded.goodput()
    );
    assert!(overloaded.goodput() >= 0.9 * saturated);
}

#[test]
fn an_account_at_ten_times_the_demand_does_not_starve_the_others() {
    let mut scenario = short_scenario(DEFAULT_POLICY, 1.5 * saturation());
    scenario.workload.demand = Demand::FirstAccount(10.0);
    let result = run(&scenario);
    assert_complete(&result);
    let (accounts, callers) = (result.account_fairness(), result.caller_fairness());
    println!("Jain's index: accounts {accounts:.3}, callers {callers:.3}");
    assert!(accounts >= 0.95 && callers >= 0.95, "{accounts} {callers}");
}

#[test]
fn the_seed_determines_the_run() {
    let mut scenario = short_scenario(DEFAULT_POLICY, 40.0);
    scenario.workload.duration = Duration::from_secs(10);
    let figures = |r: &RunResult| {
        (
            r.completed,
            r.first_token_ms(0.95),
            r.first_token_ms(0.99),
            r.hit_ratio.to_bits(),
        )
    };
    let first = run(&scenario);
    assert_eq!(figures(&first), figures(&run(&scenario)));
    scenario.seed += 1;
    assert_ne!(figures(&first), figures(&run(&scenario)));
}
