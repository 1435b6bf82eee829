/*!
The exchange of losses: requests under which backend servers crashed.

Such a request may be sent again to any node, and each node that has not received the loss would
lose backend servers of its own. So each loss is sent at once to the forwarder that the node
queries, from there to the first reader, and from these to the other nodes in the replies to their
waiting requests. Each side states how far it has received the losses of the other, so that none is
sent twice over the same path, and a node that has just started or that queries another peer gets
all losses that still count.
*/

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use cassiareel::{kernel::suspect::ReportedLoss, runtime::within};
use http::{Method, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use slog::info;
use smol::Timer;

use super::message;
use crate::{
    clock,
    front::{empty_reply, Reply},
    net::read_body,
    state::State,
};

/// The path of the call that sends losses.
pub(super) const PATH: &str = "/losses";

/// The largest body of such a call, in bytes.
const MAX_CALL_BYTES: usize = 256 << 10;

/// The limit of a call that sends or fetches losses.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// The delay before losses are sent to another peer, where one did not answer.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// How many times a node that has just started tries to fetch known losses, and the delay between
/// attempts.
const MAX_FETCH_ATTEMPTS: usize = 24;
const FETCH_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The interval at which the node checks whether losses have to be sent to another peer.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// A position in the sequence of losses that one incarnation of a node came to know.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct LossPosition {
    /// Distinguishes one run of a node's process from another.
    #[serde(rename = "life")]
    incarnation: u64,
    /// The number of losses that the node knew.
    known: u64,
}

impl LossPosition {
    /// Creates a position from an incarnation and the number of losses that it knew.
    #[cfg(test)]
    pub(super) fn new(incarnation: u64, known: u64) -> LossPosition {
        LossPosition { incarnation, known }
    }

    /// Reports whether a node at this position knows losses beyond those that were received from it
    /// up to `received`.
    pub(super) fn is_ahead_of(self, received: LossPosition) -> bool {
        self.known > received.known_in(self.incarnation)
    }

    /// Returns how many losses of one incarnation were received.
    fn known_in(self, incarnation: u64) -> u64 {
        if self.incarnation == incarnation {
            self.known
        } else {
            0
        }
    }
}

/// The losses in a reply to a node's query.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct LossReport {
    #[serde(rename = "mark")]
    position: LossPosition,
    losses: Vec<ReportedLoss>,
}

/// Returns this node's own position.
pub(super) fn position(state: &State) -> LossPosition {
    LossPosition {
        incarnation: state.store_cache.incarnation,
        known: state.suspects().known_losses(),
    }
}

/// Returns the losses that are new to a node that has received this one's up to `received`.
pub(super) fn report_since(state: &State, received: LossPosition) -> LossReport {
    let incarnation = state.store_cache.incarnation;
    let known = received.known_in(incarnation);
    let (losses, known) = state.suspects().losses_since(known, clock::now());
    LossReport {
        position: LossPosition { incarnation, known },
        losses,
    }
}

/// Records the losses in a peer's reply; returns how far its losses have been received.
pub(super) fn receive(state: &State, report: &LossReport) -> LossPosition {
    receive_losses(state, &report.losses, "answer");
    report.position
}

/// Serves a call that sends losses, or returns all losses to a node that has just started.
pub(super) async fn serve(state: &State, request: http::Request<Incoming>) -> Reply {
    if request.method() == Method::GET {
        return message::encode_reply(state, &report_since(state, LossPosition::default()));
    }
    let reading = read_body(request.into_body(), MAX_CALL_BYTES, &state.message_budget);
    let Ok(body) = reading.await else {
        return empty_reply(StatusCode::BAD_REQUEST);
    };
    let Ok(losses) = rmp_serde::from_slice::<Vec<ReportedLoss>>(&body) else {
        return empty_reply(StatusCode::BAD_REQUEST);
    };
    receive_losses(state, &losses, "call");
    empty_reply(StatusCode::OK)
}

fn receive_losses(state: &State, losses: &[ReportedLoss], by: &str) {
    let new = state.suspects().merge(losses, clock::now());
    if new.is_empty() {
        return;
    }
    info!(state.log, "losses received"; "by" => by, "told" => losses.len(), "new" => new.len());
    state.store_cache.notify_loss();
}

/// A peer to which losses were sent.
#[derive(Debug, Default)]
struct Recipient {
    name: String,
    /// How many of this node's losses were sent to it.
    known: u64,
}

/// Fetches the losses that other nodes know, for a node that has just started and may query no
/// peer, since it reads the store for the others. The node has forgotten what it knew before, and
/// its peers send it only what is new.
async fn fetch_known_losses(state: &State) {
    state.wait_nodes_read().await;
    for attempt in 0..MAX_FETCH_ATTEMPTS {
        let peers = state.store_cache.roster().parents(clock::now());
        let Some((name, address)) = peers.get(attempt % peers.len().max(1)) else {
            return;
        };
        if !state.store_cache.is_forwarder() {
            return;
        }
        let client = state.client(*address);
        let reply = client
            .call(Method::GET, PATH, Bytes::new(), CALL_TIMEOUT)
            .await;
        let report = reply
            .ok()
            .and_then(|reply| rmp_serde::from_slice::<LossReport>(&reply.body).ok());
        if let Some(report) = report {
            receive_losses(state, &report.losses, "question");
            return;
        }
        info!(state.log, "losses not fetched"; "peer" => name);
        Timer::after(FETCH_RETRY_DELAY).await;
    }
}

/// Sends each loss that this node comes to know to the peer that it queries.
pub(crate) async fn send_losses(state: Arc<State>) {
    fetch_known_losses(&state).await;
    let mut recipient = Recipient::default();
    let mut failures = 0;
    loop {
        let loss_noted = state.store_cache.loss_noted.listen();
        let updated = state.store_cache.updated.listen();
        if state.suspects().known_losses() == 0 {
            loss_noted.await;
            continue;
        }
        let peers = state.store_cache.roster().parents(clock::now());
        let Some((name, address)) = peers.get(failures % peers.len().max(1)) else {
            // Nodes that start together may not know each other yet.
            within(CHECK_INTERVAL, updated).await;
            continue;
        };
        if recipient.name != *name {
            recipient = Recipient {
                name: name.clone(),
                known: 0,
            };
        }
        let (losses, known) = state.suspects().losses_since(recipient.known, clock::now());
        if losses.is_empty() {
            recipient.known = known;
            within(CHECK_INTERVAL, loss_noted).await;
        } else if send(&state, *address, &losses).await {
            recipient.known = known;
        } else {
            failures += 1;
            info!(state.log, "losses not sent"; "peer" => name, "count" => losses.len());
            Timer::after(RETRY_DELAY).await;
        }
    }
}

/// Sends losses to one peer; reports whether it accepted them.
async fn send(state: &State, address: SocketAddr, losses: &[ReportedLoss]) -> bool {
    let Some(body) = message::encode_request(state, losses) else {
        return false;
    };
    let client = state.client(address);
    let reply = client.call(Method::POST, PATH, body, CALL_TIMEOUT).await;
    reply.is_ok_and(|reply| reply.status == StatusCode::OK)
}
