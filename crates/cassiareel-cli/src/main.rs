//! The `cassiareel` command.

use std::process::ExitCode;

use cassiareel_cli::{run, Args};
use gumdrop::Options;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words = cassiareel_cli::globals_first(&words);
    let args = match Args::parse_args_default(&words) {
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
            println!("{}", report.print(json));
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
