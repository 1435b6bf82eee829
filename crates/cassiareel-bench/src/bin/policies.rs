//! Compares routing policies on the same load in virtual time, and draws charts of the results.

use std::{error::Error, path::PathBuf, process::ExitCode};

use cassiareel_bench::{
    compare::{self, Check, Row},
    plot,
};
use gumdrop::Options;

/// Compares routing policies on the same load in virtual time.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "seed of all random numbers", default = "1")]
    seed: u64,
    #[options(help = "directory for the charts; none are drawn without it")]
    out: Option<PathBuf>,
}

fn main() -> Result<ExitCode, Box<dyn Error>> {
    let args = Args::parse_args_default_or_exit();
    let saturation = compare::measure_saturation(args.seed);
    println!(
        "saturation of the best baseline: {saturation:.1} good requests a second, seed {}",
        args.seed
    );
    let rows = compare::run_all(args.seed, saturation);
    println!("{}", Row::HEADER);
    rows.iter().for_each(|row| println!("{row}"));
    let skewed_demand = compare::skewed_demand(args.seed, saturation);
    println!("first account at 10x demand, load 1.5:\n{skewed_demand}");
    for (rate, row) in compare::sweep_cache_rates(args.seed, saturation) {
        println!("cache events at {rate} bytes a second and node, load 0.8:\n{row}");
    }
    let checks = Check::evaluate(&rows, &skewed_demand);
    checks.iter().for_each(|check| println!("{check}"));
    if let Some(out) = args.out {
        plot::draw_first_token(&rows, &out.join("routing-first-token.svg"))?;
        plot::draw_goodput(&rows, &out.join("routing-goodput.svg"))?;
    }
    let all_met = checks.iter().all(|check| check.met);
    Ok(if all_met {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
