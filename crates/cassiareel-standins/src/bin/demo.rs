//! Starts stand-ins and six nodes in one process, and shows how answers and orders survive failures
//! of engines, nodes and services.

use std::{fs, process::ExitCode};

use cassiareel::{observe::json_logger, settings::Tree};
use cassiareel_standins::demo::{run_scenario, serve, Deployment, Ports, ScenarioSize};
use gumdrop::Options;
use slog::Logger;

/// The settings tree that is used unless the user names another.
const DEFAULT_TREE: &str = include_str!("../demo/demo.toml");

/// Runs a deployment of stand-ins and six nodes in one process.
///
/// Exits with 0 if every token and order was correct, 1 if one was not, and 2 if the deployment
/// could not be started.
#[derive(Debug, Options)]
struct Args {
    /// Print this help.
    help: bool,
    /// Print the report as JSON; progress goes to standard error.
    json: bool,
    /// The settings tree to use, such as examples/zrinski.toml.
    #[options(meta = "FILE")]
    tree: Option<String>,
    /// The file that the nodes write log lines to; without it they are discarded.
    #[options(meta = "FILE")]
    log: Option<String>,
    /// Number of streams in each phase of the scenario.
    streams: Option<usize>,
    /// Number of tokens in each stream.
    tokens: Option<u32>,
    /// Number of orders.
    orders: Option<usize>,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "print how to reach the deployment, and run it until interrupted")]
    Serve(ServeArgs),
}

/// Runs a deployment until interrupted.
#[derive(Debug, Options)]
struct ServeArgs {
    /// Print this help.
    help: bool,
    /// The first of six ports for callers.
    #[options(default = "8080", meta = "PORT")]
    port: u16,
    /// The first of six ports for peers and operators.
    #[options(default = "8180", meta = "PORT")]
    control_port: u16,
    /// The port of the object API.
    #[options(default = "8280", meta = "PORT")]
    objects_port: u16,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    match run(&args) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(err) => {
            eprintln!("cassiareel-demo: {err}");
            ExitCode::from(2)
        }
    }
}

/// Runs the command; returns `false` if an answer or an order was wrong.
fn run(args: &Args) -> Result<bool, String> {
    let tree = read_tree(args.tree.as_deref())?;
    let log = logger(args.log.as_deref())?;
    let ports = match &args.command {
        None => Ports::default(),
        Some(Command::Serve(serve)) => Ports {
            callers: Some(serve.port),
            control: Some(serve.control_port),
            objects: Some(serve.objects_port),
        },
    };
    let started = Deployment::start(tree, ports, &log);
    let mut deployment = started.map_err(|err| format!("the deployment did not start: {err}"))?;
    if args.command.is_some() {
        serve(&deployment).map_err(|err| err.to_string())?;
        return Ok(true);
    }
    run_and_report(args, &mut deployment)
}

/// Runs the scenario and prints its report; returns whether it passed.
fn run_and_report(args: &Args, deployment: &mut Deployment) -> Result<bool, String> {
    let report_progress = |line: &str| match args.json {
        true => eprintln!("- {line}"),
        false => println!("- {line}"),
    };
    report_progress(&format!(
        "{} engines, {} plain services and {} nodes are running",
        deployment.engines.len(),
        deployment.services.len(),
        deployment.nodes().count()
    ));
    let default = ScenarioSize::default();
    let size = ScenarioSize {
        streams: args.streams.unwrap_or(default.streams),
        tokens: args.tokens.unwrap_or(default.tokens),
        orders: args.orders.unwrap_or(default.orders),
    };
    let report = run_scenario(deployment, size, report_progress).map_err(|err| err.to_string())?;
    if args.json {
        let json = serde_json::to_string_pretty(&report).map_err(|err| err.to_string())?;
        println!("{json}");
    } else {
        println!("\n{report}");
    }
    Ok(report.passed())
}

/// Reads the settings tree.
fn read_tree(path: Option<&str>) -> Result<Tree, String> {
    let text = match path {
        None => DEFAULT_TREE.to_owned(),
        Some(path) => fs::read_to_string(path).map_err(|err| format!("{path}: {err}"))?,
    };
    toml::from_str(&text)
        .map_err(|err| format!("{}: {err}", path.unwrap_or("the demo's settings tree")))
}

/// Returns a logger that writes to a file, or discards all lines if `path` is `None`.
fn logger(path: Option<&str>) -> Result<Logger, String> {
    let Some(path) = path else {
        return Ok(Logger::root(slog::Discard, slog::o!()));
    };
    let file = fs::File::create(path).map_err(|err| format!("{path}: {err}"))?;
    Ok(json_logger(file))
}
