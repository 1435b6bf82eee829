/*!
The operators' interface of a node.

Operators read here what a node knows and nobody else does: which revision is in force, what is
open, and the decision lines of one request. It changes nothing; settings, moves and orders are
changed through the object API. Each call carries an operator's key, whose digest is in the tree.

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
    observe::Recent,
    settings::Snapshot,
    wire::{BoxFuture, Handler},
};

/// The path that all calls begin with.
pub const OPERATOR_PATH: &str = "/operator/";

/// What a node says of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeStatus {
    /// Its name.
    pub name: NodeId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The revision of the settings in force; 0 for none yet.
    pub revision: Revision,
    /// Whether it stops.
    pub leaving: bool,
    /// Requests of callers that are not answered whole.
    pub open: usize,
    /// Seconds since it started.
    pub uptime: u64,
}

/// The decision lines of one request at one node.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Decisions {
    /// The lines, oldest first.
    pub lines: Vec<Map<String, Value>>,
    /// Lines of any request that the node has dropped for want of room.
    pub dropped: u64,
}

/// What tells the status of a node.
pub type StatusSource = Arc<dyn Fn() -> NodeStatus + Send + Sync>;

/// Answers operators.
pub struct Operator {
    settings: Arc<ArcSwap<Snapshot>>,
    recent: Recent,
    status: StatusSource,
}

impl Operator {
    /// An interface that reads the keys from the settings in force.
    pub fn new(settings: Arc<ArcSwap<Snapshot>>, recent: Recent, status: StatusSource) -> Operator {
        Operator {
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

    /// What is wrong with a call's key.
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

impl Handler for Operator {
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
