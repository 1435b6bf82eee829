//! The comparison of policies, and the targets that it is held to.

use std::{fmt, time::Duration};

use cassiareel::engines::{self, Options};

use crate::model::{run, Demand, Result, Scenario, Speed, Workload};

/// The simple policies.
pub const BASELINES: [&str; 4] = ["round-robin", "random", "least-outstanding", "power-of-two"];
/// The policy that nodes use by default.
pub const OURS: &str = "first-token";
/// Loads as parts of the best baseline's saturation.
pub const LOADS: [f64; 6] = [0.3, 0.6, 0.8, 1.0, 1.5, 3.0];
/// Load that is above what any policy can serve, in requests a second.
const FLOOD: f64 = 600.0;

/// The scenario of the comparison: 36 engines, one of them three times slower and one that dies,
/// six nodes, Zipf prefixes and bursts.
pub fn scenario(policy: &'static str, rate: f64, seed: u64) -> Scenario {
    Scenario {
        workload: Workload {
            rate,
            span: Duration::from_secs(50),
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
        speed: Speed::default(),
        slow: 3.0,
        dies: Some((Duration::from_secs(25), Duration::from_secs(40))),
        cache_rate: engines::CACHE_BYTE_RATE.per_second,
        good: Duration::from_secs(5),
        warmup: Duration::from_secs(15),
        seed,
    }
}

/// One run's figures.
#[derive(Clone, Debug)]
pub struct Row {
    /// The policy.
    pub policy: &'static str,
    /// The load as a part of the best baseline's saturation.
    pub load: f64,
    /// What was measured.
    pub result: Result,
}

impl Row {
    /// The names of the columns.
    pub const HEAD: &'static str = "| policy | load | good/s | refused | first token p50 / p95 / p99 ms | between tokens p50 / p95 / p99 ms | prefix hits | wasted tokens | overflows | Jain accounts / callers |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let r = &self.result;
        let refused = 100.0 * r.refused as f64 / r.offered.max(1) as f64;
        let first = [0.5, 0.95, 0.99].map(|q| r.first_ms(q));
        let between = [0.5, 0.95, 0.99].map(|q| r.between_ms(q));
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
            100.0 * r.hits,
            r.wasted,
            r.overflows,
            r.account_index(),
            r.caller_index(),
        )
    }
}

/// The good requests a second of the best baseline under a load that no policy can serve.
pub fn saturation(seed: u64) -> f64 {
    BASELINES
        .iter()
        .map(|policy| run(&scenario(policy, FLOOD, seed)).goodput())
        .fold(0.0, f64::max)
}

/// Every policy at every load.
pub fn rows(seed: u64, saturation: f64) -> Vec<Row> {
    let policies = BASELINES.into_iter().chain([OURS]);
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

/// Our policy above saturation, where the first account asks for ten times as much as each other.
pub fn uneven(seed: u64, saturation: f64) -> Row {
    let load = 1.5;
    let mut scenario = scenario(OURS, load * saturation, seed);
    scenario.workload.demand = Demand::First(10.0);
    Row {
        policy: OURS,
        load,
        result: run(&scenario),
    }
}

/// Our policy at load 0.8 where nodes spend other rates on cache events.
pub fn cache_rates(seed: u64, saturation: f64) -> Vec<(f64, Row)> {
    let load = 0.8;
    [0.0, 2_000.0, 200_000.0]
        .into_iter()
        .map(|rate| {
            let mut scenario = scenario(OURS, load * saturation, seed);
            scenario.cache_rate = rate;
            let result = run(&scenario);
            let policy = OURS;
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

/// A target and whether it is met.
#[derive(Clone, Debug)]
pub struct Check {
    /// What is demanded.
    pub target: &'static str,
    /// What was measured.
    pub measured: f64,
    /// Whether it is met.
    pub met: bool,
}

impl Check {
    /// The targets of the comparison.
    pub fn all(rows: &[Row], uneven: &Row) -> Vec<Check> {
        let p95 = |policy: &str, load: f64| find(rows, policy, load).first_ms(0.95);
        let best = |load| {
            BASELINES
                .iter()
                .map(|p| p95(p, load))
                .fold(f64::MAX, f64::min)
        };
        let high = p95(OURS, 0.8) / best(0.8);
        let low = p95(OURS, 0.3) / best(0.3);
        let saturated = find(rows, OURS, 1.0)
            .goodput()
            .max(find(rows, OURS, 1.5).goodput());
        let flat = find(rows, OURS, 3.0).goodput() / saturated;
        let (accounts, callers) = (uneven.result.account_index(), uneven.result.caller_index());
        let overflows = rows.iter().map(|row| row.result.overflows).sum::<u64>() as f64;
        let check = |target, measured, met| Check {
            target,
            measured,
            met,
        };
        vec![
            check(
                "p95 first token at load 0.8 over the best baseline's, at most 0.75",
                high,
                high <= 0.75,
            ),
            check(
                "p95 first token at load 0.3 over the best baseline's, at most 1",
                low,
                low <= 1.0,
            ),
            check(
                "goodput at load 3 over that at saturation, at least 0.9",
                flat,
                flat >= 0.9,
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

/// A policy's figures at a load.
fn find<'a>(rows: &'a [Row], policy: &str, load: f64) -> &'a Result {
    let row = rows
        .iter()
        .find(|row| row.policy == policy && row.load == load);
    // INVARIANT: rows hold every policy at every load.
    &row.expect("the policy was run at the load").result
}
