/*!
The messages by which nodes send the counts of their requests to the candidates for the duty to report
usage.

A node sends a candidate what has changed since the candidate's last reply: its cumulative counts of
recent windows, its time of day and its demand. It sends to the holder and one more candidate, or to
all of them where it does not know the holder. Nothing is sent where nothing has changed. The interval
grows with the fleet, so that no candidate gets more than [`MAX_RATE`] messages a second.
*/

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{atomic::Ordering, Arc},
    time::Duration,
};

use bytes::Bytes;
use futures_util::future::join_all;
use http::{Method, StatusCode};
use hyper::body::Incoming;
use slog::{info, warn};
use smol::Timer;

use super::message;
use crate::{
    clock,
    duties::CANDIDATES,
    front::{empty_reply, Reply},
    kernel::usage::{History, UsageMessage, UsageReply},
    model::DemandSample,
    net::{read_body, Client},
    state::State,
    usage_meter::{LateCounts, UsageMeter},
};

/// The path of the call.
pub(super) const PATH: &str = "/usage";

/// The largest body of a call, in bytes.
const MAX_CALL_BYTES: usize = 256 << 10;

/// The limit of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// The limit of a call that fetches the counts of all nodes, about 0.5 MB from a fleet of 300.
const HISTORY_TIMEOUT: Duration = Duration::from_millis(900);

/// The limit of the last call of a node that stops.
const LAST_CALL_TIMEOUT: Duration = Duration::from_millis(150);

/// The shortest interval between the messages of a node to a candidate.
const MIN_INTERVAL: Duration = Duration::from_millis(500);

/// The largest number of messages that a candidate gets a second from all nodes.
const MAX_RATE: u32 = 200;

/// The interval at which a time of day is observed that could not be.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// The candidates that this node knows: its own name may be among them.
type Candidates = Vec<(String, SocketAddr)>;

/// Serves a message of another node.
pub(super) async fn serve(state: &State, request: http::Request<Incoming>) -> Reply {
    let Some(meter) = &state.usage else {
        return empty_reply(StatusCode::NOT_FOUND);
    };
    if request.method() == Method::GET {
        return message::encode_reply(state, &meter.history(None));
    }
    let reading = read_body(request.into_body(), MAX_CALL_BYTES, &state.message_budget);
    let Ok(body) = reading.await else {
        return empty_reply(StatusCode::BAD_REQUEST);
    };
    match rmp_serde::from_slice::<UsageMessage>(&body) {
        Ok(message) => message::encode_reply(state, &receive(state, meter, &message)),
        Err(err) => {
            warn!(state.log, "usage message unreadable"; "cause" => %err);
            empty_reply(StatusCode::BAD_REQUEST)
        }
    }
}

/// Merges a message; logs counts that came too late.
fn receive(state: &State, meter: &UsageMeter, message: &UsageMessage) -> UsageReply {
    let now = clock::now();
    if let Some(demand) = &message.demand {
        let mut fleet = state.demand.fleet();
        fleet.record(&message.sender, message.incarnation, demand.clone(), now);
    }
    let (reply, late) = meter.receive(message, now);
    for counts in late {
        log_late(state, &message.sender, counts);
    }
    reply
}

fn log_late(state: &State, sender: &str, late: LateCounts) {
    state.metrics.count_late_usage(late.cause, late.requests);
    warn!(state.log, "usage counts too late"; "window" => late.window, "peer" => sender,
        "requests" => late.requests, "cause" => late.cause,
        "silent_ms" => late.silent.map(|silent| silent.as_millis() as u64));
}

/// Sends this node's counts as long as it runs; returns at once where no duty needs them.
pub(crate) async fn send_usage(state: Arc<State>) {
    let Some(meter) = state.usage.clone() else {
        return;
    };
    let mut clients = HashMap::new();
    loop {
        let was_confirmed = meter.is_confirmed();
        send_round(&state, &meter, &mut clients, CALL_TIMEOUT).await;
        let is_new = !was_confirmed && meter.is_confirmed();
        // Requests that waited for the time to be confirmed are sent at once.
        if !is_new {
            let nodes = state.node_count.load(Ordering::Relaxed);
            Timer::after(interval(nodes)).await;
        }
    }
}

/// Sends the last counts of a node that is about to exit.
pub(crate) async fn send_last_usage(state: &State) {
    if let Some(meter) = &state.usage {
        send_round(state, meter, &mut HashMap::new(), LAST_CALL_TIMEOUT).await;
    }
}

/// Returns the interval between the messages of a node to a candidate.
pub(super) fn interval(nodes: u32) -> Duration {
    MIN_INTERVAL.max(Duration::from_secs(1) * nodes / MAX_RATE)
}

