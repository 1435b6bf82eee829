/*!
The exchange of news: one call, which waits until there is something new.

Something is new when it changed, or when the word that it still holds is younger than the one that the
asking node has. So each read of the store travels on at once, whoever made it.
*/

use std::{
    net::SocketAddr,
    sync::{atomic::Ordering, Arc},
    time::Duration,
};

use cassiareel::runtime::within;
use http::{Method, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use slog::info;
use smol::{net::TcpListener, Timer};

use super::{
    cache_state::CacheState,
    change::Change,
    losses::{self, LossPosition, LossReport},
    members::Members,
    message,
};
use crate::{
    clock::{self, Moment},
    front::{empty_reply, serve_fn, Reply},
    model::Policy,
    net::Client,
    source::{Listing, Orders},
    state::State,
};

/// The path of the call.
const PATH: &str = "/news";

/// The time between looks of a node that needs no peer.
const IDLE_POLL: Duration = Duration::from_millis(250);

/// The largest question, in bytes.
const MAX_REQUEST_BYTES: usize = 1 << 10;

/// One word of an answer: its age, and the value where the asking node has an older one.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Update<T> {
    age: Duration,
    value: Option<Arc<T>>,
}

/// An answer.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Updates {
    /// How long the question waited for it.
    waited: Duration,
    /// Whether the store does not answer the node.
    #[serde(rename = "lost")]
    store_lost: bool,
    policy: Option<Update<Policy>>,
    listing: Option<Update<Listing>>,
    /// What changed in the registry, in place of the whole of it.
    change: Option<Change>,
    orders: Option<Update<Orders>>,
    members: Option<Update<Members>>,
    losses: LossReport,
}

/// Answers other nodes.
pub(crate) async fn serve_peers(state: Arc<State>, listener: TcpListener) {
    serve_fn(state, listener, |state, request| async move {
        if request.uri().path() == losses::PATH {
            return losses::serve(&state, request).await;
        }
        match read_state(request).await {
            Some(known) => answer_request(&state, known).await,
            None => empty_reply(StatusCode::BAD_REQUEST),
        }
    })
    .await;
}

async fn read_state(request: http::Request<Incoming>) -> Option<CacheState> {
    let body = Limited::new(request.into_body(), MAX_REQUEST_BYTES);
    let body = body.collect().await.ok()?.to_bytes();
    rmp_serde::from_slice(&body).ok()
}

/// Waits until there is something new, and tells it.
async fn answer_request(state: &State, known: CacheState) -> Reply {
    let waited = wait_for_updates(state, &known).await;
    let now = clock::now();
    let listing = state.store_cache.listing.get();
    let change = listing
        .as_ref()
        .and_then(|(listing, _)| state.store_cache.change_to(listing, known.revision));
    let updates = Updates {
        waited,
        store_lost: state.store_lost.load(Ordering::Relaxed),
        policy: update_for(state.store_cache.policy.get(), now, |policy| {
            Some(policy.version) > known.version
        }),
        listing: update_for(listing, now, |listing| {
            change.is_none() && Some(listing.revision) > known.revision
        }),
        change,
        orders: update_for(state.store_cache.orders.get(), now, |orders| {
            Some(orders.revision) > known.orders_revision
        }),
        members: update_for(state.store_cache.members.get(), now, |members| {
            Some(members.digest) != known.digest
        }),
        losses: losses::report_since(state, known.losses),
    };
    message::encode_reply(state, &updates)
}

/// Waits until this node holds something that is new to one that has `have`, for a time; tells how long.
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

/// What this node holds.
fn own_state(state: &State) -> CacheState {
    let cache = &state.store_cache;
    CacheState {
        version: cache.policy.get().map(|(policy, _)| policy.version),
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

/// How a peer answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PeerStatus {
    /// With words that are fresh, or with some that are new before it had to.
    Fresh,
    /// With nothing new for so long that what is held is overdue.
    Behind,
    /// With word that it is cut off from the store: others have to read.
    CutOff,
    /// Not at all, or with what can't be read.
    Silent,
}

impl PeerStatus {
    /// The name in logs.
    fn name(self) -> &'static str {
        match self {
            PeerStatus::Fresh => "fresh",
            PeerStatus::Behind => "behind",
            PeerStatus::CutOff => "cut off",
            PeerStatus::Silent => "silent",
        }
    }
}

/// Asks peers while this node does not read the store for the others, or can't.
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
        let client = Client::new(address, state.spawner.clone());
        follow_peer(&state, &client, &name).await;
    }
}

/// The peer to ask now.
fn peer_to_query(state: &State) -> Option<(String, SocketAddr)> {
    let overdue = !state.store_cache.is_fresh(state.reading().overdue_age());
    state.store_cache.roster().peer(clock::now(), overdue)
}

/// Asks one peer again and again, on a connection that is kept, as long as it answers and is the one
/// to ask.
async fn follow_peer(state: &State, client: &Client, name: &str) {
    let mut received = LossPosition::default();
    loop {
        let answer = fetch_updates(state, client, &mut received).await;
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

/// Asks one peer once. `heard` tells how far its losses were heard.
async fn fetch_updates(state: &State, client: &Client, received: &mut LossPosition) -> PeerStatus {
    let known = CacheState {
        losses: *received,
        ..own_state(state)
    };
    let Some(body) = message::encode_request(state, &known) else {
        return PeerStatus::Silent;
    };
    let reading = state.reading();
    let wait = known.wait(reading);
    let began = clock::now();
    let reply = client
        .call(Method::POST, PATH, body, wait + reading.answer_timeout())
        .await;
    let updates: Option<Updates> = reply
        .ok()
        .filter(|reply| reply.status == StatusCode::OK)
        .and_then(|reply| rmp_serde::from_slice(&reply.body).ok());
    let Some(updates) = updates else {
        return PeerStatus::Silent;
    };
    let (had_no_update, store_lost) = (updates.waited >= wait, updates.store_lost);
    *received = losses::receive(state, &updates.losses);
    apply_updates(state, updates, began);
    state.store_cache.updated.notify(usize::MAX);
    state.store_cache.peer_updated.notify(usize::MAX);
    if store_lost {
        PeerStatus::CutOff
    } else if had_no_update && !state.store_cache.is_fresh(reading.overdue_age()) {
        PeerStatus::Behind
    } else {
        PeerStatus::Fresh
    }
}

/// Takes in an answer to a call that began at `began`. The question arrived after that, and the ages
/// are those at the end of its wait: each read began no earlier than that end less its age.
fn apply_updates(state: &State, updates: Updates, began: Moment) {
    let cache = &state.store_cache;
    let answered_at = began + updates.waited;
    if let Some(update) = updates.policy {
        let read = answered_at.saturating_sub(update.age);
        match update.value {
            Some(policy) => cache.update_policy(policy, read),
            None => cache.policy.confirm(read),
        }
    }
    if let Some(update) = updates.listing {
        let read = answered_at.saturating_sub(update.age);
        match (update.value, updates.change) {
            (Some(listing), _) => cache.update_listing(listing, read),
            (None, Some(change)) => cache.apply_change(change, read),
            (None, None) => cache.listing.confirm(read),
        }
    }
    if let Some(update) = updates.orders {
        let read = answered_at.saturating_sub(update.age);
        match update.value {
            Some(orders) => cache.update_orders(orders, read),
            None => cache.orders.confirm(read),
        }
    }
    if let Some(update) = updates.members {
        let read = answered_at.saturating_sub(update.age);
        match update.value {
            Some(members) => state.update_members(members, read),
            None => cache.members.confirm(read),
        }
    }
}
