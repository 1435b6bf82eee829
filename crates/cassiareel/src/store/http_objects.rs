//! The object API over HTTP.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    time::Duration,
};

use async_trait::async_trait;
use bytes::Bytes;
use futures_lite::{future, io::BufReader, AsyncBufReadExt, AsyncReadExt};
use http_types::{headers, mime, Body, Method, Request, Response, StatusCode, Url};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use slog::{o, warn, Discard, Logger};

use super::{
    entries::{parse_entry, skip_unreadable, Entry},
    Listing, Object, Objects, StoreEra, StoreError, StoreVersion,
};
use crate::{
    runtime::within,
    wire::{read_body, send, CallTimeouts, SendError},
};

/// The path of the API group with this project's object kinds.
const API_PATH: [&str; 5] = ["apis", "cassiareel.dev", "v1", "namespaces", "default"];
/// The header of an answer with the store's era, and of an update or deletion with the era of the
/// version that it names.
const ERA_HEADER: &str = "x-object-era";
/// The API version of this project's object kinds.
const API_VERSION: &str = "cassiareel.dev/v1";
/// Time limit for the answer to a call, unless the caller sets another one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of an answer with one object: 1 MiB for the object's contents, and its envelope.
const MAX_OBJECT_ANSWER_BYTES: usize = 2 << 20;
/// Maximum size of an answer to a list call.
const MAX_LIST_ANSWER_BYTES: usize = 64 << 20;
/// Delay that is reported for a throttled call whose answer has no `Retry-After`.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A client of an object API that follows the Kubernetes API conventions for custom objects.
///
/// Each call opens its own connection. The error of a write says whether the write may have taken
/// effect:
///
/// | result | error |
/// | --- | --- |
/// | no connection | `NotApplied` |
/// | 409, 412; 404 to an update or deletion | `Conflict` |
/// | 429, or 503 with `Retry-After` | `Throttled` |
/// | another 4xx | `Invalid` |
/// | another status, no answer, a truncated or malformed answer | `Ambiguous` |
///
/// Answers name the store's era in the header `x-object-era`; the era is 0 as long as none has named
/// one. After that, an answer without a valid era can't be ordered, and counts as malformed.
///
/// # Examples
///
/// ```no_run
/// use cassiareel::store::{HttpObjects, Objects};
///
/// let objects = HttpObjects::new("127.0.0.1:8001".parse().unwrap());
/// let found = smol::block_on(objects.get("leases", "draft"));
/// ```
#[derive(Clone, Debug)]
pub struct HttpObjects {
    addr: SocketAddr,
    timeout: Duration,
    // The highest era that an answer has named; clones share it.
    era: Arc<AtomicU64>,
    log: Logger,
}

impl HttpObjects {
    /// Creates a client of the object API at `addr`, with a time limit of two seconds per call.
    pub fn new(addr: SocketAddr) -> HttpObjects {
        HttpObjects {
            addr,
            timeout: DEFAULT_TIMEOUT,
            era: Arc::default(),
            log: Logger::root(Discard, o!()),
        }
    }

    /// Sets the logger for objects that can't be read; lists and watches omit them.
    pub fn log(self, log: Logger) -> HttpObjects {
        HttpObjects { log, ..self }
    }

    /// Sets the time limit of a call; a watch may take its own wait in addition.
    pub fn timeout(self, timeout: Duration) -> HttpObjects {
        HttpObjects { timeout, ..self }
    }

    fn request(&self, method: Method, kind: &str, name: Option<&str>) -> Request {
        let mut url = Url::parse(&format!("http://{}/", self.addr))
            .expect("a socket address is a valid host and port");
        if let Ok(mut path) = url.path_segments_mut() {
            path.clear().extend(API_PATH).push(kind).extend(name);
        }
        Request::new(method, url)
    }

