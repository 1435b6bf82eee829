//! Shows the duties of the relay from the logs of its nodes: holders, usage windows, server orders.

use std::{collections::BTreeMap, path::PathBuf};

use serde_json::{json, Map, Value};

use crate::{
    duty_term::DutyTerm,
    explain_logs::{read_logs, LogEntry},
    report::{heading, table},
    usage_window::UsageWindow,
    Code, Error, Report,
};

/// How many usage windows and how many orders are shown.
const SHOWN: usize = 12;

/// The fields of an order that are shown.
const ORDER_FIELDS: [&str; 9] = [
    "service",
    "data_centre",
    "count",
    "listed",
    "reason",
    "repeat",
    "outcome",
    "cause",
    "node",
];

/// Shows who holds the duties, the earlier terms, the last usage windows and the last orders.
///
/// # Errors
///
/// Fails if no file is given, a file can't be read, or no file has a line of a duty.
pub fn duties(files: &[PathBuf]) -> Result<Report, Error> {
    if files.is_empty() {
        return Err(Error::new(
            Code::Usage,
            "no log file is given",
            "give the logs of all nodes: cassiareel duties --logs FILE...",
        ));
    }
    let entries = read_logs(files, is_duty_line)?;
    if entries.is_empty() {
        return Err(Error::new(
            Code::Refused,
            "no log line of a duty was found",
            "give the logs of all nodes, back to the beginning of the holder's term; there are no \
             such lines where the settings have no [duties]",
        ));
    }
    let mut terms = Vec::new();
    entries
        .iter()
        .for_each(|entry| DutyTerm::collect(&mut terms, entry));
    let windows = last_windows(&entries);
    let orders = last_orders(&entries);
    let present = DutyTerm::present(&terms);
    let holder = present.map_or("nobody in these logs".to_owned(), DutyTerm::describe);
    let earlier = &terms[..terms.len() - usize::from(present.is_some())];
    let text = [
        format!("holder: {holder}\n"),
        section(
            "earlier terms",
            &DutyTerm::COLUMNS,
            earlier.iter().rev().map(DutyTerm::row).collect(),
        ),
        section(
            "usage windows",
            &UsageWindow::COLUMNS,
            windows.iter().map(|(number, w)| w.row(*number)).collect(),
        ),
        section(
            "server orders",
            &[&["time"], &ORDER_FIELDS[..]].concat(),
            orders.iter().map(|order| order_row(order)).collect(),
        ),
    ];
    let json = json!({
        "holder": present.map(DutyTerm::json),
        "earlier_terms": earlier.iter().rev().map(DutyTerm::json).collect::<Vec<Value>>(),
        "windows": windows.iter().map(|(number, w)| w.json(*number)).collect::<Vec<Value>>(),
        "orders": orders.iter().map(|order| &order.fields).collect::<Vec<&Map<String, Value>>>(),
    });
    Ok(Report::new(text.join("\n"), json))
}

/// Reports whether a line belongs to a duty; leases on other things have lines too.
fn is_duty_line(entry: &LogEntry) -> bool {
    match entry.text("msg").as_str() {
        "lease acquired" | "lease lost" | "lease released" => entry.text("lease") == "duties",
        "duty term began" | "duty term ended" | "duty call" | "duty token refused" => true,
        "usage window fixed" | "usage window reported" | "usage window given up" => true,
        "usage windows not reported" | "usage window differs in the store" => true,
        "usage counts too late" | "servers ordered" => true,
        _ => false,
    }
}

/// Returns the last windows by number, also those between them that have no line.
fn last_windows(entries: &[LogEntry]) -> BTreeMap<u64, UsageWindow> {
    let range_of = |entry: &LogEntry| {
        let window = entry.number("window");
        let first = window.or(entry.number("first"))?;
        Some((first, window.or(entry.number("last"))?))
    };
    let ranges: Vec<(u64, u64, &LogEntry)> = entries
        .iter()
        .filter_map(|entry| range_of(entry).map(|(first, last)| (first, last, entry)))
        .collect();
    let Some(last) = ranges.iter().map(|range| range.1).max() else {
        return BTreeMap::new();
    };
    let first = ranges.iter().map(|range| range.0).min().unwrap_or(last);
    let shown = first.max(last.saturating_sub(SHOWN as u64 - 1))..=last;
    let window = |number: u64| {
        let mut window = UsageWindow::default();
        ranges
            .iter()
            .filter(|(first, last, _)| (first..=last).contains(&&number))
            .for_each(|(_, _, entry)| window.record(entry));
        (number, window)
    };
    shown.map(window).collect()
}

/// Returns the last orders by time.
fn last_orders(entries: &[LogEntry]) -> Vec<&LogEntry> {
    let orders: Vec<&LogEntry> = entries
        .iter()
        .filter(|entry| entry.text("msg") == "servers ordered")
        .collect();
    orders[orders.len().saturating_sub(SHOWN)..].to_vec()
}

fn order_row(order: &LogEntry) -> Vec<String> {
    let time = format!("{:.3}", order.timestamp);
    let fields = ORDER_FIELDS.iter().map(|name| order.text(name));
    std::iter::once(time).chain(fields).collect()
}

/// Formats a table with its title.
fn section(title: &str, columns: &[&str], rows: Vec<Vec<String>>) -> String {
    if rows.is_empty() {
        return format!("{title}: none in these logs\n");
    }
    let rows = [vec![heading(columns)], rows].concat();
    format!("{title}:\n{}", table(&rows))
}
