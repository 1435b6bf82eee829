/*!
Explains how a request was routed, from the decision lines of nodes.

Each node keeps the most recent decision lines of the requests that it handled. The lines of a request
are collected from all nodes, sorted by time, and described in plain words.
*/

use std::fmt::Write;

use serde::Serialize;
use serde_json::{json, Map, Value};

use crate::{status::query_all, Code, Error, NodeClient, Report};

/// A decision line and the node that wrote it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DecisionLine {
    /// The node's control address.
    pub node: String,
    /// The fields of the line.
    pub fields: Map<String, Value>,
}

impl DecisionLine {
    /// Returns a field as text, empty if it is missing.
    fn text(&self, name: &str) -> String {
        field_text(&self.fields, name)
    }

    /// Returns the time at which the line was written, in milliseconds since the Unix epoch.
    fn time_ms(&self) -> u64 {
        self.fields
            .get("time_ms")
            .and_then(Value::as_u64)
            .unwrap_or(0)
    }
}

/// Returns a field as text, empty if it is missing or null.
pub(crate) fn field_text(fields: &Map<String, Value>, name: &str) -> String {
    match fields.get(name) {
        None | Some(Value::Null) => String::new(),
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
    }
}

/// Collects the decision lines of a request from all nodes and describes them.
///
/// # Errors
///
/// Fails if no node has a line of the request.
pub async fn explain(nodes: &[NodeClient], request: &str) -> Result<Report, Error> {
    let name = request.to_owned();
    let query = move |node: NodeClient| {
        let name = name.clone();
        async move { node.decisions(&name).await }
    };
    let answers = query_all(nodes, query).await;
    let mut lines = Vec::new();
    let mut failures = Vec::new();
    let mut dropped = 0;
    for (node, answer) in nodes.iter().zip(answers) {
        match answer {
            Ok(decisions) => {
                dropped += decisions.dropped;
                let own_lines = decisions.lines.into_iter().map(|fields| DecisionLine {
                    node: node.addr.to_string(),
                    fields,
                });
                lines.extend(own_lines);
            }
            Err(cause) => failures.push(format!("{}: {cause}", node.addr)),
        }
    }
    if lines.is_empty() {
        return Err(no_lines_error(request, dropped, &failures));
    }
    lines.sort_by_key(DecisionLine::time_ms);
    let mut text = describe_lines(request, &lines);
    for failure in &failures {
        // Writing to a String never fails.
        let _ = writeln!(text, "failed to query {failure}");
    }
    let json = json!({"request": request, "lines": lines, "silent": failures, "dropped": dropped});
    Ok(Report::new(text, json))
}

/// Returns the error for a request of which no node has a line.
fn no_lines_error(request: &str, dropped: u64, failures: &[String]) -> Error {
    let mut message = format!("no node has a decision line of request {request}");
    for failure in failures {
        // Writing to a String never fails.
        let _ = write!(message, "\nfailed to query {failure}");
    }
    let code = match failures.is_empty() {
        true => Code::Refused,
        false => Code::Unreachable,
    };
    let next = match dropped {
        0 => "give the x-request-id of the answer; an answer without one had no routing decision".to_owned(),
        _ => format!(
            "the nodes have dropped {dropped} older lines for lack of space: search the nodes' logs \
             for \"request\":\"{request}\""
        ),
    };
    Error::new(code, message, next)
}

/// Describes decision lines in plain words, with times relative to the first line.
///
/// # Panics
///
/// Panics if there are no lines.
pub fn describe_lines(request: &str, lines: &[DecisionLine]) -> String {
    let mut text = format!("request {request}");
    let first = &lines[0];
    for (name, preposition) in [("account", "of"), ("caller", "from"), ("service", "to")] {
        let value = first.text(name);
        if !value.is_empty() {
            // Writing to a String never fails.
            let _ = write!(text, " {preposition} {name} {value}");
        }
    }
    text.push('\n');
    let start = first.time_ms();
    for line in lines {
        let elapsed = line.time_ms().saturating_sub(start);
        // Writing to a String never fails.
        let _ = writeln!(text, "{elapsed:>7} ms  {}  {}", line.node, describe(line));
    }
    text
}

