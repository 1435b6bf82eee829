/*!
The most recent decision lines of a node, for operators who query one request.

All lines are passed on to the log unchanged. Lines with a request's name are also stored here, up to a
maximum number of bytes. Beyond it the oldest lines are dropped and counted.
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

/// Maximum bytes of lines that a node stores.
const MAX_RECENT_BYTES: usize = 8 << 20;

/// The field with the request's name.
const REQUEST_FIELD: &str = "request";

/// The field that is added to a stored line with its time, in milliseconds since 1970.
const TIME_FIELD: &str = "time_ms";

/// The most recent decision lines; clones share the same lines.
#[derive(Clone, Debug)]
pub struct RecentLines {
    lines: Arc<Mutex<StoredLines>>,
}

impl RecentLines {
    /// Creates a store for up to 8 MiB of lines.
    pub fn new() -> RecentLines {
        RecentLines::with_max_bytes(MAX_RECENT_BYTES)
    }

    /// Creates a store for up to `bytes` of lines.
    pub fn with_max_bytes(bytes: usize) -> RecentLines {
        RecentLines {
            lines: Arc::new(Mutex::new(StoredLines {
                max_bytes: bytes,
                ..StoredLines::default()
            })),
        }
    }

    /// Returns a logger whose lines are passed on to `log` and stored here.
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
        let drain = TeeDrain {
            recent: self.clone(),
            log: log.clone(),
        };
        Logger::root(drain, o!())
    }

    /// Returns the stored lines of a request, the oldest first.
    pub fn find(&self, request: &str) -> Vec<Map<String, Value>> {
        let stored = lock(&self.lines);
        stored
            .lines
            .iter()
            .filter(|line| line.request == request)
            .filter_map(|line| serde_json::from_str(&line.text).ok())
            .collect()
    }

    /// Returns the number of lines that were dropped to stay below the maximum.
    pub fn dropped(&self) -> u64 {
        lock(&self.lines).dropped
    }

    fn store(&self, request: String, text: String) {
        let mut stored = lock(&self.lines);
        stored.bytes += request.len() + text.len();
        stored.lines.push_back(Line { request, text });
        while stored.bytes > stored.max_bytes {
            let Some(old) = stored.lines.pop_front() else {
                break;
            };
            stored.bytes -= old.request.len() + old.text.len();
            stored.dropped += 1;
        }
    }
}

impl Default for RecentLines {
    fn default() -> RecentLines {
        RecentLines::new()
    }
}

#[derive(Debug, Default)]
struct StoredLines {
    // INVARIANT: `bytes` is the total size of `lines`, and at most `max_bytes`.
    lines: VecDeque<Line>,
    bytes: usize,
    max_bytes: usize,
    dropped: u64,
}

#[derive(Debug)]
struct Line {
    request: String,
    text: String,
}

/// Passes lines on to a logger and stores those of requests.
struct TeeDrain {
    recent: RecentLines,
    log: Logger,
}

impl Drain for TeeDrain {
    type Err = slog::Never;
    type Ok = ();

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), slog::Never> {
        let mut fields = JsonFields(Map::new());
        // The line's own fields come first, then those of its loggers, the innermost first.
        let _ = record.kv().serialize(record, &mut fields);
        let _ = values.serialize(record, &mut fields);
        let JsonFields(mut fields) = fields;
        if let Some(Value::String(request)) = fields.get(REQUEST_FIELD).cloned() {
            fields.insert("msg".into(), record.msg().to_string().into());
            fields.insert(TIME_FIELD.into(), unix_millis().into());
            self.recent
                .store(request, Value::Object(fields).to_string());
        }
        Drain::log(&self.log, record, values)
    }
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Collects fields as JSON; of two fields with the same name the first one is kept.
struct JsonFields(Map<String, Value>);

impl JsonFields {
    fn put<V>(&mut self, key: Key, value: V) -> slog::Result
    where
        V: Into<Value>,
    {
        self.0.entry(key).or_insert_with(|| value.into());
        Ok(())
    }
}

impl Serializer for JsonFields {
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
