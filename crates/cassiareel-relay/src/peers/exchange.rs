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
    lost: bool,
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
        match read_have(request).await {
            Some(have) => answer(&state, have).await,
            None => empty_reply(StatusCode::BAD_REQUEST),
        }
    })
    .await;
}

async fn read_have(request: http::Request<Incoming>) -> Option<CacheState> {
    let body = Limited::new(request.into_body(), MAX_REQUEST_BYTES);
    let body = body.collect().await.ok()?.to_bytes();
    rmp_serde::from_slice(&body).ok()
}

/// Waits until there is something new, and tells it.
async fn answer(state: &State, have: CacheState) -> Reply {
    let waited = wait_for_news(state, &have).await;
    let now = clock::now();
    let listing = state.store_cache.listing.get();
    let change = listing
        .as_ref()
        .and_then(|(listing, _)| state.store_cache.change_to(listing, have.revision));
    let told = Updates {
        waited,
        lost: state.store_lost.load(Ordering::Relaxed),
        policy: word(state.store_cache.policy.get(), now, |policy| {
            Some(policy.version) > have.version
        }),
        listing: word(listing, now, |listing| {
            change.is_none() && Some(listing.revision) > have.revision
        }),
        change,
        orders: word(state.store_cache.orders.get(), now, |orders| {
            Some(orders.revision) > have.orders
        }),
        members: word(state.store_cache.members.get(), now, |members| {
            Some(members.digest) != have.digest
        }),
        losses: losses::answer(state, have.losses),
    };
    message::answer(state, &told)
}

/// Waits until this node holds something that is new to one that has `have`, for a time; tells how long.
async fn wait_for_news(state: &State, have: &CacheState) -> Duration {
    let began = clock::now();
    let limit = have.wait(state.reading());
    loop {
        let renewed = state.store_cache.updated.listen();
        let spent = clock::now().saturating_sub(began);
        if spent >= limit || holds(state).is_newer_than(have, spent) {
            return spent;
        }
        within(limit - spent, renewed).await;
    }
}

/// What this node holds.
fn holds(state: &State) -> CacheState {
    let news = &state.store_cache;
    CacheState {
        version: news.policy.get().map(|(policy, _)| policy.version),
        revision: news.listing.get().map(|(listing, _)| listing.revision),
        digest: news.members.get().map(|(members, _)| members.digest),
        members: news.members.age(),
        age: news.age(),
        patient: state.store_lost.load(Ordering::Relaxed)
            && news.roster().is_isolated(clock::now()),
        orders: news.orders.get().map(|(orders, _)| orders.revision),
        ordered: news.orders.age(),
        losses: losses::mark(state),
    }
}

fn word<F, T>(held: Option<(Arc<T>, Moment)>, now: Moment, differs: F) -> Option<Update<T>>
where
    F: FnOnce(&T) -> bool,
{
    let (value, began) = held?;
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
        let renewed = state.store_cache.updated.listen();
        if state.knows_from_store() {
            Timer::after(IDLE_POLL).await;
            continue;
        }
        let Some((name, address)) = peer(&state) else {
            within(IDLE_POLL, renewed).await;
            continue;
        };
        let caller = Client::new(address, state.spawner.clone());
        ask_on(&state, &caller, &name).await;
    }
}

/// The peer to ask now.
fn peer(state: &State) -> Option<(String, SocketAddr)> {
    let overdue = !state.store_cache.is_fresh(state.reading().overdue_age());
    state.store_cache.roster().peer(clock::now(), overdue)
}

/// Asks one peer again and again, on a connection that is kept, as long as it answers and is the one
/// to ask.
async fn ask_on(state: &State, caller: &Client, name: &str) {
    let mut heard = LossPosition::default();
    loop {
        let answer = ask(state, caller, &mut heard).await;
        if answer != PeerStatus::Fresh {
            if state.store_cache.roster().exclude(name, clock::now()) {
                info!(state.log, "peer left out"; "peer" => name, "answer" => answer.name(),
                    "age_ms" => state.store_cache.age().map(|age| age.as_millis() as u64));
            }
            return;
        }
        if state.store_cache.roster().readmit(name) {
            info!(state.log, "peer regained"; "peer" => name);
        }
        if state.knows_from_store() || peer(state).is_none_or(|(next, _)| next != name) {
            return;
        }
    }
}

/// Asks one peer once. `heard` tells how far its losses were heard.
async fn ask(state: &State, caller: &Client, heard: &mut LossPosition) -> PeerStatus {
    let have = CacheState {
        losses: *heard,
        ..holds(state)
    };
    let Some(body) = message::question(state, &have) else {
        return PeerStatus::Silent;
    };
    let reading = state.reading();
    let wait = have.wait(reading);
    let began = clock::now();
    let asked = caller
        .call(Method::POST, PATH, body, wait + reading.answer_timeout())
        .await;
    let told: Option<Updates> = asked
        .ok()
        .filter(|reply| reply.status == StatusCode::OK)
        .and_then(|reply| rmp_serde::from_slice(&reply.body).ok());
    let Some(told) = told else {
        return PeerStatus::Silent;
    };
    let (in_vain, lost) = (told.waited >= wait, told.lost);
    *heard = losses::receive(state, &told.losses);
    take_in(state, told, began);
    state.store_cache.updated.notify(usize::MAX);
    state.store_cache.peer_updated.notify(usize::MAX);
    if lost {
        PeerStatus::CutOff
    } else if in_vain && !state.store_cache.is_fresh(reading.overdue_age()) {
        PeerStatus::Behind
    } else {
        PeerStatus::Fresh
    }
}

/// Takes in an answer to a call that began at `began`. The question arrived after that, and the ages
/// are those at the end of its wait: each read began no earlier than that end less its age.
fn take_in(state: &State, told: Updates, began: Moment) {
    let news = &state.store_cache;
    let told_at = began + told.waited;
    if let Some(word) = told.policy {
        let read = told_at.saturating_sub(word.age);
        match word.value {
            Some(policy) => news.update_policy(policy, read),
            None => news.policy.confirm(read),
        }
    }
    if let Some(word) = told.listing {
        let read = told_at.saturating_sub(word.age);
        match (word.value, told.change) {
            (Some(listing), _) => news.update_listing(listing, read),
            (None, Some(change)) => news.apply_change(change, read),
            (None, None) => news.listing.confirm(read),
        }
    }
    if let Some(word) = told.orders {
        let read = told_at.saturating_sub(word.age);
        match word.value {
            Some(orders) => news.update_orders(orders, read),
            None => news.orders.confirm(read),
        }
    }
    if let Some(word) = told.members {
        let read = told_at.saturating_sub(word.age);
        match word.value {
            Some(members) => state.update_members(members, read),
            None => news.members.confirm(read),
        }
    }
}
