/*!
The messages by which nodes keep the limits of backend servers together.

A node asks the owners of quotas for permits while it has requests for a limited backend server. One
call carries all backend servers of an owner, and never runs on the path of a request. Each message
also carries what its sender knows of the limits. A node that learns from an answer that a limit
begins, ends or moves tells all other nodes, which pass the message on along a tree, so that no node
sends more than a few messages. A node that starts asks another one before it serves, and a node
that had no contact for a while asks when it has contact again.
*/

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{atomic::Ordering, Arc},
    time::Duration,
};

use bytes::Bytes;
use cassiareel::{
    kernel::{
        quota::{
            node_key, LimitChange, LimitReading, NodeKey, PermitCall, PermitMessage, PermitReply,
            QuotaOwner, ReportedReading,
        },
        suspect::ProcessKey,
    },
    runtime::within,
};
use http::{Method, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use slog::info;
use smol::Timer;

use super::message;
use crate::{
    clock::{self, Moment},
    front::{empty_reply, Reply},
    net::{read_body, Client},
    state::State,
};

/// The path of the calls.
pub(super) const PATH: &str = "/limits";

/// The largest body of a call, in bytes.
const MAX_CALL_BYTES: usize = 64 << 10;

/// The limit of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// The time over which requests that find no permit are collected for one call.
const COLLECT_TIME: Duration = Duration::from_millis(5);

/// The interval at which calls that have become due are made while a limit holds.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The interval between log lines on the permits of one backend server.
const LOG_INTERVAL: Duration = Duration::from_secs(2);

/// The number of nodes to which each node passes a change on.
pub(super) const TREE_WIDTH: usize = 8;

/// How many peers a node that has just started asks for the limits, and the limit of each call. It
/// serves no requests before.
const MAX_FETCH_ATTEMPTS: usize = 2;
const FETCH_TIMEOUT: Duration = Duration::from_millis(150);

/// The interval between attempts where no peer answered.
const FETCH_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The sender of a message.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct Sender {
    node: NodeKey,
    address: SocketAddr,
}

/// A message to a node: a request for permits, or a change that is passed on.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct LimitMessage {
    permits: PermitMessage,
    /// The address of the node that sends the message.
    address: SocketAddr,
    /// The node at which a change was learnt that is to be passed on.
    origin: Option<Sender>,
}

/// How a reading became known, for logs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Origin {
    Answer,
    Peer,
}

impl Origin {
    fn name(self) -> &'static str {
        match self {
            Origin::Answer => "answer",
            Origin::Peer => "peer",
        }
    }
}

/// Records what a backend server's own answer says of its limit, and tells other nodes of a change.
pub(crate) fn record_answer(state: &Arc<State>, process: ProcessKey, reading: LimitReading) {
    let Some(change) = record(state, process, reading, Origin::Answer) else {
        return;
    };
    if !change.is_notable() {
        return;
    }
    if state.limit_spread().begin(process, clock::now()) {
        spread(state, &[process]);
    }
}

/// Tells all other nodes of the limits of processes.
fn spread(state: &Arc<State>, processes: &[ProcessKey]) {
    let now = clock::now();
    let quotas = state.server_limits.quotas();
    let reports = processes.iter().map(|process| quotas.report(*process, now));
    let readings: Vec<ReportedReading> = reports.flatten().collect();
    drop(quotas);
    pass_on(state, own_sender(state), &readings);
}

/// Records a reading, and logs a change.
fn record(
    state: &State,
    process: ProcessKey,
    reading: LimitReading,
    by: Origin,
) -> Option<LimitChange> {
    let change = state.server_limits.record(process, reading, clock::now())?;
    let backend = state.backends.find_process(process);
    let id = backend.as_ref().map(|backend| backend.entry.id.to_string());
    let service = backend.map(|backend| backend.entry.service.to_string());
    info!(state.log, "backend limit changed"; "backend" => &id, "service" => service,
        "limit" => change.after, "before" => change.before, "by" => by.name(),
        "age_ms" => clock::now().saturating_sub(reading.received).as_millis() as u64);
    if change.after.is_none() {
        state.metrics.remove_limit(id.as_deref());
    }
    Some(change)
}

