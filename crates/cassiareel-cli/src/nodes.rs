//! A client for the operator API of nodes.

use std::{net::SocketAddr, time::Duration};

use cassiareel::{
    front::{Decisions, NodeStatus, OPERATOR_PATH},
    wire::{read_body, send, CallTimeouts},
};
use http_types::{Method, Request, Url};
use serde::de::DeserializeOwned;

/// The time limit of a call to a node.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The largest accepted answer of a node.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// A client for one node, which authenticates with an operator's key.
#[derive(Clone, Debug)]
pub struct NodeClient {
    /// The control address of the node.
    pub addr: SocketAddr,
    key: String,
}

impl NodeClient {
    /// Creates a client for the node at a control address.
    pub fn new(addr: SocketAddr, key: &str) -> NodeClient {
        NodeClient {
            addr,
            key: key.to_owned(),
        }
    }

    /// Returns the status of the node.
    ///
    /// # Errors
    ///
    /// Returns the reason if the node does not answer or refuses the call.
    pub async fn status(&self) -> Result<NodeStatus, String> {
        self.get("status", &[]).await
    }

    /// Returns the decision lines of a request.
    ///
    /// # Errors
    ///
    /// Returns the reason if the node does not answer or refuses the call.
    pub async fn decisions(&self, request: &str) -> Result<Decisions, String> {
        self.get("decisions", &[("request", request)]).await
    }

    /// Sends a GET request to the operator API and parses the JSON answer.
    async fn get<T>(&self, call: &str, query: &[(&str, &str)]) -> Result<T, String>
    where
        T: DeserializeOwned,
    {
        let mut url = Url::parse(&format!("http://{}{OPERATOR_PATH}{call}", self.addr))
            .map_err(|err| err.to_string())?;
        if !query.is_empty() {
            url.query_pairs_mut().extend_pairs(query);
        }
        let mut req = Request::new(Method::Get, url);
        req.insert_header("authorization", format!("Bearer {}", self.key));
        req.insert_header("connection", "close");
        let mut res = send(self.addr, req, CallTimeouts::new(CALL_TIMEOUT))
            .await
            .map_err(|err| err.to_string())?;
        let body = read_body(res.take_body(), MAX_ANSWER_BYTES)
            .await
            .map_err(|err| err.to_string())?;
        if !res.status().is_success() {
            return Err(error_message(&body).unwrap_or_else(|| res.status().to_string()));
        }
        serde_json::from_slice(&body).map_err(|err| err.to_string())
    }
}

/// Returns the message in the body of an error answer.
fn error_message(body: &[u8]) -> Option<String> {
    let body: serde_json::Value = serde_json::from_slice(body).ok()?;
    Some(body["error"]["message"].as_str()?.to_owned())
}
