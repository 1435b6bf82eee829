//! Runs the fault matrix and writes its page.

use std::{fs, process::ExitCode};

use cassiareel_standins::matrix::{format_section, run_all, Generations, Orders, Protocol};
use gumdrop::Options;

/// Runs every fault at every step of each protocol, and writes docs/FAULTS.md from the run.
#[derive(Debug, Options)]
struct Args {
    /// Print this help.
    help: bool,
    /// Run pairs of faults too.
    pairs: bool,
    /// Number of cells that run at the same time.
    #[options(default = "8")]
    threads: usize,
    /// The file to write the page to; without it the page is printed.
    page: Option<String>,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    let (text, broken) = run_tables(&args);
    match &args.page {
        None => println!("{text}"),
        Some(path) => {
            if let Err(err) = fs::write(path, text) {
                eprintln!("cannot write {path:?}: {err}");
                return ExitCode::FAILURE;
            }
        }
    }
    if broken > 0 {
        eprintln!("{broken} cells break an invariant");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

/// Runs every protocol's table; returns the page and the number of broken cells.
fn run_tables(args: &Args) -> (String, usize) {
    let mut text = String::from(INTRODUCTION);
    let mut broken = 0;
    for with_token_ids in [false, true] {
        broken += run_table(&Generations { with_token_ids }, args, &mut text);
    }
    broken += run_table(&Orders, args, &mut text);
    (text, broken)
}

/// Runs a protocol's cells and appends its table to `text`; returns the number of broken cells.
fn run_table<P>(protocol: &P, args: &Args, text: &mut String) -> usize
where
    P: Protocol,
{
    let results = run_all(protocol, args.pairs, args.threads);
    text.push_str(&format_section(protocol, &results));
    text.push('\n');
    results.iter().filter(|(_, result)| result.is_err()).count()
}

/// The introduction of the page.
const INTRODUCTION: &str = "# Faults\n\n\
Written by `cargo run --release --bin cassiareel-faults -- --pairs --page docs/FAULTS.md` from its\n\
run; not edited by hand. Real nodes run against stand-ins over loopback. A request's task is\n\
stopped at the named step (`cassiareel::hooks::Step`), the faults are injected, and the task\n\
continues.\n\n";