    /// Reads the era that an answer names.
    ///
    /// # Errors
    ///
    /// Fails if the answer states something of an object and names no valid era, although an
    /// earlier answer named one.
    fn read_era(&self, res: &Response) -> Result<StoreEra, String> {
        let header = res.header(ERA_HEADER).map(|value| value.as_str());
        if let Some(era) = header.and_then(|text| text.parse().ok()) {
            self.era.fetch_max(era, Ordering::Relaxed);
            return Ok(era);
        }
        let era = self.era();
        if header.is_none() && era == 0 || !states_object(res.status()) {
            return Ok(era);
        }
        warn!(self.log, "answer of the object API names no era"; "header" => header, "era" => era);
        Err(format!("the era of the answer is {header:?}"))
    }

    /// Checks that a version is of the newest era, as the store may have given its revision again.
    fn check_era(&self, object: &Object) -> Result<(), StoreError> {
        if object.version.era() == self.era() {
            return Ok(());
        }
        Err(StoreError::Conflict {
            name: object.name.clone(),
        })
    }

    /// Makes a write to the version that an object names; returns the new version.
    async fn replace(&self, mut req: Request, object: &Object) -> Result<StoreVersion, StoreError> {
        self.check_era(object)?;
        let era = object.version.era();
        req.insert_header(ERA_HEADER, era.to_string());
        let version = self.write(req, &object.name).await?;
        if version.era() == era {
            return Ok(version);
        }
        // A store that ignores the header may have replaced another object of the same revision.
        Err(StoreError::Ambiguous {
            cause: format!("written to era {}, not {era}", version.era()),
        })
    }

    /// Makes a call and reads its complete answer.
    async fn call(&self, req: Request, limit: usize) -> Result<Answer, CallError> {
        let exchange = async {
            let mut res = send(self.addr, req, CallTimeouts::new(self.timeout)).await?;
            let body = read_body(res.take_body(), limit).await;
            let body = body.map_err(|err| CallError::Lost(err.to_string()))?;
            let era = self.read_era(&res).map_err(CallError::Lost)?;
            Ok(Answer::new(&res, era, body))
        };
        // The time to connect has its own limit, because an error there guarantees that nothing was
        // sent.
        let total_timeout = CallTimeouts::new(self.timeout).connect + self.timeout;
        within(total_timeout, exchange).await.unwrap_or_else(|| {
            Err(CallError::Lost(format!(
                "no whole answer in {total_timeout:?}"
            )))
        })
    }

    /// Makes a write and returns the object's new version.
    async fn write(&self, req: Request, name: &str) -> Result<StoreVersion, StoreError> {
        let answer = self
            .call(req, MAX_OBJECT_ANSWER_BYTES)
            .await
            .map_err(|err| match err {
                CallError::NotSent(cause) => StoreError::NotApplied { cause },
                CallError::Lost(cause) => StoreError::Ambiguous { cause },
            })?;
        answer.check_write(name)?;
        let written: ObjectEnvelope = answer
            .parse()
            .map_err(|cause| StoreError::Ambiguous { cause })?;
        written
            .version(answer.era)
            .map_err(|err| version_unknown(&err))
    }

    /// Makes a read; returns the answer's era, or `None` if the object does not exist.
    async fn read<T>(&self, req: Request, limit: usize) -> Result<Option<(StoreEra, T)>, StoreError>
    where
        T: for<'de> Deserialize<'de>,
    {
        let answer = self
            .call(req, limit)
            .await
            .map_err(CallError::into_read_error)?;
        if answer.status == StatusCode::NotFound {
            return Ok(None);
        }
        answer.check_read()?;
        answer
            .parse()
            .map(|contents| Some((answer.era, contents)))
            .map_err(|cause| StoreError::Invalid { cause })
    }
}

#[async_trait]
impl Objects for HttpObjects {
    fn era(&self) -> StoreEra {
        self.era.load(Ordering::Relaxed)
    }

    async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError> {
        let req = self.request(Method::Get, kind, Some(name));
        let found = self.read(req, MAX_OBJECT_ANSWER_BYTES).await?;
        found
            .map(|(era, envelope): (_, ObjectEnvelope)| envelope.into_object(kind, era))
            .transpose()
    }

