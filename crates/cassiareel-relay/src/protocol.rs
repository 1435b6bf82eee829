//! The requests, answers and headers of one platform, from which the relay reads what it has to
//! know.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::{header, request, response, HeaderMap, HeaderName};
use snafu::Snafu;

use crate::model::{AccountId, BackendId, RequestHead};

/// Headers that concern one connection only, and are not forwarded.
pub const HOP_BY_HOP_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Reads and writes the headers of a platform. An implementation takes no decisions.
pub trait Protocol: Send + Sync {
    /// Reads the facts of a caller's request.
    ///
    /// # Errors
    ///
    /// Fails when a header that decides how the request is handled is missing or can't be read.
    fn read_request(&self, head: &request::Parts) -> Result<RequestHead, RequestError>;

    /// Returns the headers for a backend server, made from those that the caller sent: without the
    /// caller's key and without headers that only the system sets.
    fn forwarded_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Adds the headers for one send of a request to one backend server.
    fn write_dispatch(&self, headers: &mut HeaderMap, send: &Dispatch);

    /// Adds the header by which only the expected process answers.
    fn write_expected_process(&self, headers: &mut HeaderMap, expect: &str);

    /// Reads the facts of a backend server's answer.
    fn read_answer(&self, head: &response::Parts) -> Answer;

    /// Returns the path of a backend server's report on itself, which needs no slot.
    fn report_path(&self) -> &'static str;

    /// Reads the part of a report that concerns one request.
    fn read_report(&self, body: &[u8], request: &str) -> Option<Report>;

    /// Returns the path of an engine's list of changes in its memory, which needs no slot.
    fn memory_events_path(&self) -> &'static str;

    /// Reads how many tokens of a part of a prompt an engine keeps.
    fn read_memory(&self, body: &[u8], part: u64) -> MemoryReading;

    /// Returns the call that makes an engine copy a run's memory to another engine while the run
    /// continues.
    fn copy_call(&self, request: &str, target: SocketAddr) -> EngineCall;

    /// Returns the call that reserves a slot and memory of an engine for one request, for `time`.
    fn reserve_call(&self, tokens: u64, time: Duration) -> EngineCall;

    /// Reads the reservation's name from a successful answer to [`Protocol::reserve_call`].
    fn read_reservation(&self, body: &[u8]) -> Option<String>;

    /// Returns the path for a DELETE at the run's engine that frees a copy.
    fn release_path(&self, name: &str) -> String;

    /// Reads the copy's name from a successful answer to [`Protocol::copy_call`].
    fn read_copy(&self, body: &[u8]) -> Option<String>;
}

/// What one send of a request adds for its backend server.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The process that is to run the request; any other refuses it.
    pub expected_process: BackendId,
    /// The client account.
    pub account: Option<AccountId>,
    /// The time left until the deadline.
    pub time_left: Duration,
    /// The rank among the engine's requests, 0 first.
    pub priority: Option<u8>,
    /// The last event that the caller has received.
    pub last_event: Option<u64>,
    /// The engine that is to keep a copy of the run's memory while it grows.
    pub backup: Option<SocketAddr>,
    /// The copy from which the run is resumed.
    pub copy: Option<MemoryCopy>,
    /// The reservation that the run uses.
    pub reservation: Option<Arc<str>>,
}

/// A copy of a run's memory at an engine.
#[derive(Clone, Debug)]
pub struct MemoryCopy {
    /// The engine by whose address the copy is named: its holder for a copy that grows with the
    /// run, the run's own engine for one that was requested.
    pub origin: SocketAddr,
    /// The copy's name at that engine: the request's id, or the name that the engine gave.
    pub name: Arc<str>,
}

/// A call of an engine's function beside its requests.
#[derive(Clone, Debug)]
pub struct EngineCall {
    /// The path, for a POST.
    pub path: &'static str,
    /// The body, in JSON.
    pub body: String,
}

/// The facts of a backend server's answer beside its status.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// The request that the answer belongs to, according to the backend server.
    pub request: Option<String>,
    /// Whether the answer has the signature of a run.
    pub signed: bool,
    /// Whether the backend server states that it did not run the request.
    pub not_run: bool,
    /// Whether the body is encoded, and so not the backend server's own bytes.
    pub encoded: bool,
    /// The load that the backend server reports.
    pub load: Option<Load>,
    /// How long the connection may stay idle, according to the backend server.
    pub keep_alive: Option<Duration>,
    /// Whether the backend server is leaving, and takes no new requests.
    pub leaving: bool,
    /// How long the backend server takes no requests from this node.
    pub retry_after: Option<Duration>,
    /// The limit on the requests that the backend server takes from all nodes together.
    pub limit: LimitHeader,
}

/// The limit that an answer names: the requests a second that its backend server takes from all
/// nodes together.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum LimitHeader {
    /// The answer names no limit.
    #[default]
    Absent,
    /// The limit, in requests a second.
    Rate(f64),
    /// The answer names several limits, or one that can't be read.
    Malformed {
        /// What the answer names.
        text: String,
        /// The lowest limit that can be read, in requests a second.
        lowest: Option<f64>,
    },
}

/// The load that a backend server reports with its answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
    /// How long work takes on its machine at this moment, where it is reported. 100 is as usual.
    pub work_percent: Option<u32>,
}

/// The part of an engine's report that concerns one request. A report is some hundred milliseconds
/// old.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// Whether the engine generates for the request. A request whose prompt is being read is not
    /// reported.
    pub runs: bool,
    /// Requests that wait or are processed at the engine; the request may be one of them.
    pub open_requests: u64,
    /// Events of the request that were generated.
    pub events: u64,
    /// Requests for which the engine generates.
    pub generating: u64,
    /// For each request for which the engine generates, its tokens in memory, its events
    /// and its priority.
    pub per_request: Vec<(u64, u64, u64)>,
    /// Memory in use that can't be freed, in tokens.
    pub used_tokens: u64,
    /// All of the engine's memory, in tokens; zero where it is not reported.
    pub capacity_tokens: u64,
    /// How many of the requests for which the engine generates could not be read.
    pub unreadable: usize,
}

/// What an engine's list of changes in its memory says of one part of a prompt.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MemoryReading {
    /// The part's tokens that the engine keeps; `None` where no readable change names the part.
    pub tokens: Option<u64>,
    /// How many changes could not be read.
    pub unreadable: usize,
}

/// A request that can't be handled.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum RequestError {
    /// A required header is missing.
    #[snafu(display("the request has no {name} header"))]
    Missing {
        /// The header.
        name: &'static str,
    },
    /// A header can't be read.
    #[snafu(display("the request's {name} header can't be read"))]
    Unreadable {
        /// The header.
        name: &'static str,
    },
}
