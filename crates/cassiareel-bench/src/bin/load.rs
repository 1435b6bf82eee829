//! Measures the cost of a node between callers and engines, compared with a bare relay.

use std::{io, process::ExitCode, time::Duration};

use cassiareel_bench::load::{burst, first_token, load, memory, Figures, LoadPlan, Verdict};
use gumdrop::Options;

/// Measures the cost of a node between callers and engines on loopback, compared with direct calls
/// and a bare relay in the same run.
///
/// Exits with 1 if a target is missed or a stream did not reach its end, and with 2 on an error.
#[derive(Debug, Options)]
struct Args {
    /// Print this help.
    help: bool,
    /// Print the targets as JSON.
    json: bool,
    /// Number of concurrent streams.
    #[options(default = "500")]
    streams: usize,
    /// Number of tokens of each stream.
    #[options(default = "100")]
    tokens: u32,
    /// Number of rounds; each round measures all paths in turn.
    #[options(default = "2")]
    rounds: u32,
    /// Milliseconds between the starts of concurrent streams; 0 starts all at once.
    #[options(default = "2")]
    pause: u64,
    /// Number of single requests for the time to the first token.
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

/// Runs the measurements. Returns whether all targets are met and all streams reached their end.
fn run(args: &Args) -> io::Result<bool> {
    let plan = LoadPlan {
        streams: args.streams,
        tokens: args.tokens,
        rounds: args.rounds,
        single_requests: args.singles,
        start_interval: Duration::from_millis(args.pause),
    };
    // Memory is measured first: other measurements leave freed memory behind that the streams
    // would reuse.
    eprintln!(
        "measuring memory of {} open streams on each path",
        plan.streams
    );
    let memory = memory(&plan)?;
    eprintln!(
        "measuring {} single requests on each path",
        plan.single_requests
    );
    let first_token = first_token(&plan)?;
    eprintln!("measuring {} concurrent streams on each path", plan.streams);
    let load = load(&plan)?;
    eprintln!(
        "measuring {} concurrent streams in bursts on each path",
        plan.streams
    );
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
