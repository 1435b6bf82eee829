/*!
What nodes tell each other of requests under which backend servers ended.

Such a request comes back at any node, and each node that has not heard of it would lose servers of its
own. So each loss goes up at once, to the relay that the node asks for news and from there to the first
reader, and down again with the answers to questions that wait. Each side says how far it has heard the
other, so that nothing is told twice over the same way, and a node that starts or asks another peer is
told all that still counts.
*/

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use cassiareel::{kernel::suspect::ReportedLoss, runtime::within};
use http::{Method, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use slog::info;
use smol::Timer;

use super::message;
use crate::{
    clock,
    front::{empty_reply, Reply},
    net::Client,
    state::State,
};

/// The path of the call that tells losses.
pub(super) const PATH: &str = "/losses";

/// The largest such call, in bytes.
const MAX_CALL_BYTES: usize = 64 << 10;

/// How long a peer may take to take losses in.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// The rest before another peer is told, where one did not answer.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// How often a node that has just started asks, and the rest in between.
const MAX_LEARN_ATTEMPTS: usize = 24;
const LEARN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The time between looks whether another peer has to be told.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// How far one life of a node has heard of losses, or was heard.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct LossPosition {
    /// Tells one run of a node's process from another.
    #[serde(rename = "life")]
    incarnation: u64,
    /// Losses that it knew.
    known: u64,
}

impl LossPosition {
    /// A life, and how many losses it knew.
    #[cfg(test)]
    pub(super) fn new(incarnation: u64, known: u64) -> LossPosition {
        LossPosition { incarnation, known }
    }

    /// Reports whether a node that stands here knows more than what was heard of it up to `heard`.
    pub(super) fn is_ahead_of(self, received: LossPosition) -> bool {
        self.known > received.known_in(self.incarnation)
    }

    /// How many losses of one life were heard.
    fn known_in(self, incarnation: u64) -> u64 {
        if self.incarnation == incarnation {
            self.known
        } else {
            0
        }
    }
}

/// Losses in an answer to a node that asks for news.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct LossReport {
    #[serde(rename = "mark")]
    position: LossPosition,
    losses: Vec<ReportedLoss>,
}

/// How far this node knows of losses.
pub(super) fn position(state: &State) -> LossPosition {
    LossPosition {
        incarnation: state.store_cache.incarnation,
        known: state.suspects().known_losses(),
    }
}

/// What is new to a node that heard this one up to `heard`.
pub(super) fn report_since(state: &State, received: LossPosition) -> LossReport {
    let incarnation = state.store_cache.incarnation;
    let known = received.known_in(incarnation);
    let (losses, known) = state.suspects().losses_since(known, clock::now());
    LossReport {
        position: LossPosition { incarnation, known },
        losses,
    }
}

/// Takes in what a peer answered; returns how far it was heard.
pub(super) fn receive(state: &State, report: &LossReport) -> LossPosition {
    receive_losses(state, &report.losses, "answer");
    report.position
}

/// Takes in a call that tells losses, or tells all to a node that has just started.
pub(super) async fn serve(state: &State, request: http::Request<Incoming>) -> Reply {
    if request.method() == Method::GET {
        return message::encode_reply(state, &report_since(state, LossPosition::default()));
    }
    let body = Limited::new(request.into_body(), MAX_CALL_BYTES);
    let Ok(body) = body.collect().await else {
        return empty_reply(StatusCode::BAD_REQUEST);
    };
    let Ok(losses) = rmp_serde::from_slice::<Vec<ReportedLoss>>(&body.to_bytes()) else {
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

/// A peer that was told losses.
#[derive(Debug, Default)]
struct Recipient {
    name: String,
    /// How many of this node's losses it was told.
    known: u64,
}

/// Learns what other nodes know where this one has just started and may ask nobody for news, since it
/// reads the store for them. What it knew before is forgotten, and they tell it only what is new.
async fn fetch_known_losses(state: &State) {
    state.wait_nodes_read().await;
    for attempt in 0..MAX_LEARN_ATTEMPTS {
        let peers = state.store_cache.roster().parents(clock::now());
        let Some((name, address)) = peers.get(attempt % peers.len().max(1)) else {
            return;
        };
        if !state.store_cache.is_forwarder() {
            return;
        }
        let client = Client::new(*address, state.spawner.clone());
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
        Timer::after(LEARN_RETRY_DELAY).await;
    }
}

/// Tells the peer that this node asks for news of each loss that it comes to know.
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

/// Tells one peer; reports whether it took them in.
async fn send(state: &State, address: SocketAddr, losses: &[ReportedLoss]) -> bool {
    let Some(body) = message::encode_request(state, losses) else {
        return false;
    };
    let client = Client::new(address, state.spawner.clone());
    let reply = client.call(Method::POST, PATH, body, CALL_TIMEOUT).await;
    reply.is_ok_and(|reply| reply.status == StatusCode::OK)
}