/// Records the readings of a message; returns those that changed a limit notably.
fn record_readings(
    state: &State,
    readings: &[ReportedReading],
    at: Moment,
) -> Vec<ReportedReading> {
    let notable = readings.iter().filter(|report| {
        let change = record(state, report.process, report.reading(at), Origin::Peer);
        change.is_some_and(|change| change.is_notable())
    });
    notable.copied().collect()
}

/// Returns this node as a sender.
fn own_sender(state: &State) -> Sender {
    let settings = state.settings.load();
    Sender {
        node: node_key(&settings.node.name),
        address: settings.listen.peers,
    }
}

/// Passes readings on to this node's part of the tree whose root is `origin`. A part that is not
/// reached learns of the limit from answers or with permits.
fn pass_on(state: &Arc<State>, origin: Sender, readings: &[ReportedReading]) {
    if readings.is_empty() {
        return;
    }
    let Some((members, _)) = state.store_cache.members.get() else {
        return;
    };
    let own = own_sender(state);
    let nodes: Vec<(NodeKey, SocketAddr)> = members
        .records
        .iter()
        .map(|node| (node_key(&node.name), node.address))
        .collect();
    for (_, address) in children(&nodes, origin.node, own.node) {
        let message = LimitMessage {
            permits: PermitMessage {
                from: own.node,
                readings: readings.to_vec(),
                requests: Vec::new(),
            },
            address: own.address,
            origin: Some(origin),
        };
        let (task_state, address) = (state.clone(), *address);
        let task = async move {
            let client = task_state.client(address);
            if send(&task_state, &client, &message).await.is_none() {
                info!(task_state.log, "limit not passed on"; "peer" => %address);
            }
        };
        state.spawner.spawn(task).detach();
    }
}

/// Returns the nodes to which `own` passes a message of `origin` on: those below it in a tree over
/// the list, which begins at the origin or, if that is not in the list, at the first node.
pub(super) fn children(
    nodes: &[(NodeKey, SocketAddr)],
    origin: NodeKey,
    own: NodeKey,
) -> impl Iterator<Item = &(NodeKey, SocketAddr)> {
    let position = |key: NodeKey| nodes.iter().position(|(node, _)| *node == key);
    let count = nodes.len();
    let start = position(origin).unwrap_or(0);
    // A node that is not in the list passes its own message to the first one.
    let below = position(own).map_or(0..count.min(1), |own| {
        let place = (own + count - start) % count;
        place * TREE_WIDTH + 1..(place * TREE_WIDTH + TREE_WIDTH + 1).min(count)
    });
    below.map(move |place| &nodes[(place + start) % count])
}

/// Serves a message of another node: a GET asks for all readings.
pub(super) async fn serve(state: &Arc<State>, request: http::Request<Incoming>) -> Reply {
    let now = clock::now();
    if request.method() == Method::GET {
        let reply = PermitReply {
            readings: state.server_limits.quotas().readings(now),
            grants: Vec::new(),
        };
        return message::encode_reply(state, &reply);
    }
    let reading = read_body(request.into_body(), MAX_CALL_BYTES, &state.message_budget);
    let Ok(body) = reading.await else {
        return empty_reply(StatusCode::BAD_REQUEST);
    };
    let Ok(message) = rmp_serde::from_slice::<LimitMessage>(&body) else {
        return empty_reply(StatusCode::BAD_REQUEST);
    };
    message::encode_reply(state, &handle(state, &message))
}

fn handle(state: &Arc<State>, message: &LimitMessage) -> PermitReply {
    let now = clock::now();
    let sender = Sender {
        node: message.permits.from,
        address: message.address,
    };
    for sender in [Some(sender), message.origin].into_iter().flatten() {
        if state.server_limits.quotas().add_node(sender.node, now) {
            state.unlisted_nodes.add(sender.node, sender.address);
            info!(state.log, "unlisted node"; "peer" => %sender.address);
        }
    }
    let mut changed = record_readings(state, &message.permits.readings, now);
    if let Some(origin) = message.origin {
        let mut spread = state.limit_spread();
        changed.retain(|report| spread.accept(report.process, now));
        drop(spread);
        pass_on(state, origin, &changed);
    }
    state.server_limits.quotas().answer(&message.permits, now)
}

