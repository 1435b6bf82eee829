//! Weighs rules for choosing among servers of uneven speed, in virtual time.

use cassiareel_bench::plain::{run_plain, Choice, Estimate, PlainOutcome, PlainPattern, Rules};
use gumdrop::Options;

/// The demand as parts of the servers' capacity.
const LOADS: [f64; 3] = [0.6, 0.8, 0.95];

/// Weighs rules for choosing among servers of uneven speed, in virtual time.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "number of seeds for each load", default = "20")]
    seeds: u64,
}

fn main() {
    let args = Args::parse_args_default_or_exit();
    println!("Each cell: part in time; p99 of work at a server over the mean; ms of wait beside a free slot.");
    println!("| servers | nodes | rule | load 0.6 | load 0.8 | load 0.95 |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for servers in [3, 6] {
        for nodes in [6, 70, 117, 300] {
            for (name, choice) in rules() {
                let cells = LOADS.map(|load| {
                    let pattern = PlainPattern::uneven(nodes, servers, load);
                    cell(&pattern, choice, args.seeds)
                });
                println!("| {servers} | {nodes} | {name} | {} |", cells.join(" | "));
            }
        }
    }
}

/// Returns the rules with their names.
fn rules() -> [(&'static str, Choice); 7] {
    let old = Estimate {
        half_life_ms: 400.0,
        to_usual: false,
        fill_cost: 0.3,
        two: false,
    };
    let usual = Estimate {
        half_life_ms: 150.0,
        to_usual: true,
        fill_cost: 2.0,
        two: false,
    };
    [
        ("a: before", Choice::Unpaced),
        ("b: usual load", Choice::Estimate(usual)),
        ("c: two, a", Choice::Estimate(Estimate { two: true, ..old })),
        (
            "c: two, b",
            Choice::Estimate(Estimate { two: true, ..usual }),
        ),
        (
            "d: local queue",
            Choice::Estimate(Estimate {
                half_life_ms: f64::INFINITY,
                ..old
            }),
        ),
        ("e: hot and cold", Choice::HotCold),
        ("f: b and work time", Choice::Relay),
    ]
}

/// Returns what one rule gives under one load, summed over seeds.
fn cell(pattern: &PlainPattern, choice: Choice, seeds: u64) -> String {
    let rules = Rules {
        choice,
        ..Rules::RELAY
    };
    let outcome = (1..=seeds)
        .map(|seed| run_plain(pattern, rules, seed))
        .reduce(PlainOutcome::merge)
        .unwrap_or_default();
    format!(
        "{:.3}; {:.2}; {:.1}",
        outcome.calm_part(),
        outcome.work_excess(),
        outcome.mean_idle_wait()
    )
}
