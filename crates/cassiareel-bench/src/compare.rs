//! Compares routing policies in the [`model`](crate::model) and checks the results against targets.

use std::{fmt, time::Duration};

use cassiareel::engines::{self, Options};

use crate::model::{run, Demand, EngineProfile, RunResult, Scenario, Workload};

/// The simple policies to compare with.
pub const BASELINES: [&str; 4] = ["round-robin", "random", "least-outstanding", "power-of-two"];
/// The default policy of nodes.
pub const DEFAULT_POLICY: &str = "first-token";
/// Loads, as multiples of the saturation rate of the best baseline.
pub const LOADS: [f64; 6] = [0.3, 0.6, 0.8, 1.0, 1.5, 3.0];
/// Requests per second that no policy can serve in full.
const SATURATING_RATE: f64 = 600.0;

/// Returns the scenario of the comparison: 36 engines, of which one is three times slower and one
/// crashes, six nodes, prefixes with a Zipf distribution, and bursts.
pub fn scenario(policy: &'static str, rate: f64, seed: u64) -> Scenario {
    Scenario {
        workload: Workload {
            rate,
            duration: Duration::from_secs(50),
            accounts: 10,
            callers: 20,
            demand: Demand::Even,
            prefixes: 800,
            nodes: 6,
        },
        options: Options {
            policy,
            ..Options::default()
        },
        engines: 36,
        profile: EngineProfile::default(),
        slowdown: 3.0,
        crash: Some((Duration::from_secs(25), Duration::from_secs(40))),
        cache_rate: engines::CACHE_BYTE_RATE.per_second,
        first_token_limit: Duration::from_secs(5),
        warmup: Duration::from_secs(15),
        seed,
    }
}

/// The result of one run, as a row of the table.
#[derive(Clone, Debug)]
pub struct Row {
    /// The policy.
    pub policy: &'static str,
    /// The load, as a multiple of the saturation rate of the best baseline.
    pub load: f64,
    /// The result of the run.
    pub result: RunResult,
}

impl Row {
    /// The header of the Markdown table.
    pub const HEADER: &'static str = "| policy | load | good/s | refused | first token p50 / p95 / p99 ms | between tokens p50 / p95 / p99 ms | prefix hits | wasted tokens | overflows | Jain accounts / callers |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let r = &self.result;
        let refused = 100.0 * r.refused as f64 / r.offered.max(1) as f64;
        let first = [0.5, 0.95, 0.99].map(|q| r.first_token_ms(q));
        let between = [0.5, 0.95, 0.99].map(|q| r.between_tokens_ms(q));
        write!(
            f,
            "| {} | {:.1} | {:.1} | {refused:.1}% | {:.0} / {:.0} / {:.0} | {:.1} / {:.1} / {:.1} | {:.1}% | {} | {} | {:.3} / {:.3} |",
            self.policy,
            self.load,
            r.goodput(),
            first[0],
            first[1],
            first[2],
            between[0],
            between[1],
            between[2],
            100.0 * r.hit_ratio,
            r.wasted_tokens,
            r.overflows,
            r.account_fairness(),
            r.caller_fairness(),
        )
    }
}

/// Returns the goodput, in requests per second, of the best baseline at a load that no policy can
/// serve in full.
pub fn measure_saturation(seed: u64) -> f64 {
    BASELINES
        .iter()
        .map(|policy| run(&scenario(policy, SATURATING_RATE, seed)).goodput())
        .fold(0.0, f64::max)
}

/// Runs every policy at every load.
pub fn run_all(seed: u64, saturation: f64) -> Vec<Row> {
    let policies = BASELINES.into_iter().chain([DEFAULT_POLICY]);
    LOADS
        .into_iter()
        .flat_map(|load| policies.clone().map(move |policy| (policy, load)))
        .map(|(policy, load)| Row {
            policy,
            load,
            result: run(&scenario(policy, load * saturation, seed)),
        })
        .collect()
}