/// Sends what has changed to the candidates.
async fn send_round(
    state: &State,
    meter: &UsageMeter,
    clients: &mut HashMap<SocketAddr, Client>,
    limit: Duration,
) {
    let candidates = state
        .store_cache
        .roster()
        .first_readers(CANDIDATES, clock::now());
    let own = state.settings.load().node.name.clone();
    let members = state.store_cache.members.get();
    let others = members.map(|(members, _)| {
        let nodes = members.records.iter();
        nodes.filter(|node| node.name != own).count()
    });
    while !observe(meter) {
        Timer::after(RETRY_DELAY).await;
    }
    meter.advance(
        clock::now(),
        others.and_then(|others| others.try_into().ok()),
    );
    let demand = if meter.sends_demand() {
        state.sample_demand()
    } else {
        Vec::new()
    };
    if candidates.iter().any(|(name, _)| *name == own) {
        merge_own(state, meter, &own, &demand);
    }
    let names: Vec<String> = candidates.iter().map(|(name, _)| name.clone()).collect();
    let recipients = meter.recipients(&names);
    let due = messages(meter, &candidates, &recipients, &demand);
    clients.retain(|address, _| candidates.iter().any(|(_, known)| known == address));
    for (_, address, _) in &due {
        clients
            .entry(*address)
            .or_insert_with(|| state.client(*address));
    }
    let calls = due.iter().filter_map(|(name, address, message)| {
        let client = clients.get(address)?;
        Some(send(state, meter, name, client, message, limit))
    });
    let asked = meter.to_ask(&names);
    let asked = candidates.iter().filter(|(name, _)| asked.contains(name));
    let asks = asked.map(|(name, address)| fetch_history(state, meter, name, *address));
    futures_lite::future::zip(join_all(calls), join_all(asks)).await;
}

/// Fetches the counts that another candidate has, for a node that holds the duty since a moment ago.
async fn fetch_history(state: &State, meter: &UsageMeter, name: &str, address: SocketAddr) {
    let client = state.client(address);
    let reply = client.call(Method::GET, PATH, Bytes::new(), HISTORY_TIMEOUT);
    let reply = reply.await.ok();
    let reply = reply.filter(|reply| reply.status == StatusCode::OK);
    let history = reply.and_then(|reply| rmp_serde::from_slice::<History>(&reply.body).ok());
    match history {
        Some(history) => {
            meter.merge_history(name, &history, clock::now());
            info!(state.log, "usage counts fetched"; "peer" => name,
                "counts" => history.counts.len(), "fixed" => history.fixed);
        }
        None => info!(state.log, "usage counts not fetched"; "peer" => name),
    }
}

/// Observes the time of day; fails where the VM was suspended meanwhile.
fn observe(meter: &UsageMeter) -> bool {
    let Some((now, time)) = clock::time_of_day() else {
        return false;
    };
    meter.observe(now, time);
    true
}

/// Merges this node's own counts, where it is a candidate.
fn merge_own(state: &State, meter: &UsageMeter, own: &str, demand: &[DemandSample]) {
    let now = clock::now();
    if let Some(message) = meter.message(own, demand, now) {
        let reply = receive(state, meter, &message);
        meter.record_reply(own, reply, now, now);
    }
}

/// Returns the messages that are due.
fn messages(
    meter: &UsageMeter,
    candidates: &Candidates,
    recipients: &[String],
    demand: &[DemandSample],
) -> Vec<(String, SocketAddr, UsageMessage)> {
    let chosen = candidates
        .iter()
        .filter(|(name, _)| recipients.contains(name));
    let due = chosen.filter_map(|(name, address)| {
        let message = meter.message(name, demand, clock::now())?;
        Some((name.clone(), *address, message))
    });
    due.collect()
}

/// Sends a message to a candidate and records its reply.
async fn send(
    state: &State,
    meter: &UsageMeter,
    name: &str,
    client: &Client,
    message: &UsageMessage,
    limit: Duration,
) {
    let Some(body) = message::encode_request(state, message) else {
        return;
    };
    let sent_at = clock::now();
    let reply = client.call(Method::POST, PATH, body, limit).await;
    let reply = reply.ok().filter(|reply| reply.status == StatusCode::OK);
    let reply = reply.and_then(|reply| rmp_serde::from_slice(&reply.body).ok());
    match reply {
        Some(reply) => meter.record_reply(name, reply, sent_at, clock::now()),
        None if meter.record_silence(name) => {
            info!(state.log, "usage counts not sent"; "peer" => name,
                "windows" => message.windows.len());
        }
        None => {}
    }
}
