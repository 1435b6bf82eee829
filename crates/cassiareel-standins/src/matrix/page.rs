//! The matrix as Markdown.

use std::fmt::Write as _;

use super::{Cell, Protocol, Result, Verdict};

/// Formats the results of a protocol's cells as a section in Markdown.
///
/// Each row is a set of faults and each column a step; with the sets of faults as columns, a table
/// of pairs would be too wide to read.
pub fn format_section<P>(protocol: &P, results: &[(Cell, Result)]) -> String
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
        let labels: Vec<&str> = faults.iter().map(|fault| fault.label()).collect();
        let _ = write!(out, "| {} |", labels.join(" + "));
        for &step in steps {
            let found = results
                .iter()
                .find(|(cell, _)| cell.step == step && cell.faults == faults);
            let _ = write!(
                out,
                " {} |",
                format_result(found.map(|(_, result)| result), &mut notes)
            );
        }
        let _ = writeln!(out);
    }
    for (i, note) in notes.iter().enumerate() {
        let _ = writeln!(out, "\n({}) {note}", i + 1);
    }
    out
}

/// Returns the distinct sets of faults, in the order of the results.
fn fault_sets(results: &[(Cell, Result)]) -> Vec<Vec<super::Fault>> {
    let mut sets: Vec<Vec<super::Fault>> = Vec::new();
    for (cell, _) in results {
        if !sets.contains(&cell.faults) {
            sets.push(cell.faults.clone());
        }
    }
    sets
}

/// Formats a cell's result; the reason of a skipped cell is added to the notes.
fn format_result(result: Option<&Result>, notes: &mut Vec<&'static str>) -> String {
    match result {
        None => "not run".into(),
        Some(Err(violation)) => format!("**BROKEN**: {violation}"),
        Some(Ok(Verdict::Complete)) => "whole".into(),
        Some(Ok(Verdict::NotRun)) => "not run, reported".into(),
        Some(Ok(Verdict::Partial)) => "partial, reported".into(),
        Some(Ok(Verdict::Unknown)) => "unknown, reported".into(),
        Some(Ok(Verdict::Skipped(reason))) => {
            let position = notes.iter().position(|note| note == reason);
            let i = position.unwrap_or_else(|| {
                notes.push(reason);
                notes.len() - 1
            });
            format!("impossible ({})", i + 1)
        }
    }
}
