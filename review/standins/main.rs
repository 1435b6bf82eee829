//! The cases of the review, each with the stand-ins that it needs.
//!
//! `review-case NAME FOLDER` runs one case, writes `record.txt` into its folder, and exits with 1 if
//! the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the
//! environment the disruption is left out.

mod client;
mod deadly;
mod engine;
mod fleet;
mod foreign_memory;
mod http;
mod json;
mod memory_limit;
mod node;
mod record;
mod reloaded_bound;
mod revoked_key;
mod rollout;
mod service;
mod store;
mod versions;

use std::{path::PathBuf, process::ExitCode};

use memory_limit::Disruption;
use record::Record;

/// The outcome of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, folder] = &args[..] else {
        eprintln!("usage: review-case NAME FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&PathBuf::from(folder));
    record.say(&format!(
        "case {name}, disruption {}",
        if has_trouble { "on" } else { "off" }
    ));
    let verdict = match name.as_str() {
        "endless-body" => memory_limit::run(record, Disruption::EndlessBody, has_trouble),
        "dripping-answers" => memory_limit::run(record, Disruption::DrippingAnswers, has_trouble),
        "chunked-bodies" => memory_limit::run(record, Disruption::ChunkedBodies, has_trouble),
        "packet-bodies" => memory_limit::run(record, Disruption::PacketBodies, has_trouble),
        "foreign-memory" => foreign_memory::run(record, has_trouble),
        "revoked-key" => revoked_key::run(record, has_trouble),
        "bad-version" => rollout::run(record, &rollout::BAD_VERSION, has_trouble),
        "second-order" => rollout::run(record, &rollout::SECOND_ORDER, has_trouble),
        "deadly-request" => deadly::run(record, &deadly::LATE_CRASH, has_trouble),
        "forgotten-crashes" => deadly::run(record, &deadly::KILLED_NODES, has_trouble),
        "reloaded-bound" => reloaded_bound::run(record, has_trouble),
        _ => Verdict::NotRun,
    };
    ExitCode::from(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::NotRun => 2,
    })
}