    async fn create(&self, object: &Object) -> Result<StoreVersion, StoreError> {
        let mut req = self.request(Method::Post, &object.kind, None);
        req.set_body(ObjectEnvelope::request_body(object, None));
        self.write(req, &object.name).await
    }

    async fn update(&self, object: &Object) -> Result<StoreVersion, StoreError> {
        let mut req = self.request(Method::Put, &object.kind, Some(&object.name));
        req.set_body(ObjectEnvelope::request_body(object, Some(object.version)));
        self.replace(req, object).await
    }

    async fn delete(&self, object: &Object) -> Result<(), StoreError> {
        let mut req = self.request(Method::Delete, &object.kind, Some(&object.name));
        let options = serde_json::json!({
            "apiVersion": "v1",
            "kind": "DeleteOptions",
            "preconditions": {"resourceVersion": object.version.revision().to_string()},
        });
        req.set_body(options);
        self.replace(req, object).await.map(drop)
    }

    async fn list(&self, kind: &str) -> Result<Listing, StoreError> {
        let req = self.request(Method::Get, kind, None);
        let list = self.read(req, MAX_LIST_ANSWER_BYTES).await?;
        let (era, list): (_, ListEnvelope) = list.ok_or_else(|| StoreError::Invalid {
            cause: format!("the kind {kind} is not known"),
        })?;
        let version = parse_version(list.metadata.resource_version.as_deref(), era)?;
        let objects = list
            .items
            .iter()
            .filter_map(|entry| skip_unreadable(&self.log, kind, read_object(entry, kind, era)))
            .collect();
        Ok(Listing { objects, version })
    }

    async fn watch(
        &self,
        kind: &str,
        since: StoreVersion,
        wait: Duration,
    ) -> Result<Vec<Object>, StoreError> {
        let mut req = self.request(Method::Get, kind, None);
        let seconds = wait.as_secs().max(1);
        req.url_mut()
            .query_pairs_mut()
            .append_pair("watch", "1")
            .append_pair("resourceVersion", &since.revision().to_string())
            .append_pair("timeoutSeconds", &seconds.to_string());
        let limits = CallTimeouts::new(self.timeout);
        let mut res = send(self.addr, req, limits)
            .await
            .map_err(|err| CallError::from(err).into_read_error())?;
        if res.status() != StatusCode::Ok {
            let body = read_body(res.take_body(), MAX_OBJECT_ANSWER_BYTES).await;
            Answer::new(&res, self.era(), body.unwrap_or_default()).check_read()?;
        }
        let era = self
            .read_era(&res)
            .map_err(|cause| StoreError::NotApplied { cause })?;
        if era != since.era() {
            return Err(StoreError::Expired);
        }
        let mut lines = WatchLines::new(res, era);
        match within(wait, lines.next_batch(kind, &self.log)).await {
            Some(objects) => objects,
            None => Ok(Vec::new()),
        }
    }
}

/// The reason why a call has no answer.
enum CallError {
    /// Nothing of the call was sent.
    NotSent(String),
    /// The call was sent, and its answer was lost.
    Lost(String),
}

impl CallError {
    /// Converts the error of a read, which has no effect that could be in doubt.
    fn into_read_error(self) -> StoreError {
        let (CallError::NotSent(cause) | CallError::Lost(cause)) = self;
        StoreError::NotApplied { cause }
    }
}

impl From<SendError> for CallError {
    fn from(err: SendError) -> CallError {
        let cause = err.to_string();
        match err {
            SendError::NotSent { .. } => CallError::NotSent(cause),
            SendError::NoAnswer { .. } => CallError::Lost(cause),
        }
    }
}

/// A complete answer.
struct Answer {
    status: StatusCode,
    era: StoreEra,
    retry_after: Option<Duration>,
    body: Bytes,
}

impl Answer {
    fn new(res: &Response, era: StoreEra, body: Bytes) -> Answer {
        let retry_after = res
            .header(headers::RETRY_AFTER)
            .and_then(|value| value.as_str().parse().ok())
            .map(Duration::from_secs);
        Answer {
            status: res.status(),
            era,
            retry_after,
            body,
        }
    }

