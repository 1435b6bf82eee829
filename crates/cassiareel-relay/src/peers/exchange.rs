/*!
The exchange of updates: one call, which waits until there is an update.

A value is an update when it has changed, or when it is unchanged but younger than the value of the
querying node. So each read of the store is passed on at once, whichever node made it.
*/

use std::{
    net::SocketAddr,
    sync::{atomic::Ordering, Arc},
    time::Duration,
};

use cassiareel::runtime::within;
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use slog::info;
use smol::{net::TcpListener, Timer};

use super::{
    cache_state::CacheState,
    change::Change,
    limits,
    losses::{self, LossPosition, LossReport},
    members::Members,
    message,
    policy_update::PolicyUpdate,
    usage,
};
use crate::{
    clock::{self, Moment},
    front::{empty_reply, serve_fn, Reply},
    model::StoreRevision,
    net::{read_body, Client},
    source::{Listing, Orders},
    state::State,
};

/// The path of the call.
const PATH: &str = "/news";

/// The header of a reply that holds the digest of the backend servers whose limits its sender knows.
/// It is missing where it knows none.
const LIMITS_HEADER: &str = "limits";

/// The interval at which a node that needs no peer checks whether it needs one.
const IDLE_POLL: Duration = Duration::from_millis(250);

/// The longest time for which a node that starts waits for what its peers know.
const START_QUERY_TIMEOUT: Duration = Duration::from_millis(600);

/// The maximum number of peers that it asks.
const MAX_START_QUERIES: usize = 3;

/// The largest body of a request, in bytes.
const MAX_REQUEST_BYTES: usize = 1 << 10;

/// The update of one value: its age, and the value itself where the querying node has an older one.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Update<T> {
    age: Duration,
    value: Option<Arc<T>>,
}

/// A reply.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Updates {
    /// How long the request waited for the reply.
    waited: Duration,
    /// Whether the store does not answer the node.
    #[serde(rename = "lost")]
    store_lost: bool,
    policy: Option<PolicyUpdate>,
    listing: Option<Update<Listing>>,
    /// The change of the registry, in place of the whole registry.
    change: Option<Change>,
    orders: Option<Update<Orders>>,
    members: Option<Update<Members>>,
    losses: LossReport,
}

/// Serves the requests of other nodes.
pub(crate) async fn serve_peers(state: Arc<State>, listener: TcpListener) {
    serve_fn(state, listener, |state, request| async move {
        if request.uri().path() == losses::PATH {
            return losses::serve(&state, request).await;
        }
        if request.uri().path() == limits::PATH {
            return limits::serve(&state, request).await;
        }
        if request.uri().path() == usage::PATH {
            return usage::serve(&state, request).await;
        }
        match read_state(&state, request).await {
            Some(known) => answer_request(&state, known).await,
            None => empty_reply(StatusCode::BAD_REQUEST),
        }
    })
    .await;
}

async fn read_state(state: &State, request: http::Request<Incoming>) -> Option<CacheState> {
    let reading = read_body(
        request.into_body(),
        MAX_REQUEST_BYTES,
        &state.message_budget,
    );
    let body = reading.await.ok()?;
    rmp_serde::from_slice(&body).ok()
}

/// Waits until there is an update, and replies with it.
async fn answer_request(state: &State, known: CacheState) -> Reply {
    let waited = wait_for_updates(state, &known).await;
    let now = clock::now();
    let listing = state.store_cache.listing.get();
    let change = listing
        .as_ref()
        .and_then(|(listing, _)| state.store_cache.change_to(listing, known.revision));
    let orders = state.store_cache.orders.get();
    let updates = Updates {
        waited,
        store_lost: state.store_lost.load(Ordering::Relaxed),
        policy: PolicyUpdate::new(&state.store_cache.policy, known.version, now),
        listing: update_in_era(listing, now, known.revision, |listing| listing.revision).map(
            |update| Update {
                value: update.value.filter(|_| change.is_none()),
                ..update
            },
        ),
        change,
        orders: update_in_era(orders, now, known.orders_revision, |orders| orders.revision),
        members: update_for(state.store_cache.members.get(), now, |members| {
            Some(members.digest) != known.digest
        }),
        losses: losses::report_since(state, known.losses),
    };
    let mut reply = message::encode_reply(state, &updates);
    let digest = state.server_limits.digest(now);
    if digest != 0 {
        let value = HeaderValue::from(digest);
        reply.headers_mut().insert(LIMITS_HEADER, value);
    }
    reply
}

