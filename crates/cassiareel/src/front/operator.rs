/*!
The HTTP interface of a node for operators.

Operators read the state that only the node itself has: the revision in force, the open requests and
the decision log lines of one request. The interface is read-only; settings, moves and orders are
changed through the object API. Each call carries an operator's key, whose digest is in the settings
tree.

| call | answer |
| --- | --- |
| `GET /operator/status` | [`NodeStatus`] |
| `GET /operator/decisions?request=NAME` | [`Decisions`] |
*/

use std::{net::SocketAddr, sync::Arc};

use arc_swap::ArcSwap;
use http_types::{headers, Body, Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{json, Map, Value};

use crate::{
    kernel::{DataCentreId, NodeId, Revision},
    observe::RecentLines,
    settings::Snapshot,
    wire::{BoxFuture, Handler},
};

/// The path prefix of all calls.
pub const OPERATOR_PATH: &str = "/operator/";

/// The status that a node reports of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeStatus {
    /// Its name.
    pub name: NodeId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The revision of the settings in force; 0 for none yet.
    pub revision: Revision,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Requests of callers whose answers are not complete.
    pub open: usize,
    /// Time since it started, in seconds.
    pub uptime: u64,
}

/// The decision log lines of one request at one node.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Decisions {
    /// The lines, oldest first.
    pub lines: Vec<Map<String, Value>>,
    /// Number of lines, of any request, that the node has dropped because its buffer was full.
    pub dropped: u64,
}

/// A function that returns the status of a node.
pub type StatusSource = Arc<dyn Fn() -> NodeStatus + Send + Sync>;

/// Serves the requests of operators.
pub struct OperatorApi {
    settings: Arc<ArcSwap<Snapshot>>,
    recent: RecentLines,
    status: StatusSource,
}

impl OperatorApi {
    /// Creates an interface that reads the operators' keys from the settings in force.
    pub fn new(
        settings: Arc<ArcSwap<Snapshot>>,
        recent: RecentLines,
        status: StatusSource,
    ) -> OperatorApi {
        OperatorApi {
            settings,
            recent,
            status,
        }
    }

    fn answer(&self, req: &Request) -> Response {
        if let Some(problem) = self.key_problem(req) {
            return refuse(StatusCode::Unauthorized, problem);
        }
        let path = req.url().path().strip_prefix(OPERATOR_PATH);
        match (req.method(), path) {
            (Method::Get, Some("status")) => reply(StatusCode::Ok, &(self.status)()),
            (Method::Get, Some("decisions")) => self.decisions(req),
            (_, path) => refuse(
                StatusCode::NotFound,
                &format!(
                    "there is nothing at {} {OPERATOR_PATH}{}",
                    req.method(),
                    path.unwrap_or_default()
                ),
            ),
        }
    }

    fn decisions(&self, req: &Request) -> Response {
        let request = req
            .url()
            .query_pairs()
            .find(|(name, _)| name == "request")
            .map(|(_, value)| value.into_owned());
        let Some(request) = request else {
            return refuse(StatusCode::BadRequest, "name a request: `?request=NAME`");
        };
        let decisions = Decisions {
            lines: self.recent.find(&request),
            dropped: self.recent.dropped(),
        };
        reply(StatusCode::Ok, &decisions)
    }

    /// Returns the reason why a call's key is not accepted, or none if it is.
    fn key_problem(&self, req: &Request) -> Option<&'static str> {
        let snapshot = self.settings.load();
        let key = req
            .header(headers::AUTHORIZATION)
            .and_then(|header| header.as_str().strip_prefix("Bearer "));
        match key {
            None => Some("no operator's key: send `Authorization: Bearer KEY`"),
            Some(key) if snapshot.identify_operator(key.trim()).is_some() => None,
            Some(_) if snapshot.revision == 0 => Some("no settings are in force here yet"),
            Some(_) => Some("the key is no operator's: see platform.operators in the settings"),
        }
    }
}

impl Handler for OperatorApi {
    fn handle(&self, req: Request, _from: SocketAddr) -> BoxFuture<'_, Response> {
        Box::pin(async move { self.answer(&req) })
    }
}

fn refuse(status: StatusCode, message: &str) -> Response {
    reply(status, &json!({"error": {"message": message}}))
}

fn reply<T>(status: StatusCode, value: &T) -> Response
where
    T: Serialize,
{
    let mut res = Response::new(status);
    match Body::from_json(value) {
        Ok(body) => res.set_body(body),
        Err(_) => res.set_status(StatusCode::InternalServerError),
    }
    res
}
