/*!
The node daemon of cassiareel.

It reads its own settings file and flags, reports every error in them at once, starts a node, and
stops it gracefully on SIGTERM or SIGINT. What the node serves is configured by the tree of settings
in the object API; the daemon's own file contains only what a VM needs to reach that API.

# Exit codes

| code | meaning |
| --- | --- |
| 0 | the node stopped, and every accepted request was answered completely |
| 1 | the node stopped, and some requests were cut at the end of the drain time |
| 2 | the daemon's own settings are invalid, or the node could not be started |
*/

mod args;
mod config;
#[cfg(test)]
mod config_tests;
mod shutdown;

use std::{io, process::ExitCode, sync::Arc};

use cassiareel::{node::Node, observe::json_logger, store::HttpObjects};
use gumdrop::Options as _;
use slog::{error, info, Logger};

use args::Args;
use config::Config;

/// Exit code for invalid settings or a node that could not be started.
const EXIT_NOT_STARTED: u8 = 2;

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    let config = match Config::load(&args) {
        Ok(config) => config,
        Err(faults) => {
            eprintln!("cassiareeld: the daemon's settings are invalid; nothing was started");
            eprintln!("{faults}");
            return EXIT_NOT_STARTED.into();
        }
    };
    if args.check {
        println!("the daemon's settings are valid");
        return ExitCode::SUCCESS;
    }
    let log = json_logger(io::stdout());
    match run(config, &log) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(err) => {
            error!(log, "not started"; "cause" => %err);
            drop(log);
            eprintln!("cassiareeld: the node could not be started: {err}");
            EXIT_NOT_STARTED.into()
        }
    }
}

/// Runs a node until a signal stops it, and returns the number of requests that were cut.
fn run(config: Config, log: &Logger) -> io::Result<usize> {
    let signals = shutdown::catch_signals()?;
    let objects = Arc::new(HttpObjects::new(config.objects).log(log.clone()));
    let grace = config.grace;
    let mut node = Node::start(config.into_options()?, objects, log)?;
    let signal = smol::block_on(signals.recv()).unwrap_or_default();
    info!(log, "signal"; "signal" => signal, "open" => "finishing");
    let drain = shutdown::drain_time(&node);
    let cut = smol::block_on(shutdown::shut_down(&mut node, grace, drain, &signals));
    Ok(cut)
}
