//! Compares the relay under adverse loads with simple policies and with some of its decisions
//! turned off.

use std::{error::Error, path::PathBuf};

use cassiareel_bench::{
    plot,
    relay::{run, Outcome, Pattern, BASELINES, RELAY},
};
use gumdrop::Options;

/// Runs adverse loads on the relay's decisions in virtual time.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the first seed of all random numbers", default = "1")]
    seed: u64,
    #[options(help = "number of seeds for each pattern", default = "3")]
    seeds: u64,
    #[options(help = "directory for the charts; none are drawn without it")]
    out: Option<PathBuf>,
}

fn main() -> Result<(), Box<dyn Error>> {
    let args = Args::parse_args_default_or_exit();
    println!("| load | decisions | streams | whole and in time | refused | thousand prompt tokens read again | first event p50 / p95 ms | whole p50 ms |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut bars = Vec::new();
    for pattern in Pattern::all() {
        for config in BASELINES.iter().chain([&RELAY]) {
            let outcomes: Vec<Outcome> = (args.seed..args.seed + args.seeds)
                .map(|seed| run(&pattern, *config, seed))
                .collect();
            let (load, decisions) = (pattern.name, config.name);
            outcomes
                .iter()
                .for_each(|outcome| println!("| {load} | {decisions} | {outcome} |"));
            let good: f64 = outcomes.iter().map(Outcome::goodput).sum();
            bars.push((load, decisions, good / outcomes.len().max(1) as f64));
        }
    }
    if let Some(out) = args.out {
        plot::draw_bars(&bars, &out.join("relay-patterns.svg"))?;
    }
    Ok(())
}