/// Sends a message; returns the reply, or `None` without one.
async fn send(state: &State, client: &Client, message: &LimitMessage) -> Option<PermitReply> {
    let body = message::encode_request(state, message)?;
    let reply = client.call(Method::POST, PATH, body, CALL_TIMEOUT).await;
    let reply = reply.ok().filter(|reply| reply.status == StatusCode::OK)?;
    rmp_serde::from_slice(&reply.body).ok()
}

/// Asks for permits as long as the node runs, beginning with what other nodes know of limits.
pub(crate) async fn follow_limits(state: Arc<State>) {
    state.wait_nodes_read().await;
    let is_fetched = fetch_readings(&state).await;
    state.limits_read.store(true, Ordering::Relaxed);
    let refetch = refetch_readings(state.clone(), is_fetched);
    state.spawner.spawn(refetch).detach();
    let mut clients: HashMap<SocketAddr, Arc<Client>> = HashMap::new();
    let mut logged = HashMap::new();
    loop {
        let wanted = state.server_limits.wanted.listen();
        let due = state.limit_spread().take_due(clock::now());
        spread(&state, &due);
        if !state.server_limits.is_any() && !state.limit_spread().is_pending() {
            clients.clear();
            logged.clear();
            wanted.await;
            continue;
        }
        within(POLL_INTERVAL, wanted).await;
        Timer::after(COLLECT_TIME).await;
        for call in state.server_limits.due_calls(clock::now()) {
            let Some(address) = address_of(&state, call.to) else {
                record_silence(&state, &call, None);
                continue;
            };
            let client = clients
                .entry(address)
                .or_insert_with(|| Arc::new(state.client(address)));
            let task = call_owner(state.clone(), client.clone(), address, call);
            state.spawner.spawn(task).detach();
        }
        report_use(&state, &mut logged);
    }
}

/// Returns the address of a node.
fn address_of(state: &State, node: NodeKey) -> Option<SocketAddr> {
    let members = state.store_cache.members.get();
    let listed = members.as_ref().and_then(|(members, _)| {
        let mut records = members.records.iter();
        records.find(|record| node_key(&record.name) == node)
    });
    listed
        .map(|record| record.address)
        .or_else(|| state.unlisted_nodes.address(node))
}

/// Asks one owner for permits.
async fn call_owner(state: Arc<State>, client: Arc<Client>, address: SocketAddr, call: PermitCall) {
    let asked_at = clock::now();
    let message = LimitMessage {
        permits: state.server_limits.quotas().message(&call, asked_at),
        address: own_sender(&state).address,
        origin: None,
    };
    let Some(reply) = send(&state, &client, &message).await else {
        record_silence(&state, &call, Some(address));
        return;
    };
    // The ages of the reply are those at some time after the call began.
    record_readings(&state, &reply.readings, asked_at);
    let was_silent = state.server_limits.quotas().apply(&call, &reply, asked_at);
    if was_silent {
        info!(state.log, "limit owner answers"; "peer" => %address);
    }
}

/// Records that an owner did not answer a call, or that its address is not known.
fn record_silence(state: &State, call: &PermitCall, address: Option<SocketAddr>) {
    let mut quotas = state.server_limits.quotas();
    if quotas.record_silence(call, clock::now()) {
        info!(state.log, "limit owner silent"; "peer" => address.map(|address| address.to_string()),
            "backends" => call.requests.len());
    }
}

/// The last log line on the permits of a backend server.
struct LoggedUse {
    at: Moment,
    used: u64,
}