/// Returns the digest of the limits that the sender of a reply knows.
fn limits_digest(headers: &HeaderMap) -> u64 {
    let value = headers.get(LIMITS_HEADER);
    let text = value.and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Waits until this node has an update for one whose state is `known`, up to a limit; returns how
/// long it waited.
async fn wait_for_updates(state: &State, known: &CacheState) -> Duration {
    let began = clock::now();
    let limit = known.wait(state.reading());
    loop {
        let updated = state.store_cache.updated.listen();
        let spent = clock::now().saturating_sub(began);
        if spent >= limit || own_state(state).is_newer_than(known, spent) {
            return spent;
        }
        within(limit - spent, updated).await;
    }
}

/// Returns the state of this node's cache.
fn own_state(state: &State) -> CacheState {
    let cache = &state.store_cache;
    CacheState {
        version: cache.policy.get().map(|known| known.policy.version),
        config_era: cache.policy.era(),
        revision: cache.listing.get().map(|(listing, _)| listing.revision),
        digest: cache.members.get().map(|(members, _)| members.digest),
        members_age: cache.members.age(),
        age: cache.age(),
        is_isolated: state.store_lost.load(Ordering::Relaxed)
            && cache.roster().is_isolated(clock::now()),
        orders_revision: cache.orders.get().map(|(orders, _)| orders.revision),
        orders_age: cache.orders.age(),
        losses: losses::position(state),
    }
}

/// Returns the update of a value for a node that has the revision `known`: the value where this
/// node's is newer, its age where it is of the same era, and nothing where it is of an earlier one.
fn update_in_era<F, T>(
    cached: Option<(Arc<T>, Moment)>,
    now: Moment,
    known: Option<StoreRevision>,
    revision: F,
) -> Option<Update<T>>
where
    F: Fn(&T) -> StoreRevision,
{
    let own = revision(&cached.as_ref()?.0);
    if known.is_some_and(|known| own.era() < known.era()) {
        return None;
    }
    update_for(cached, now, |_| Some(own) > known)
}

fn update_for<F, T>(cached: Option<(Arc<T>, Moment)>, now: Moment, differs: F) -> Option<Update<T>>
where
    F: FnOnce(&T) -> bool,
{
    let (value, began) = cached?;
    Some(Update {
        age: now.saturating_sub(began),
        value: differs(&value).then_some(value),
    })
}

/// The result of a query.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PeerStatus {
    /// The peer answered with fresh values, or with an update before its wait was over.
    Fresh,
    /// The peer had no update for so long that the cached values are overdue.
    Behind,
    /// The peer reported that it is cut off from the store: other nodes have to read.
    CutOff,
    /// The peer did not answer, or its answer can't be read.
    Silent,
}

impl PeerStatus {
    /// Returns the name in logs.
    fn name(self) -> &'static str {
        match self {
            PeerStatus::Fresh => "fresh",
            PeerStatus::Behind => "behind",
            PeerStatus::CutOff => "cut off",
            PeerStatus::Silent => "silent",
        }
    }
}

/// Queries peers while this node does not read the store for the others, or can't.
pub(crate) async fn follow_peers(state: Arc<State>) {
    loop {
        let updated = state.store_cache.updated.listen();
        if state.is_active_reader() {
            Timer::after(IDLE_POLL).await;
            continue;
        }
        let Some((name, address)) = peer_to_query(&state) else {
            within(IDLE_POLL, updated).await;
            continue;
        };
        let client = state.client(address);
        follow_peer(&state, &client, &name).await;
    }
}

/// Returns the peer to query now.
fn peer_to_query(state: &State) -> Option<(String, SocketAddr)> {
    let overdue = !state.store_cache.is_fresh(state.reading().overdue_age());
    state.store_cache.roster().peer(clock::now(), overdue)
}

/// Queries one peer repeatedly on a kept connection, as long as it answers and is the preferred
/// one.
async fn follow_peer(state: &Arc<State>, client: &Client, name: &str) {
    let mut received = LossPosition::default();
    loop {
        let (answer, digest) = fetch_updates(state, client, &mut received).await;
        if digest.is_some_and(|digest| digest != state.server_limits.digest(clock::now())) {
            limits::exchange_readings(state, client.address());
        }
        if answer != PeerStatus::Fresh {
            if state.store_cache.roster().exclude(name, clock::now()) {
                info!(state.log, "peer excluded"; "peer" => name, "answer" => answer.name(),
                    "age_ms" => state.store_cache.age().map(|age| age.as_millis() as u64));
            }
            return;
        }
        if state.store_cache.roster().readmit(name) {
            info!(state.log, "peer readmitted"; "peer" => name);
        }
        if state.is_active_reader() || peer_to_query(state).is_none_or(|(next, _)| next != name) {
            return;
        }
    }
}

