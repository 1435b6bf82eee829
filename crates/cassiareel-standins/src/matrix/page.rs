//! The matrix as a page.

use std::fmt::Write as _;

use super::{Cell, Protocol, Result, Verdict};

/// Writes the results of a protocol's cells as a section in Markdown.
///
/// A step is a row and a set of faults is a column's heading turned on its side, as a list: tables
/// of pairs would be too wide to read.
pub fn page<P>(protocol: &P, results: &[(Cell, Result)]) -> String
where
    P: Protocol,
{
    let mut out = String::new();
    // Writing to a string can't fail.
    let _ = writeln!(out, "## {}\n", protocol.name());
    for invariant in protocol.invariants() {
        let _ = writeln!(out, "- checked in each cell: {invariant}");
    }
    let steps = protocol.steps();
    let _ = write!(out, "\n| fault |");
    for step in steps {
        let _ = write!(out, " {step:?} |");
    }
    let _ = writeln!(out, "\n|---|{}", "---|".repeat(steps.len()));
    let mut notes: Vec<&str> = Vec::new();
    for faults in fault_sets(results) {
        let words: Vec<&str> = faults.iter().map(|fault| fault.words()).collect();
        let _ = write!(out, "| {} |", words.join(" + "));
        for &step in steps {
            let found = results
                .iter()
                .find(|(cell, _)| cell.step == step && cell.faults == faults);
            let _ = write!(out, " {} |", cell_words(found.map(|(_, r)| r), &mut notes));
        }
        let _ = writeln!(out);
    }
    for (i, note) in notes.iter().enumerate() {
        let _ = writeln!(out, "\n({}) {note}", i + 1);
    }
    out
}

/// The sets of faults, in their order.
fn fault_sets(results: &[(Cell, Result)]) -> Vec<Vec<super::Fault>> {
    let mut sets: Vec<Vec<super::Fault>> = Vec::new();
    for (cell, _) in results {
        if !sets.contains(&cell.faults) {
            sets.push(cell.faults.clone());
        }
    }
    sets
}

/// A cell's words; the reason of one that can't be goes to the notes.
fn cell_words(result: Option<&Result>, notes: &mut Vec<&'static str>) -> String {
    match result {
        None => "not run".into(),
        Some(Err(broken)) => format!("**BROKEN**: {broken}"),
        Some(Ok(Verdict::Whole)) => "whole".into(),
        Some(Ok(Verdict::NotRun)) => "not run, said so".into(),
        Some(Ok(Verdict::Partial)) => "partial, said so".into(),
        Some(Ok(Verdict::Unknown)) => "unknown, said so".into(),
        Some(Ok(Verdict::Skipped(why))) => {
            let known = notes.iter().position(|note| note == why);
            let i = known.unwrap_or_else(|| {
                notes.push(why);
                notes.len() - 1
            });
            format!("can't be ({})", i + 1)
        }
    }
}
