//! Starts stand-ins and six nodes in one process, and shows what becomes of answers and orders when
//! engines, nodes and services fail.

use std::{fs, process::ExitCode};

use cassiareel::{observe::json_logger, settings::Tree};
use cassiareel_standins::demo::{serve, story, Deployment, Ports, Sizes};
use gumdrop::Options;
use slog::Logger;

/// The deployment that is shown where the user names none.
const TREE: &str = include_str!("../demo/demo.toml");

/// Shows a deployment of stand-ins and six nodes in one process.
///
/// Exits with 0 when every token and order was right, 1 when one was not, and 2 when the deployment
/// could not be started.
#[derive(Debug, Options)]
struct Args {
    /// Print this help.
    help: bool,
    /// Print the figures as JSON; progress goes to the standard error output.
    json: bool,
    /// The settings tree to show, such as examples/zrinski.toml.
    #[options(meta = "FILE")]
    tree: Option<String>,
    /// Where the nodes' log lines go; without it they are dropped.
    #[options(meta = "FILE")]
    log: Option<String>,
    /// Streams in each part of the story.
    streams: Option<usize>,
    /// Tokens of each stream.
    tokens: Option<u32>,
    /// Orders.
    orders: Option<usize>,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "keep all up until interrupted, and print how to reach it")]
    Serve(ServeArgs),
}

/// Keeps a deployment up until interrupted.
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

/// Runs the command; false when an answer or an order was wrong.
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
    play(args, &mut deployment)
}

/// Plays the story and prints its report.
fn play(args: &Args, deployment: &mut Deployment) -> Result<bool, String> {
    let tell = |line: &str| match args.json {
        true => eprintln!("- {line}"),
        false => println!("- {line}"),
    };
    tell(&format!(
        "{} engines, {} plain services and {} nodes are up",
        deployment.engines.len(),
        deployment.services.len(),
        deployment.nodes().count()
    ));
    let default = Sizes::default();
    let sizes = Sizes {
        streams: args.streams.unwrap_or(default.streams),
        tokens: args.tokens.unwrap_or(default.tokens),
        orders: args.orders.unwrap_or(default.orders),
    };
    let report = story(deployment, sizes, tell).map_err(|err| err.to_string())?;
    if args.json {
        let json = serde_json::to_string_pretty(&report).map_err(|err| err.to_string())?;
        println!("{json}");
    } else {
        println!("\n{report}");
    }
    Ok(report.is_good())
}

/// Reads the settings tree.
fn read_tree(path: Option<&str>) -> Result<Tree, String> {
    let text = match path {
        None => TREE.to_owned(),
        Some(path) => fs::read_to_string(path).map_err(|err| format!("{path}: {err}"))?,
    };
    toml::from_str(&text).map_err(|err| format!("{}: {err}", path.unwrap_or("the demo's tree")))
}

/// A logger to a file, or to nowhere.
fn logger(path: Option<&str>) -> Result<Logger, String> {
    let Some(path) = path else {
        return Ok(Logger::root(slog::Discard, slog::o!()));
    };
    let file = fs::File::create(path).map_err(|err| format!("{path}: {err}"))?;
    Ok(json_logger(file))
}
