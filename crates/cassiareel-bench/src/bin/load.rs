//! Measures what a node costs between callers and engines, beside a bare relay in the same run.

use std::{io, process::ExitCode, time::Duration};

use cassiareel_bench::load::{burst, first_token, load, memory, Figures, LoadPlan, Verdict};
use gumdrop::Options;

/// Measures what a node costs between callers and engines, on loopback, beside direct calls and a
/// bare relay in the same run.
///
/// Exits with 1 where a target is missed or a stream did not come to its end.
#[derive(Debug, Options)]
struct Args {
    /// Print this help.
    help: bool,
    /// Print the targets as JSON.
    json: bool,
    /// Streams side by side.
    #[options(default = "500")]
    streams: usize,
    /// Tokens of each stream.
    #[options(default = "100")]
    tokens: u32,
    /// Rounds, in each of which the ways take turns.
    #[options(default = "2")]
    rounds: u32,
    /// Milliseconds between the beginnings of streams that run side by side; 0 begins all at once.
    #[options(default = "2")]
    pause: u64,
    /// Single requests for the time to the first token.
    #[options(default = "300")]
    singles: u32,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    match run(&args) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(err) => {
            eprintln!("load: {err}");
            ExitCode::from(2)
        }
    }
}

/// Runs the measurements; false where a target is missed.
fn run(args: &Args) -> io::Result<bool> {
    let plan = LoadPlan {
        streams: args.streams,
        tokens: args.tokens,
        rounds: args.rounds,
        single_requests: args.singles,
        start_interval: Duration::from_millis(args.pause),
    };
    // Memory comes first: later measurements would leave memory behind that it could use again.
    eprintln!("memory of {} open streams each way", plan.streams);
    let memory = memory(&plan)?;
    eprintln!("{} single requests each way", plan.single_requests);
    let first_token = first_token(&plan)?;
    eprintln!("{} streams side by side each way", plan.streams);
    let load = load(&plan)?;
    eprintln!("{} streams in bursts each way", plan.streams);
    let burst = burst(&plan)?;
    let figures = Figures {
        streams: plan.streams,
        first_token,
        load,
        burst,
        memory,
    };
    let targets = figures.targets();
    if args.json {
        println!("{}", serde_json::to_string_pretty(&targets)?);
    } else {
        println!("{figures}");
    }
    let met = targets.iter().all(|t| t.verdict == Verdict::Pass);
    Ok(met && figures.incomplete() == 0)
}