/// Logs and measures the permits of each limited backend server that is in use.
fn report_use(state: &State, logged: &mut HashMap<ProcessKey, LoggedUse>) {
    let now = clock::now();
    let quotas = state.server_limits.quotas();
    for (process, pool) in quotas.limited(now) {
        let used = pool.used();
        let last = logged.entry(process).or_insert(LoggedUse { at: now, used });
        let spent = now.saturating_sub(last.at);
        if spent < LOG_INTERVAL || !pool.is_wanted(now) {
            continue;
        }
        let Some(backend) = state.backends.find_process(process) else {
            continue;
        };
        let sent = used.saturating_sub(last.used) as f64 / spent.as_secs_f64();
        let owner = quotas.owner(process);
        info!(state.log, "limit share"; "backend" => &*backend.entry.id,
            "service" => &*backend.entry.service, "limit" => pool.limit(now),
            "age_ms" => pool.reading().map(|r| now.saturating_sub(r.received).as_millis() as u64),
            "demand" => pool.demand(), "share" => sent, "permits" => pool.available(now),
            "owners" => quotas.owners(process, now).len(),
            "own_quota" => owner.map(QuotaOwner::quota),
            "users" => owner.map(QuotaOwner::users));
        state
            .metrics
            .set_limit(&backend.entry.id, pool.limit(now), pool.demand(), sent);
        *last = LoggedUse { at: now, used };
    }
}

/// Sends a peer what this node knows of the limits, and asks for what the peer knows, unless that
/// was done just before.
///
/// Nodes do so where a peer knows other limits than they: a change that was passed on may have been
/// lost, and a node that has just started may have asked a peer that did not know it either.
pub(super) fn exchange_readings(state: &Arc<State>, address: SocketAddr) {
    let now = clock::now();
    if !state.limit_spread().accept_exchange(now) {
        return;
    }
    let own = own_sender(state);
    let message = LimitMessage {
        permits: PermitMessage {
            from: own.node,
            readings: state.server_limits.quotas().readings(now),
            requests: Vec::new(),
        },
        address: own.address,
        origin: None,
    };
    let task_state = state.clone();
    let task = async move {
        let client = task_state.client(address);
        let is_sent = send(&task_state, &client, &message).await.is_some();
        if !is_sent || fetch_from(&task_state, &client).await.is_none() {
            info!(task_state.log, "limits not fetched"; "peer" => %address);
        }
    };
    state.spawner.spawn(task).detach();
}

/// Asks one node for the limits that it knows; returns those that changed notably, or `None` without
/// a reply.
async fn fetch_from(state: &State, client: &Client) -> Option<Vec<ReportedReading>> {
    let asked_at = clock::now();
    let reply = client.call(Method::GET, PATH, Bytes::new(), FETCH_TIMEOUT);
    let reply = reply.await.ok()?;
    let reply: PermitReply = rmp_serde::from_slice(&reply.body).ok()?;
    Some(record_readings(state, &reply.readings, asked_at))
}

/// Asks other nodes for the limits that they know; reports whether one answered.
async fn fetch_readings(state: &Arc<State>) -> bool {
    let peers = state.store_cache.roster().parents(clock::now());
    for (name, address) in peers.iter().take(MAX_FETCH_ATTEMPTS) {
        let client = state.client(*address);
        if let Some(known) = fetch_from(state, &client).await {
            // Owners have to know of this node before it takes a quota.
            pass_on(state, own_sender(state), &known);
            return true;
        }
        info!(state.log, "limits not fetched"; "peer" => name);
    }
    false
}

/// Asks other nodes for the limits until one answers, and again after each time in which this node
/// got no updates: it may have been cut off or suspended, and has missed changes. Its own answers
/// would show a limit only once it sends requests, and load queries are no requests.
async fn refetch_readings(state: Arc<State>, mut is_fetched: bool) {
    let mut last_update = clock::now();
    loop {
        state.store_cache.updated.listen().await;
        let now = clock::now();
        let gap = now.saturating_sub(last_update);
        last_update = now;
        if gap > state.reading().overdue_age() {
            is_fetched = false;
        }
        let has_peers = || !state.store_cache.roster().parents(now).is_empty();
        if is_fetched || !has_peers() {
            continue;
        }
        is_fetched = fetch_readings(&state).await;
        if !is_fetched {
            Timer::after(FETCH_RETRY_DELAY).await;
        }
    }
}