    /// Converts the status of a write into an error that says whether the write may have taken effect.
    fn check_write(&self, name: &str) -> Result<(), StoreError> {
        match (self.status, self.retry_after) {
            (status, _) if status.is_success() => Ok(()),
            (StatusCode::Conflict | StatusCode::NotFound | StatusCode::PreconditionFailed, _) => {
                Err(StoreError::Conflict {
                    name: name.to_owned(),
                })
            }
            (StatusCode::TooManyRequests, wait) => Err(StoreError::Throttled {
                wait: wait.unwrap_or(DEFAULT_RETRY_AFTER),
            }),
            (StatusCode::ServiceUnavailable, Some(wait)) => Err(StoreError::Throttled { wait }),
            (status, _) if status.is_client_error() => Err(StoreError::Invalid {
                cause: self.message(),
            }),
            _ => Err(StoreError::Ambiguous {
                cause: self.message(),
            }),
        }
    }

    fn check_read(&self) -> Result<(), StoreError> {
        match self.check_write("") {
            Err(StoreError::Ambiguous { cause }) => Err(StoreError::NotApplied { cause }),
            Err(_) if self.status == StatusCode::Gone => Err(StoreError::Expired),
            other => other,
        }
    }

    fn parse<T>(&self) -> Result<T, String>
    where
        T: for<'de> Deserialize<'de>,
    {
        serde_json::from_slice(&self.body).map_err(|err| format!("malformed answer: {err}"))
    }

    /// Returns the status and the API's own message.
    fn message(&self) -> String {
        let status: Option<Value> = serde_json::from_slice(&self.body).ok();
        let text = status.and_then(|s| Some(s.get("message")?.as_str()?.to_owned()));
        format!("{} {}", self.status as u16, text.unwrap_or_default())
    }
}

/// An object in the format of the API.
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
struct ObjectEnvelope {
    #[serde(default)]
    api_version: String,
    #[serde(default)]
    kind: String,
    metadata: Metadata,
    #[serde(default)]
    spec: Value,
}

#[derive(Default, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
struct Metadata {
    #[serde(default)]
    name: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    resource_version: Option<String>,
}

#[derive(Deserialize)]
struct ListEnvelope {
    metadata: Metadata,
    items: Vec<Entry>,
}

impl ObjectEnvelope {
    fn request_body(object: &Object, version: Option<StoreVersion>) -> Body {
        let envelope = ObjectEnvelope {
            api_version: API_VERSION.to_owned(),
            kind: object.kind.clone(),
            metadata: Metadata {
                name: object.name.clone(),
                resource_version: version.map(|v| v.revision().to_string()),
            },
            spec: object.spec.clone(),
        };
        let mut body = Body::from_string(
            serde_json::to_string(&envelope).expect("an object can be serialised as JSON"),
        );
        body.set_mime(mime::JSON);
        body
    }

    fn version(&self, era: StoreEra) -> Result<StoreVersion, StoreError> {
        parse_version(self.metadata.resource_version.as_deref(), era)
    }

    fn into_object(self, kind: &str, era: StoreEra) -> Result<Object, StoreError> {
        Ok(Object {
            version: self.version(era)?,
            kind: kind.to_owned(),
            name: self.metadata.name,
            spec: self.spec,
        })
    }
}

/// An event in the answer to a watch.
#[derive(Deserialize)]
struct WatchEvent {
    #[serde(rename = "type")]
    change: String,
    object: Entry,
}

/// An object of which only the metadata is read.
#[derive(Deserialize)]
struct DeletedEnvelope {
    metadata: Metadata,
}

impl WatchEvent {
    /// Returns the changed object, with a null spec if it was deleted, or `None` for a bookmark and
    /// for an object that can't be read.
    fn into_object(
        self,
        kind: &str,
        era: StoreEra,
        log: &Logger,
    ) -> Result<Option<Object>, StoreError> {
        match self.change.as_str() {
            "ADDED" | "MODIFIED" => {
                let object = read_object(&self.object, kind, era);
                Ok(skip_unreadable(log, kind, object))
            }
            "DELETED" => {
                let object = read_deleted(&self.object, kind, era);
                Ok(skip_unreadable(log, kind, object))
            }
            "ERROR" => Err(watch_error(&self.object)),
            _ => Ok(None),
        }
    }
}

