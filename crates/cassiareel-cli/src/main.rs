//! The `cassiareel` command, which prints the report of a command or its error.

use std::process::ExitCode;

use cassiareel_cli::{run, Args};
use gumdrop::Options;

fn main() -> ExitCode {
    let raw_args: Vec<String> = std::env::args().skip(1).collect();
    let raw_args = cassiareel_cli::globals_first(&raw_args);
    let args = match Args::parse_args_default(&raw_args) {
        Ok(args) => args,
        Err(err) => {
            eprintln!("cassiareel: {err}");
            eprintln!("next: `cassiareel --help` lists the commands and options");
            return cassiareel_cli::Code::Usage.into();
        }
    };
    if let Some(help) = args.help_text() {
        println!("{help}");
        return ExitCode::SUCCESS;
    }
    let json = args.json;
    match smol::block_on(run(args)) {
        Ok(report) => {
            println!("{}", report.render(json));
            report.code.into()
        }
        Err(err) => {
            if json {
                println!("{}", err.to_json());
            }
            eprintln!("cassiareel: {err}");
            eprintln!("next: {}", err.next);
            err.code.into()
        }
    }
}
