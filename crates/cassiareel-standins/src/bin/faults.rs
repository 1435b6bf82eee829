//! Runs the fault matrix and writes its page.

use std::{fs, process::ExitCode};

use cassiareel_standins::matrix::{page, run_all, Generations, Orders, Protocol};
use gumdrop::Options;

/// Runs every fault at every step of each protocol, and writes docs/FAULTS.md from the run.
#[derive(Debug, Options)]
struct Args {
    /// Print this help.
    help: bool,
    /// Run pairs of faults too.
    pairs: bool,
    /// Cells at one time.
    #[options(default = "8")]
    threads: usize,
    /// The page to write; without it the page is printed.
    page: Option<String>,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    let (text, broken) = tables(&args);
    match &args.page {
        None => println!("{text}"),
        Some(path) => {
            if let Err(err) = fs::write(path, text) {
                eprintln!("{path:?} can't be written: {err}");
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

/// Runs every protocol's table; counts broken cells.
fn tables(args: &Args) -> (String, usize) {
    let mut text = String::from(INTRODUCTION);
    let mut broken = 0;
    for with_tokens in [false, true] {
        broken += table(&Generations { with_tokens }, args, &mut text);
    }
    broken += table(&Orders, args, &mut text);
    (text, broken)
}

fn table<P>(protocol: &P, args: &Args, text: &mut String) -> usize
where
    P: Protocol,
{
    let results = run_all(protocol, args.pairs, args.threads);
    text.push_str(&page(protocol, &results));
    text.push('\n');
    results.iter().filter(|(_, result)| result.is_err()).count()
}

/// The head of the page.
const INTRODUCTION: &str = "# Faults\n\n\
Written by `cargo run --release --bin cassiareel-faults -- --pairs --page docs/FAULTS.md` from its\n\
run; not edited by hand. Real nodes run against stand-ins over loopback. A driver is held at the\n\
named step (`cassiareel::hooks::Step`), the faults are brought about, and the driver goes on.\n\n";
