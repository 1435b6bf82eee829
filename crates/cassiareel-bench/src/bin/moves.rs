//! Measures moves between versions in virtual time, over many seeds for each fault.

use std::{sync::mpsc, thread};

use cassiareel_bench::moves::{simulate, Fault, MoveResult, Setup};
use gumdrop::Options;

/// Measures moves in virtual time.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "number of seeds for each fault", default = "100")]
    seeds: u64,
    #[options(help = "the first seed", default = "1")]
    first: u64,
    #[options(help = "requests per second of the fleet", default = "30")]
    rate: f64,
    #[options(help = "duration of a move in seconds", default = "600")]
    within: u64,
    #[options(help = "number of threads", default = "3")]
    threads: u64,
}

fn main() {
    let args = Args::parse_args_default_or_exit();
    let setup = Setup {
        rate: args.rate,
        duration: std::time::Duration::from_secs(args.within),
    };
    println!(
        "{} seeds from {}, {} requests/s, {} s, 6 nodes",
        args.seeds, args.first, args.rate, args.within
    );
    println!(
        "{:<11} {:>8} {:>5} {:>16} {:>16} {:>20}",
        "fault", "reversed", "done", "share p50/max %", "requests p50/max", "to verdict s p50/max"
    );
    for fault in Fault::ALL {
        let runs = run_seeds(fault, setup, &args);
        print_row(fault, &runs);
    }
}

/// Simulates a move for each seed, spread over the threads.
fn run_seeds(fault: Fault, setup: Setup, args: &Args) -> Vec<MoveResult> {
    let (sender, runs) = mpsc::channel();
    thread::scope(|scope| {
        for thread in 0..args.threads {
            let sender = sender.clone();
            let offsets = (0..args.seeds).filter(move |i| i % args.threads == thread);
            scope.spawn(move || {
                for i in offsets {
                    let _ = sender.send(simulate(fault, setup, args.first + i));
                }
            });
        }
    });
    drop(sender);
    runs.into_iter().collect()
}

fn print_row(fault: Fault, runs: &[MoveResult]) {
    let reversed: Vec<&MoveResult> = runs.iter().filter(|run| run.verdict_at.is_some()).collect();
    let done = runs.iter().filter(|run| run.completed).count();
    let shares = median_and_max(reversed.iter().map(|run| run.max_share * 100.0));
    let exposed = median_and_max(reversed.iter().map(|run| f64::from(run.exposed_requests)));
    let delays = median_and_max(reversed.iter().filter_map(|run| {
        let delay = run.verdict_at?.saturating_sub(run.onset_at?);
        Some(delay.as_secs_f64())
    }));
    println!(
        "{:<11} {:>8} {done:>5} {shares:>16} {exposed:>16} {delays:>20}",
        fault.to_string(),
        reversed.len(),
    );
    if fault == Fault::Good {
        for run in reversed {
            println!("  false: {}", run.evidence);
        }
    }
}

fn median_and_max<I>(values: I) -> String
where
    I: Iterator<Item = f64>,
{
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    match values.last() {
        Some(max) => format!("{:.1}/{max:.1}", values[values.len() / 2]),
        None => "-".to_owned(),
    }
}
