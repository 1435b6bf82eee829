//! A window of usage, as the log lines of its holders and of the candidates show it.

use std::collections::BTreeMap;

use serde_json::{json, Value};

use crate::explain_logs::LogEntry;

/// What the logs have of a window of usage.
#[derive(Default)]
pub(crate) struct UsageWindow {
    requests: Option<u64>,
    accounts: Option<u64>,
    nodes: Option<u64>,
    fixed_age: Option<u64>,
    accepted_age: Option<u64>,
    attempts: u64,
    /// The outcome of the last report.
    outcome: String,
    is_fixed: bool,
    is_accepted: bool,
    /// Whether the first accepted report came late.
    is_late: bool,
    is_given_up: bool,
    differs: bool,
    /// Why the window is left out for good.
    skipped: Option<String>,
    /// Requests whose counts came too late, by the node that counted them and by the candidate.
    too_late: BTreeMap<String, BTreeMap<String, u64>>,
}

impl UsageWindow {
    /// The columns of the table of windows.
    pub(crate) const COLUMNS: [&'static str; 8] = [
        "window",
        "requests",
        "accounts",
        "nodes",
        "fixed ms",
        "accepted ms",
        "too late",
        "state",
    ];

    /// Adds a line of the window.
    pub(crate) fn record(&mut self, entry: &LogEntry) {
        match entry.text("msg").as_str() {
            "usage window fixed" => {
                self.is_fixed = true;
                self.requests = entry.number("requests");
                self.accounts = entry.number("accounts");
                self.nodes = entry.number("nodes");
                self.fixed_age = entry.number("age_ms");
            }
            "usage window reported" => self.record_report(entry),
            "usage window given up" => self.is_given_up = true,
            "usage window differs in the store" => self.differs = true,
            "usage counts too late" => {
                let peer = self.too_late.entry(entry.text("peer")).or_default();
                *peer.entry(entry.text("node")).or_default() +=
                    entry.number("requests").unwrap_or(0);
            }
            "usage windows not reported" => self.skipped = Some(entry.text("cause")),
            _ => {}
        }
    }

    fn record_report(&mut self, entry: &LogEntry) {
        self.attempts += 1;
        self.outcome = entry.text("outcome");
        self.requests = self.requests.or(entry.number("requests"));
        // The next holder may repeat a report: the first accepted one counts.
        if self.outcome == "accepted" && !self.is_accepted {
            self.is_accepted = true;
            self.accepted_age = entry.number("age_ms");
            self.is_late = entry.is_true("late");
        }
    }

    /// Returns the requests whose counts came too late. Each candidate logs them, so the largest
    /// sum of a candidate counts for each node.
    fn too_late(&self) -> u64 {
        let largest = |sums: &BTreeMap<String, u64>| sums.values().copied().max().unwrap_or(0);
        self.too_late.values().map(largest).sum()
    }

    fn state(&self) -> String {
        let state = match &self.skipped {
            _ if self.is_late => "accepted late".to_owned(),
            _ if self.is_accepted => "accepted".to_owned(),
            Some(cause) => format!("not reported: {cause}"),
            None if self.is_given_up => "given up".to_owned(),
            None if self.attempts > 0 => {
                format!(
                    "not accepted: {}, reports sent: {}",
                    self.outcome, self.attempts
                )
            }
            None if self.is_fixed => "fixed, not reported".to_owned(),
            None => "missing: not fixed in these logs".to_owned(),
        };
        match self.differs {
            true => state + ", differs in the store",
            false => state,
        }
    }

    /// Returns the row of the table of windows.
    pub(crate) fn row(&self, number: u64) -> Vec<String> {
        let cell = |value: Option<u64>| value.map_or("-".to_owned(), |value| value.to_string());
        vec![
            number.to_string(),
            cell(self.requests),
            cell(self.accounts),
            cell(self.nodes),
            cell(self.fixed_age),
            cell(self.accepted_age),
            self.too_late().to_string(),
            self.state(),
        ]
    }

    /// Returns the window for programs.
    pub(crate) fn json(&self, number: u64) -> Value {
        json!({
            "window": number, "requests": self.requests, "accounts": self.accounts,
            "nodes": self.nodes, "fixed_age_ms": self.fixed_age, "attempts": self.attempts,
            "accepted_age_ms": self.accepted_age, "accepted": self.is_accepted,
            "late": self.is_late, "too_late_requests": self.too_late(), "state": self.state(),
        })
    }
}
