//! Runs bursts on plain services of few servers in virtual time, with several rules for nodes.

use cassiareel_bench::plain::{run_plain, PlainPattern, Rules};
use gumdrop::Options;

/// Runs bursts on plain services of few servers in virtual time.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the first seed of all random numbers", default = "1")]
    seed: u64,
    #[options(help = "number of seeds for each load", default = "1")]
    seeds: u64,
}

fn main() {
    let args = Args::parse_args_default_or_exit();
    println!("| nodes | servers | burst | rules | asked | in time | goodput | late of served | rejected by servers | refused after a send | refusal p99 ms | calm in time |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (servers, burst) in [(3, 3.0), (6, 3.0), (3, 1.0), (3, 1.7), (3, 5.0)] {
        for nodes in [6, 70, 117, 300] {
            for rules in [Rules::UNBOUNDED, Rules::RELAY] {
                for seed in args.seed..args.seed + args.seeds {
                    let pattern = PlainPattern::burst(nodes, servers, burst);
                    let outcome = run_plain(&pattern, rules, seed);
                    println!(
                        "| {nodes} | {servers} | {burst} | {} | {outcome} |",
                        rules.name
                    );
                }
            }
        }
    }
}
