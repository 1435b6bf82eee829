//! How requests and answers carry what the relay has to know: the headers of one platform.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::{header, request, response, HeaderMap, HeaderName};
use snafu::Snafu;

use crate::model::{AccountId, BackendId, RequestHead};

/// Headers that concern one connection only, and are not passed on.
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

/// Reads and writes the headers of a platform. An implementation decides nothing.
pub trait Protocol: Send + Sync {
    /// Reads the facts of a caller's request.
    ///
    /// # Errors
    ///
    /// Fails when a header that decides how the request is handled is missing or can't be read.
    fn read_request(&self, head: &request::Parts) -> Result<RequestHead, RequestError>;

    /// Makes the headers that a backend server gets out of those that the caller sent: without the
    /// caller's key and without headers that are the system's to set.
    fn forwarded_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Adds the headers that hold for one send of a request to one backend server.
    fn write_dispatch(&self, headers: &mut HeaderMap, send: &Dispatch);

    /// Adds the header by which only one process answers.
    fn write_expected_process(&self, headers: &mut HeaderMap, expect: &str);

    /// Reads the facts of a backend server's answer.
    fn read_answer(&self, head: &response::Parts) -> Answer;

    /// The path of a backend server's report on itself, which needs no slot.
    fn report_path(&self) -> &'static str;

    /// Reads what a report says of one request.
    fn read_report(&self, body: &[u8], request: &str) -> Option<Report>;

    /// The path of an engine's list of what changed in its memory, which needs no slot.
    fn memory_events_path(&self) -> &'static str;

    /// Reads how many tokens of a prompt's part an engine keeps; `None` where its list does not
    /// name the part.
    fn read_memory(&self, body: &[u8], part: u64) -> Option<u64>;

    /// The call that tells an engine to copy a run's memory to another engine while the run goes on.
    fn copy_call(&self, request: &str, target: SocketAddr) -> EngineCall;

    /// The call that sets a place and memory of an engine aside for one request, for `time`.
    fn reserve_call(&self, tokens: u64, time: Duration) -> EngineCall;

    /// The reservation's name in a successful answer to [`Protocol::reserve_call`].
    fn read_reservation(&self, body: &[u8]) -> Option<String>;

    /// The path for a DELETE at the run's engine that frees a copy.
    fn release_path(&self, name: &str) -> String;

    /// The name of the copy in a successful answer to [`Protocol::copy_call`].
    fn read_copy(&self, body: &[u8]) -> Option<String>;
}

/// What one send of a request adds for its backend server.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The process that is to run it; any other refuses.
    pub expected_process: BackendId,
    /// The client account.
    pub account: Option<AccountId>,
    /// What is left of the time.
    pub time_left: Duration,
    /// The rank among the engine's requests, 0 first.
    pub priority: Option<u8>,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
    /// Where the engine is to keep a copy of the run's memory while it grows.
    pub backup: Option<SocketAddr>,
    /// The copy from which the run goes on.
    pub copy: Option<MemoryCopy>,
    /// The reservation that the run takes up.
    pub reservation: Option<Arc<str>>,
}

/// A copy of a run's memory at an engine.
#[derive(Clone, Debug)]
pub struct MemoryCopy {
    /// The engine by whose address the copy is named: its holder for a copy that grows with the
    /// run, the run's own engine for one that was asked for.
    pub origin: SocketAddr,
    /// Its name there: the request's id, or the one that the engine gave.
    pub name: Arc<str>,
}

/// A call of what an engine offers beside its requests.
#[derive(Clone, Debug)]
pub struct EngineCall {
    /// The path, for a POST.
    pub path: &'static str,
    /// The body, in JSON.
    pub body: String,
}

/// What a backend server's answer says beside its status.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// The request that the answer belongs to, as the backend server says.
    pub request: Option<String>,
    /// Whether the answer bears the signature of a run.
    pub signed: bool,
    /// Whether the backend server says that it did not run the request.
    pub not_run: bool,
    /// Whether the body is not the backend server's own bytes.
    pub encoded: bool,
    /// The load that the backend server tells.
    pub load: Option<Load>,
    /// How long the connection may stay idle, as the backend server says.
    pub keep_alive: Option<Duration>,
    /// Whether the backend server leaves, and wants no new requests.
    pub leaving: bool,
    /// How long the backend server wants no requests from this node.
    pub retry_after: Option<Duration>,
}

/// The load that a backend server tells on its answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// What an engine's report, which is some hundred milliseconds old, says of one request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// Whether the engine generates for the request. One whose prompt is being read is not told.
    pub runs: bool,
    /// Requests that wait at the engine or are worked on; the request may be one of them.
    pub open_requests: u64,
    /// Events of the request that were made.
    pub events: u64,
    /// Requests for which the engine generates.
    pub generating: u64,
    /// Each of them: its tokens in memory and its events.
    pub per_request: Vec<(u64, u64)>,
    /// Memory in use that can't yield, in tokens.
    pub used_tokens: u64,
    /// All of the engine's memory, in tokens; zero where it is not told.
    pub capacity_tokens: u64,
}

/// A request that can't be handled.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum RequestError {
    /// A header that is needed is missing.
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
