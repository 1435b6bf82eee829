/*!
The last decision lines of a node, for operators who ask about one request.

Lines go on to the log as they are. Those that carry a request's name are kept here as well, within
a bound on their bytes, the oldest dropped first; a count tells how many were.
*/

use std::{
    collections::VecDeque,
    fmt,
    sync::{Arc, Mutex},
    time::{SystemTime, UNIX_EPOCH},
};

use serde_json::{Map, Value};
use slog::{o, Drain, Key, Logger, OwnedKVList, Record, Serializer, KV};

use crate::runtime::lock;

/// Bytes of lines that a node keeps.
const RECENT_BYTES: usize = 8 << 20;

/// The field that names the request.
const REQUEST: &str = "request";

/// The field that a kept line's time is added as, in milliseconds since 1970.
const TIME: &str = "time_ms";

/// The last decision lines, shared by all who hold it.
#[derive(Clone, Debug)]
pub struct RecentLines {
    lines: Arc<Mutex<Lines>>,
}

impl RecentLines {
    /// Keeps up to 8 MiB of lines.
    pub fn new() -> RecentLines {
        RecentLines::with_bound(RECENT_BYTES)
    }

    /// Keeps up to `bytes` of lines.
    pub fn with_bound(bytes: usize) -> RecentLines {
        RecentLines {
            lines: Arc::new(Mutex::new(Lines {
                bound: bytes,
                ..Lines::default()
            })),
        }
    }

    /// A logger whose lines go to `log` and are kept here.
    ///
    /// # Examples
    ///
    /// ```
    /// use cassiareel::observe::RecentLines;
    ///
    /// let recent = RecentLines::new();
    /// let log = recent.tee(&slog::Logger::root(slog::Discard, slog::o!()));
    /// slog::info!(log, "routed"; "request" => "r1", "choice" => "10.0.0.1:80");
    /// let lines = recent.find("r1");
    /// assert_eq!(lines[0]["choice"], "10.0.0.1:80");
    /// ```
    pub fn tee(&self, log: &Logger) -> Logger {
        let drain = Tee {
            recent: self.clone(),
            log: log.clone(),
        };
        Logger::root(drain, o!())
    }

    /// The lines of a request, oldest first.
    pub fn find(&self, request: &str) -> Vec<Map<String, Value>> {
        let lines = lock(&self.lines);
        lines
            .kept
            .iter()
            .filter(|line| line.request == request)
            .filter_map(|line| serde_json::from_str(&line.text).ok())
            .collect()
    }

    /// Lines that were dropped to keep within the bound.
    pub fn dropped(&self) -> u64 {
        lock(&self.lines).dropped
    }

    fn keep(&self, request: String, text: String) {
        let mut lines = lock(&self.lines);
        lines.bytes += request.len() + text.len();
        lines.kept.push_back(Line { request, text });
        while lines.bytes > lines.bound {
            let Some(old) = lines.kept.pop_front() else {
                break;
            };
            lines.bytes -= old.request.len() + old.text.len();
            lines.dropped += 1;
        }
    }
}

impl Default for RecentLines {
    fn default() -> RecentLines {
        RecentLines::new()
    }
}

#[derive(Debug, Default)]
struct Lines {
    // INVARIANT: `bytes` is the sum over `kept`, and at most `bound`.
    kept: VecDeque<Line>,
    bytes: usize,
    bound: usize,
    dropped: u64,
}

#[derive(Debug)]
struct Line {
    request: String,
    text: String,
}

/// Passes lines on and keeps those of requests.
struct Tee {
    recent: RecentLines,
    log: Logger,
}

impl Drain for Tee {
    type Err = slog::Never;
    type Ok = ();

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), slog::Never> {
        let mut fields = Fields(Map::new());
        // The line's own fields come first, then those of its loggers, the nearest first.
        let _ = record.kv().serialize(record, &mut fields);
        let _ = values.serialize(record, &mut fields);
        let Fields(mut fields) = fields;
        if let Some(Value::String(request)) = fields.get(REQUEST).cloned() {
            fields.insert("msg".into(), record.msg().to_string().into());
            fields.insert(TIME.into(), unix_millis().into());
            self.recent.keep(request, Value::Object(fields).to_string());
        }
        Drain::log(&self.log, record, values)
    }
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Gathers fields as JSON; of two fields of one name the first counts.
struct Fields(Map<String, Value>);

impl Fields {
    fn put<V>(&mut self, key: Key, value: V) -> slog::Result
    where
        V: Into<Value>,
    {
        self.0.entry(key).or_insert_with(|| value.into());
        Ok(())
    }
}

impl Serializer for Fields {
    fn emit_bool(&mut self, key: Key, value: bool) -> slog::Result {
        self.put(key, value)
    }

    fn emit_f64(&mut self, key: Key, value: f64) -> slog::Result {
        self.put(key, value)
    }

    fn emit_i64(&mut self, key: Key, value: i64) -> slog::Result {
        self.put(key, value)
    }

    fn emit_none(&mut self, key: Key) -> slog::Result {
        self.put(key, Value::Null)
    }

    fn emit_u32(&mut self, key: Key, value: u32) -> slog::Result {
        self.put(key, value)
    }

    fn emit_u64(&mut self, key: Key, value: u64) -> slog::Result {
        self.put(key, value)
    }

    fn emit_usize(&mut self, key: Key, value: usize) -> slog::Result {
        self.put(key, value)
    }

    fn emit_arguments(&mut self, key: Key, value: &fmt::Arguments<'_>) -> slog::Result {
        self.put(key, value.to_string())
    }
}