/// Reads an object.
fn read_object(entry: &Entry, kind: &str, era: StoreEra) -> Result<Object, StoreError> {
    parse_entry::<ObjectEnvelope>(entry)?.into_object(kind, era)
}

/// Reads a deleted object, whose contents don't matter any more.
fn read_deleted(entry: &Entry, kind: &str, era: StoreEra) -> Result<Object, StoreError> {
    let DeletedEnvelope { metadata } = parse_entry(entry)?;
    Ok(Object {
        version: parse_version(metadata.resource_version.as_deref(), era)?,
        kind: kind.to_owned(),
        name: metadata.name,
        spec: Value::Null,
    })
}

/// Returns the error that an event of a watch states.
fn watch_error(entry: &Entry) -> StoreError {
    let status: Value = parse_entry(entry).unwrap_or_default();
    match status["code"] == 410 {
        true => StoreError::Expired,
        false => StoreError::NotApplied {
            cause: entry.to_string(),
        },
    }
}

/// The lines of the answer to a watch.
struct WatchLines {
    era: StoreEra,
    reader: BufReader<Body>,
}

impl WatchLines {
    fn new(mut res: Response, era: StoreEra) -> WatchLines {
        WatchLines {
            era,
            reader: BufReader::new(res.take_body()),
        }
    }

    /// Waits for an event; returns it with all further events that have already arrived.
    async fn next_batch(&mut self, kind: &str, log: &Logger) -> Result<Vec<Object>, StoreError> {
        let mut objects = Vec::new();
        loop {
            let next = if objects.is_empty() {
                Some(self.next().await?)
            } else {
                future::poll_once(self.next()).await.transpose()?
            };
            match next {
                Some(Some(event)) => objects.extend(event.into_object(kind, self.era, log)?),
                Some(None) | None => return Ok(objects),
            }
        }
    }

    /// Returns the next event, or `None` at the end of the answer.
    async fn next(&mut self) -> Result<Option<WatchEvent>, StoreError> {
        let mut line = Vec::new();
        let mut reader = (&mut self.reader).take(MAX_OBJECT_ANSWER_BYTES as u64);
        let read = reader.read_until(b'\n', &mut line).await;
        let n = read.map_err(|err| StoreError::NotApplied {
            cause: format!("watch was cut: {}", err.kind()),
        })?;
        if n == MAX_OBJECT_ANSWER_BYTES && line.last() != Some(&b'\n') {
            return Err(StoreError::Invalid {
                cause: format!("an event is larger than {MAX_OBJECT_ANSWER_BYTES} bytes"),
            });
        }
        if n == 0 {
            return Ok(None);
        }
        serde_json::from_slice(&line)
            .map(Some)
            .map_err(|err| StoreError::Invalid {
                cause: format!("malformed event: {err}"),
            })
    }
}

/// Reports whether an answer with this status states something of an object.
fn states_object(status: StatusCode) -> bool {
    let statuses = [
        StatusCode::Conflict,
        StatusCode::Gone,
        StatusCode::NotFound,
        StatusCode::PreconditionFailed,
    ];
    status.is_success() || statuses.contains(&status)
}

fn parse_version(text: Option<&str>, era: StoreEra) -> Result<StoreVersion, StoreError> {
    text.and_then(|text| text.parse().ok())
        .map(|revision| StoreVersion::new(era, revision))
        .ok_or_else(|| StoreError::Invalid {
            cause: format!("resourceVersion is {text:?}, not a number"),
        })
}

/// Returns the error for an accepted write whose answer has no valid version.
fn version_unknown(err: &StoreError) -> StoreError {
    StoreError::Ambiguous {
        cause: err.to_string(),
    }
}