/// Runs the default policy above saturation, with a first account that sends ten times as much as
/// each other account.
pub fn skewed_demand(seed: u64, saturation: f64) -> Row {
    let load = 1.5;
    let mut scenario = scenario(DEFAULT_POLICY, load * saturation, seed);
    scenario.workload.demand = Demand::FirstAccount(10.0);
    Row {
        policy: DEFAULT_POLICY,
        load,
        result: run(&scenario),
    }
}

/// Runs the default policy at load 0.8 for several rates of cache events, in bytes per second.
pub fn sweep_cache_rates(seed: u64, saturation: f64) -> Vec<(f64, Row)> {
    let load = 0.8;
    [0.0, 2_000.0, 200_000.0]
        .into_iter()
        .map(|rate| {
            let mut scenario = scenario(DEFAULT_POLICY, load * saturation, seed);
            scenario.cache_rate = rate;
            let result = run(&scenario);
            let policy = DEFAULT_POLICY;
            (
                rate,
                Row {
                    policy,
                    load,
                    result,
                },
            )
        })
        .collect()
}

/// A target and the value measured for it.
#[derive(Clone, Debug)]
pub struct Check {
    /// Describes the target and its bound.
    pub target: &'static str,
    /// The measured value.
    pub measured: f64,
    /// Whether the target is met.
    pub met: bool,
}

impl Check {
    /// Checks the results of [`run_all`] and [`skewed_demand`] against the targets.
    pub fn evaluate(rows: &[Row], skewed_demand: &Row) -> Vec<Check> {
        let p95 = |policy: &str, load: f64| result_at(rows, policy, load).first_token_ms(0.95);
        let best_baseline = |load| {
            BASELINES
                .iter()
                .map(|p| p95(p, load))
                .fold(f64::MAX, f64::min)
        };
        let high_load = p95(DEFAULT_POLICY, 0.8) / best_baseline(0.8);
        let low_load = p95(DEFAULT_POLICY, 0.3) / best_baseline(0.3);
        let saturated_goodput = result_at(rows, DEFAULT_POLICY, 1.0)
            .goodput()
            .max(result_at(rows, DEFAULT_POLICY, 1.5).goodput());
        let plateau = result_at(rows, DEFAULT_POLICY, 3.0).goodput() / saturated_goodput;
        let (accounts, callers) = (
            skewed_demand.result.account_fairness(),
            skewed_demand.result.caller_fairness(),
        );
        let overflows = rows.iter().map(|row| row.result.overflows).sum::<u64>() as f64;
        let check = |target, measured, met| Check {
            target,
            measured,
            met,
        };
        vec![
            check(
                "p95 first token at load 0.8 over the best baseline's, at most 0.75",
                high_load,
                high_load <= 0.75,
            ),
            check(
                "p95 first token at load 0.3 over the best baseline's, at most 1",
                low_load,
                low_load <= 1.0,
            ),
            check(
                "goodput at load 3 over that at saturation, at least 0.9",
                plateau,
                plateau >= 0.9,
            ),
            check(
                "Jain's index of accounts, one at 10x demand, at least 0.95",
                accounts,
                accounts >= 0.95,
            ),
            check(
                "Jain's index of callers, one at 10x demand, at least 0.95",
                callers,
                callers >= 0.95,
            ),
            check(
                "steps with an engine's memory overflowing, none",
                overflows,
                overflows == 0.0,
            ),
        ]
    }
}

impl fmt::Display for Check {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.met { "met" } else { "MISSED" };
        write!(f, "{verdict}: {}: {:.3}", self.target, self.measured)
    }
}

/// Returns the result of a policy at a load.
fn result_at<'a>(rows: &'a [Row], policy: &str, load: f64) -> &'a RunResult {
    let row = rows
        .iter()
        .find(|row| row.policy == policy && row.load == load);
    // INVARIANT: `rows` has every policy at every load.
    &row.expect("the policy was run at the load").result
}
