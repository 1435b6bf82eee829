/*!
Why a request went where it went.

Each node that had a part in a request keeps its decision lines for a while. They are gathered from
all nodes, put in the order of their times, and told one by one in plain words.
*/

use std::fmt::Write;

use serde::Serialize;
use serde_json::{json, Map, Value};

use crate::{status::ask_each, Code, Error, NodeClient, Report};

/// A decision line, with the node that wrote it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// The node's control address.
    pub node: String,
    /// The line's fields.
    pub fields: Map<String, Value>,
}

impl Line {
    /// A field as text; empty where it is not there.
    fn text(&self, name: &str) -> String {
        text(&self.fields, name)
    }

    /// When it was written, in milliseconds since 1970.
    fn time(&self) -> u64 {
        self.fields
            .get("time_ms")
            .and_then(Value::as_u64)
            .unwrap_or(0)
    }
}

/// A field as text; empty where it is not there.
pub(crate) fn text(fields: &Map<String, Value>, name: &str) -> String {
    match fields.get(name) {
        None | Some(Value::Null) => String::new(),
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
    }
}

/// Gathers the decision lines of a request from all nodes and tells them.
///
/// # Errors
///
/// Fails where no node has a line of it.
pub async fn explain(nodes: &[NodeClient], request: &str) -> Result<Report, Error> {
    let name = request.to_owned();
    let ask = move |node: NodeClient| {
        let name = name.clone();
        async move { node.decisions(&name).await }
    };
    let answers = ask_each(nodes, ask).await;
    let mut lines = Vec::new();
    let mut silent = Vec::new();
    let mut dropped = 0;
    for (node, answer) in nodes.iter().zip(answers) {
        match answer {
            Ok(decisions) => {
                dropped += decisions.dropped;
                let own = decisions.lines.into_iter().map(|fields| Line {
                    node: node.addr.to_string(),
                    fields,
                });
                lines.extend(own);
            }
            Err(cause) => silent.push(format!("{}: {cause}", node.addr)),
        }
    }
    if lines.is_empty() {
        return Err(nothing(request, dropped, &silent));
    }
    lines.sort_by_key(Line::time);
    let mut text = tell(request, &lines);
    for node in &silent {
        // Writing to a string does not fail.
        let _ = writeln!(text, "not asked: {node}");
    }
    let json = json!({"request": request, "lines": lines, "silent": silent, "dropped": dropped});
    Ok(Report::new(text, json))
}

fn nothing(request: &str, dropped: u64, silent: &[String]) -> Error {
    let mut message = format!("no node has a decision line of request {request}");
    for node in silent {
        // Writing to a string does not fail.
        let _ = write!(message, "\nnot asked: {node}");
    }
    let code = match silent.is_empty() {
        true => Code::Refused,
        false => Code::Unreached,
    };
    let next = match dropped {
        0 => "the name is the answer's x-request-id; a request without one had no decision".to_owned(),
        _ => format!(
            "the nodes have dropped {dropped} older lines for want of room: look in the nodes' logs \
             for \"request\":\"{request}\""
        ),
    };
    Error::new(code, message, next)
}

/// Tells decision lines in plain words.
pub fn tell(request: &str, lines: &[Line]) -> String {
    let mut text = format!("request {request}");
    let first = &lines[0];
    for (name, word) in [("account", "of"), ("caller", "from"), ("service", "to")] {
        let value = first.text(name);
        if !value.is_empty() {
            // Writing to a string does not fail.
            let _ = write!(text, " {word} {name} {value}");
        }
    }
    text.push('\n');
    let start = first.time();
    for line in lines {
        let after = line.time().saturating_sub(start);
        // Writing to a string does not fail.
        let _ = writeln!(text, "{after:>7} ms  {}  {}", line.node, sentence(line));
    }
    text
}

/// One line in plain words.
fn sentence(line: &Line) -> String {
    match line.text("msg").as_str() {
        "routed" => routed(line),
        "attempt lost" => format!(
            "attempt {} was lost: {}",
            line.text("attempt"),
            line.text("cause")
        ),
        "call lost" => format!("the call was lost: {}", line.text("cause")),
        "refused" => format!("refused: {}", line.text("refusal")),
        "answer of another request" => format!(
            "an answer of {} came on attempt {}, and was dropped",
            line.text("got"),
            line.text("attempt")
        ),
        "ended" => format!(
            "{} with {} tokens after {} attempts",
            ending_words(&line.text("ending")),
            line.text("tokens"),
            line.text("attempts")
        ),
        _ => other(line),
    }
}

/// A choice of a backend server.
fn routed(line: &Line) -> String {
    let mut text = String::new();
    let attempt = line.text("attempt");
    if !attempt.is_empty() {
        text = format!("attempt {attempt}: ");
    }
    let choice = line.text("choice");
    let version = line.text("version");
    text += &match choice.is_empty() {
        true => format!("no backend server of version {version} was fit"),
        false => format!("sent to {choice}, version {version}"),
    };
    let policy = line.text("policy");
    if !policy.is_empty() {
        text += &format!(", by policy {policy}");
    }
    let reason = line.text("reason");
    if !reason.is_empty() {
        text += &format!(" ({})", reason_words(&reason));
    }
    let excluded = line.text("excluded");
    if !excluded.is_empty() {
        text += &format!("; not tried again: {excluded}");
    }
    text + &candidates(&line.text("candidates"), &choice)
}

/// The candidates, which a line either counts or names with their scores.
fn candidates(text: &str, choice: &str) -> String {
    if text.is_empty() {
        return String::new();
    }
    if let Ok(count) = text.parse::<u64>() {
        return format!("; of {count} candidates");
    }
    let mut told = String::new();
    for candidate in text.split("; ") {
        let (server, rest) = candidate.split_once(' ').unwrap_or((candidate, ""));
        let (figures, passed) = rest.rsplit_once(' ').unwrap_or(("", rest));
        let words = match server == choice {
            true => "chosen".to_owned(),
            false => format!("passed over: {}", pass_words(passed)),
        };
        told += &format!("\n{:>14}{server}  {figures}  {words}", "");
    }
    told
}

fn ending_words(ending: &str) -> String {
    let kind = ending.split('(').next().unwrap_or_default();
    match kind {
        "Complete" => "ended whole".to_owned(),
        "Partial" => "ended early, its caller told how far it is,".to_owned(),
        "NotRun" => "ended as not run".to_owned(),
        "Abandoned" => "ended, as its caller went away".to_owned(),
        _ => format!("ended as {ending}"),
    }
}

fn reason_words(reason: &str) -> &str {
    match reason {
        "policy" => "the best score",
        "trial" => "a trial of one that was ejected",
        "none_fit" => "each candidate was ejected or full",
        "unplaced" => "the settings place none",
        other => other,
    }
}

fn pass_words(pass: &str) -> &str {
    match pass {
        "score" => "another scored better",
        "ejected" => "it is ejected for its failures",
        "memory" => "the request does not fit its memory",
        other => other,
    }
}

/// A line of a kind that has no words of its own.
fn other(line: &Line) -> String {
    let known = [
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
        .filter(|name| !known.contains(&name.as_str()))
        .map(|name| format!("{name} {}", line.text(name)))
        .collect();
    format!("{}: {}", line.text("msg"), fields.join(", "))
}