/// Describes one line in plain words.
fn describe(line: &DecisionLine) -> String {
    match line.text("msg").as_str() {
        "routed" => describe_routed(line),
        "attempt lost" => format!(
            "attempt {} was lost: {}",
            line.text("attempt"),
            line.text("cause")
        ),
        "call lost" => format!("the call was lost: {}", line.text("cause")),
        "refused" => format!("refused: {}", line.text("refusal")),
        "answer of another request" => format!(
            "an answer to {} arrived on attempt {} and was discarded",
            line.text("got"),
            line.text("attempt")
        ),
        "ended" => format!(
            "{} with {} tokens after {} attempts",
            describe_ending(&line.text("ending")),
            line.text("tokens"),
            line.text("attempts")
        ),
        _ => describe_other(line),
    }
}

/// Describes the choice of a backend server.
fn describe_routed(line: &DecisionLine) -> String {
    let mut text = String::new();
    let attempt = line.text("attempt");
    if !attempt.is_empty() {
        text = format!("attempt {attempt}: ");
    }
    let choice = line.text("choice");
    let version = line.text("version");
    text += &match choice.is_empty() {
        true => format!("no backend server of version {version} was available"),
        false => format!("sent to {choice}, version {version}"),
    };
    let policy = line.text("policy");
    if !policy.is_empty() {
        text += &format!(", by policy {policy}");
    }
    let reason = line.text("reason");
    if !reason.is_empty() {
        text += &format!(" ({})", describe_reason(&reason));
    }
    let excluded = line.text("excluded");
    if !excluded.is_empty() {
        text += &format!("; not tried again: {excluded}");
    }
    text + &describe_candidates(&line.text("candidates"), &choice)
}

/// Describes the candidates, which a line either counts or lists with their scores.
fn describe_candidates(text: &str, choice: &str) -> String {
    if text.is_empty() {
        return String::new();
    }
    if let Ok(count) = text.parse::<u64>() {
        return format!("; of {count} candidates");
    }
    let mut rows = String::new();
    for candidate in text.split("; ") {
        let (server, rest) = candidate.split_once(' ').unwrap_or((candidate, ""));
        let (figures, skip_reason) = rest.rsplit_once(' ').unwrap_or(("", rest));
        let result = match server == choice {
            true => "chosen".to_owned(),
            false => format!("passed over: {}", describe_skip_reason(skip_reason)),
        };
        rows += &format!("\n{:>14}{server}  {figures}  {result}", "");
    }
    rows
}

/// Describes how a generation ended, from the `Debug` form of its `Ending`.
fn describe_ending(ending: &str) -> String {
    let kind = ending.split('(').next().unwrap_or_default();
    match kind {
        "Complete" => "completed".to_owned(),
        "Partial" => "ended early after reporting its position to the caller,".to_owned(),
        "NotRun" => "ended without running".to_owned(),
        "Abandoned" => "ended because the caller disconnected".to_owned(),
        _ => format!("ended as {ending}"),
    }
}

/// Describes why a server was chosen.
fn describe_reason(reason: &str) -> &str {
    match reason {
        "policy" => "the best score",
        "trial" => "a trial of an ejected server",
        "none_fit" => "each candidate was ejected or full",
        "unplaced" => "the settings place no server",
        other => other,
    }
}

/// Describes why a candidate was not chosen.
fn describe_skip_reason(skip_reason: &str) -> &str {
    match skip_reason {
        "score" => "another server scored better",
        "ejected" => "ejected for its failures",
        "memory" => "the request does not fit into its memory",
        other => other,
    }
}

/// Describes a line whose message has no description of its own, by listing its fields.
fn describe_other(line: &DecisionLine) -> String {
    let shown_elsewhere = [
        "msg",
        "time_ms",
        "request",
        "account",
        "caller",
        "service",
        "generation",
    ];
    let fields: Vec<String> = line
        .fields
        .keys()
        .filter(|name| !shown_elsewhere.contains(&name.as_str()))
        .map(|name| format!("{name} {}", line.text(name)))
        .collect();
    format!("{}: {}", line.text("msg"), fields.join(", "))
}
