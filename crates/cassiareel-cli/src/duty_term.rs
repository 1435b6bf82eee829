//! A term of a holder of the duties, as the log lines of its node show it.

use jiff::Timestamp;
use serde_json::{json, Value};

use crate::explain_logs::LogEntry;

/// The time in which a node held the duties with one fencing token.
pub(crate) struct DutyTerm {
    node: String,
    fence: u64,
    /// The first line of the term, and whether that line is its beginning.
    since: Timestamp,
    has_beginning: bool,
    /// When the node logged the end.
    ended: Option<Timestamp>,
    /// The last line of the term.
    last: Timestamp,
    calls: u64,
    not_accepted: u64,
    /// Whether the platform refused the token.
    is_refused: bool,
}

impl DutyTerm {
    /// The columns of the table of terms.
    pub(crate) const COLUMNS: [&'static str; 7] = [
        "token",
        "node",
        "since",
        "ended",
        "last line",
        "calls",
        "not accepted",
    ];

    /// Adds a line to its term. Lines come in order of time, and so do the beginnings of terms.
    pub(crate) fn collect(terms: &mut Vec<DutyTerm>, entry: &LogEntry) {
        // Orders of servers have a token too, but not all of them were sent with it.
        let is_order = entry.text("msg") == "servers ordered";
        let Some(fence) = entry.number("fence").filter(|_| !is_order) else {
            return;
        };
        let node = entry.text("node");
        let is_beginning = is_beginning(entry);
        let known = terms.iter().rposition(|term| {
            let is_over = term.ended.is_some() && is_beginning;
            term.fence == fence && term.node == node && !is_over
        });
        let index = known.unwrap_or_else(|| {
            // Without its beginning, a term is ordered by its token: its first line here may be one
            // that a suspended holder wrote after its successor had begun.
            let later = terms.iter().position(|term| term.fence > fence);
            let index = later.filter(|_| !is_beginning).unwrap_or(terms.len());
            terms.insert(index, DutyTerm::new(node, fence, entry));
            index
        });
        terms[index].record(entry);
    }

    /// Returns the newest term if it has not ended: only one node holds the duties at a time, so an
    /// earlier term without a logged end is over.
    pub(crate) fn present(terms: &[DutyTerm]) -> Option<&DutyTerm> {
        terms.last().filter(|term| term.ended.is_none())
    }

    fn new(node: String, fence: u64, entry: &LogEntry) -> DutyTerm {
        DutyTerm {
            node,
            fence,
            since: entry.timestamp,
            has_beginning: is_beginning(entry),
            ended: None,
            last: entry.timestamp,
            calls: 0,
            not_accepted: 0,
            is_refused: false,
        }
    }

    fn record(&mut self, entry: &LogEntry) {
        self.last = entry.timestamp;
        match entry.text("msg").as_str() {
            "lease lost" | "lease released" | "duty term ended" => {
                self.ended.get_or_insert(entry.timestamp);
            }
            "duty call" => {
                self.calls += 1;
                self.not_accepted += u64::from(entry.text("outcome") != "accepted");
            }
            "duty token refused" => self.is_refused = true,
            _ => {}
        }
    }

    /// Names the holder, its token and the beginning of the term.
    pub(crate) fn describe(&self) -> String {
        let DutyTerm { node, fence, .. } = self;
        let refused = match self.is_refused {
            true => ", which the platform refused",
            false => "",
        };
        let (since, last) = (self.since_text(), self.last);
        format!("{node} with token {fence}{refused}, since {since}, last line {last:.3}")
    }

    fn since_text(&self) -> String {
        match self.has_beginning {
            true => format!("{:.3}", self.since),
            false => format!("before {:.3}", self.since),
        }
    }

    /// Returns the row of the table of terms.
    pub(crate) fn row(&self) -> Vec<String> {
        let ended = match self.ended {
            Some(ended) => format!("{ended:.3}"),
            None => "not logged".to_owned(),
        };
        vec![
            self.fence.to_string(),
            self.node.clone(),
            self.since_text(),
            ended,
            format!("{:.3}", self.last),
            self.calls.to_string(),
            self.not_accepted.to_string(),
        ]
    }

    /// Returns the term for programs.
    pub(crate) fn json(&self) -> Value {
        json!({
            "node": self.node, "token": self.fence, "since": self.since.to_string(),
            "beginning_logged": self.has_beginning, "calls": self.calls,
            "ended": self.ended.map(|ended| ended.to_string()), "last": self.last.to_string(),
            "not_accepted": self.not_accepted, "token_refused": self.is_refused,
        })
    }
}

fn is_beginning(entry: &LogEntry) -> bool {
    ["lease acquired", "duty term began"].contains(&entry.text("msg").as_str())
}
