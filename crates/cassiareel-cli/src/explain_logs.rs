/*!
Why a request of the relay went as it did, from the log files of several nodes.

Nodes write one JSON object a line. The lines that name the request are gathered from all files, put
in the order of their times, and told one by one in plain words. What stands before a line's object,
as the name of the node that a collector adds, is passed over.
*/

use std::{fmt::Write, fs, path::PathBuf};

use jiff::Timestamp;
use serde_json::{json, Map, Value};

use crate::{explain::field_text, Code, Error, Report};

/// A log line that names the request.
struct LogEntry {
    timestamp: Timestamp,
    fields: Map<String, Value>,
}

impl LogEntry {
    /// Reads a line; `None` where it is no line of the request.
    fn read(line: &str, request: &str) -> Option<LogEntry> {
        let object = &line[line.find('{')?..];
        let fields: Map<String, Value> = serde_json::from_str(object).ok()?;
        if fields.get("request")?.as_str()? != request {
            return None;
        }
        let timestamp = fields.get("ts")?.as_str()?.parse().ok()?;
        Some(LogEntry { timestamp, fields })
    }

    /// A field as text; empty where it is not there.
    fn text(&self, name: &str) -> String {
        field_text(&self.fields, name)
    }

    fn is_true(&self, name: &str) -> bool {
        self.fields.get(name).and_then(Value::as_bool) == Some(true)
    }

    /// The line in plain words.
    fn describe(&self) -> String {
        let backend = self.text("backend");
        match self.text("msg").as_str() {
            "sent" => self.describe_send(),
            "first event" => format!(
                "the first event came from {backend}, {} ms after the send",
                self.text("after_ms")
            ),
            "run lost" => format!(
                "the run at {backend} was given up after {} events: {}",
                self.text("events"),
                self.text("cause")
            ),
            "answer lost" => format!("the answer was lost: {}", self.text("cause")),
            "engine asked" if self.is_true("lives") => format!(
                "{backend} was silent and was asked: it lives, {} requests are there, {} events made, {} came",
                self.text("held"),
                self.text("made"),
                self.text("came")
            ),
            "engine asked" => format!("{backend} was silent and was asked: no answer"),
            "copy asked for" => format!(
                "a copy of the memory was asked for at {}: {}",
                self.text("target"),
                if self.is_true("made") { "made" } else { "not made" }
            ),
            "prompt searched" if backend.is_empty() => {
                "no engine that was asked holds the prompt".to_owned()
            }
            "prompt searched" => format!("{backend} holds {} tokens of the prompt", self.text("tokens")),
            "too late" => format!(
                "it needs {} ms at least, and {} ms are left",
                self.text("least_ms"),
                self.text("left_ms")
            ),
            "no repeat left" => "the retry budget is spent".to_owned(),
            "request" => self.describe_outcome(),
            _ => self.describe_other(),
        }
    }

    fn describe_send(&self) -> String {
        let mut text = format!(
            "sent to {} in {}",
            self.text("backend"),
            self.text("data_centre")
        );
        if !self.text("after").is_empty() {
            text += &format!(", after event {}", self.text("after"));
        }
        if self.is_true("from_copy") {
            text += ", from a copy of the memory";
        }
        let outcome = match self.text("outcome").as_str() {
            "answered" => "answered",
            "unreached" => "not reached, nothing was sent",
            "not_run" => "it says that it did not run it",
            "lost" => "no valid answer, it may have run",
            "late" => "no answer in time, it may have run",
            _ => "?",
        };
        text += &format!(": {outcome} ({} ms", self.text("took_ms"));
        if !self.text("detail").is_empty() {
            text += &format!(", {}", self.text("detail"));
        }
        text + ")"
    }

    fn describe_outcome(&self) -> String {
        let outcome = self.text("outcome");
        let words = match outcome.as_str() {
            "served" => "answered with success",
            "failed" => "answered with the backend server's own failure",
            "streaming" => "the stream has begun",
            "completed" => "the stream is complete",
            "broken" => "the stream was cut: it could not go on elsewhere",
            "handed_over" => "the stream was cut at the node's stop, for its caller to resume",
            "timeout" => "given up: its time was over",
            "no_place" => "refused, nothing ran: no backend server could take it",
            "not_informed" => "refused, nothing ran: the node's word on keys was too old",
            "unknown_outcome" => "failed: it may have run, and its answer is lost",
            other => other,
        };
        let mut text = format!("{words}, {} ms after it came", self.text("age_ms"));
        if !self.text("config_version").is_empty() {
            text += &format!(
                "; configuration {}, confirmed {} ms before",
                self.text("config_version"),
                self.text("config_age_ms")
            );
        }
        text
    }

    fn describe_other(&self) -> String {
        let shown_elsewhere = ["msg", "level", "ts", "node", "request"];
        let rest: Vec<String> = self
            .fields
            .keys()
            .filter(|name| !shown_elsewhere.contains(&name.as_str()))
            .map(|name| format!("{name} {}", self.text(name)))
            .collect();
        format!("{}: {}", self.text("msg"), rest.join(", "))
    }
}

/// Tells the lines of a request in log files, in the order of their times.
///
/// # Errors
///
/// Fails where a file can't be read, and where none has a line of the request.
pub fn explain_logs(files: &[PathBuf], request: &str) -> Result<Report, Error> {
    let mut entries = Vec::new();
    for file in files {
        // A log may hold bytes of others that are no text.
        let bytes = fs::read(file).map_err(|err| unreadable_file(file, &err.to_string()))?;
        let log_text = String::from_utf8_lossy(&bytes);
        entries.extend(
            log_text
                .lines()
                .filter_map(|line| LogEntry::read(line, request)),
        );
    }
    entries.sort_by_key(|entry| entry.timestamp);
    let Some(first) = entries.first() else {
        return Err(Error::new(
            Code::Refused,
            format!("no line names request {request}"),
            "each attempt of a caller has an id of its own, and any node may have had it: give the \
             logs of all nodes"
                .to_owned(),
        ));
    };
    let start = first.timestamp;
    let mut text = format!("request {request}\n");
    for entry in &entries {
        let elapsed = entry.timestamp.duration_since(start).as_millis();
        let node = entry.text("node");
        // Writing to a string does not fail.
        let _ = writeln!(text, "{elapsed:>7} ms  {node}  {}", entry.describe());
    }
    let lines: Vec<&Map<String, Value>> = entries.iter().map(|entry| &entry.fields).collect();
    Ok(Report::new(
        text,
        json!({ "request": request, "lines": lines }),
    ))
}

fn unreadable_file(file: &std::path::Path, cause: &str) -> Error {
    Error::new(
        Code::Refused,
        format!("{} can't be read: {cause}", file.display()),
        "give files that hold the nodes' standard output".to_owned(),
    )
}