/// Queries one peer once; returns the result, and the digest of the limits that the peer knows.
/// `received` is how far its losses were received.
async fn fetch_updates(
    state: &State,
    client: &Client,
    received: &mut LossPosition,
) -> (PeerStatus, Option<u64>) {
    let known = CacheState {
        losses: *received,
        ..own_state(state)
    };
    let reading = state.reading();
    let wait = known.wait(reading);
    let Some((updates, digest)) = query(state, client, &known).await else {
        return (PeerStatus::Silent, None);
    };
    let (had_no_update, store_lost) = (updates.waited >= wait, updates.store_lost);
    *received = losses::receive(state, &updates.losses);
    let status = if store_lost {
        PeerStatus::CutOff
    } else if had_no_update && !state.store_cache.is_fresh(reading.overdue_age()) {
        PeerStatus::Behind
    } else {
        PeerStatus::Fresh
    };
    (status, Some(digest))
}

/// Sends a peer the state of this node's cache, and applies its reply except for the losses; returns
/// the reply and the digest of the limits that the peer knows.
async fn query(state: &State, client: &Client, known: &CacheState) -> Option<(Updates, u64)> {
    let body = message::encode_request(state, known)?;
    let limit = known.wait(state.reading()) + state.reading().answer_timeout();
    let began = clock::now();
    let reply = client.call(Method::POST, PATH, body, limit).await;
    let reply = reply.ok().filter(|reply| reply.status == StatusCode::OK)?;
    let updates: Updates = rmp_serde::from_slice(&reply.body).ok()?;
    apply_updates(state, &updates, known, began);
    state.store_cache.updated.notify(usize::MAX);
    state.store_cache.peer_updated.notify(usize::MAX);
    Some((updates, limits_digest(&reply.headers)))
}

/// Applies a reply to a call that began at `began`. The request arrived after `began`, and the ages
/// are those at the end of its wait: each read began no earlier than the end of the wait minus the
/// age.
fn apply_updates(state: &State, updates: &Updates, known: &CacheState, began: Moment) {
    let cache = &state.store_cache;
    // The reply is no later than now, whatever its sender states.
    let took = clock::now().saturating_sub(began);
    let answered_at = began + updates.waited.min(took);
    if let Some(update) = &updates.policy {
        update.apply(&cache.policy, answered_at);
    }
    if let Some(update) = &updates.listing {
        let read = answered_at.saturating_sub(update.age);
        match (&update.value, &updates.change) {
            (Some(listing), _) => cache.update_listing(listing.clone(), read),
            (None, Some(change)) => cache.apply_change(change, read),
            (None, None) => cache.listing.confirm_if(read, |listing| {
                is_same_era(listing.revision, known.revision)
            }),
        }
    }
    if let Some(update) = &updates.orders {
        let read = answered_at.saturating_sub(update.age);
        match &update.value {
            Some(orders) => cache.update_orders(orders.clone(), read),
            None => cache.orders.confirm_if(read, |orders| {
                is_same_era(orders.revision, known.orders_revision)
            }),
        }
    }
    if let Some(update) = &updates.members {
        let read = answered_at.saturating_sub(update.age);
        match &update.value {
            Some(members) => state.update_members(members.clone(), read),
            None => cache.members.confirm(read),
        }
    }
}

/// Reports whether the cached value is of the era of the one that a peer confirmed.
fn is_same_era(cached: StoreRevision, confirmed: Option<StoreRevision>) -> bool {
    confirmed.is_some_and(|confirmed| confirmed.era() == cached.era())
}

/// Asks peers for what they know, until one has a configuration: a node that starts may read a configuration
/// from a restored store that is older than the one that the others have in force.
pub(crate) async fn ask_peer_at_start(state: Arc<State>) {
    state.wait_nodes_read().await;
    within(START_QUERY_TIMEOUT, async {
        let peers = state.store_cache.roster().parents(clock::now());
        for (_, address) in peers.into_iter().take(MAX_START_QUERIES) {
            let client = state.client(address);
            // With such an age, a peer that knows nothing does not wait for an update.
            let known = CacheState {
                age: Some(Duration::MAX),
                ..CacheState::default()
            };
            let reply = query(&state, &client, &known).await;
            if reply.is_some_and(|(updates, _)| updates.policy.is_some()) {
                break;
            }
        }
    })
    .await;
    state.peer_asked.store(true, Ordering::Relaxed);
}
