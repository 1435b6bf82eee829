//! The exchange of news: one call, which waits until there is something new.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cassiareel::runtime::within;
use http::{Method, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use smol::{net::TcpListener, Timer};

use crate::{
    clock::{self, Moment},
    front::{bare, serve_simple, whole, Reply},
    model::{Policy, Revision, Rollout},
    net::Caller,
    pace::WAIT,
    source::Listing,
    state::State,
};

/// The path of the call.
const PATH: &str = "/news";

/// How long a call may take beyond that.
const SPARE: Duration = Duration::from_millis(400);

/// The time between looks of a node that needs no peer.
const IDLE: Duration = Duration::from_millis(250);

/// The largest question, in bytes.
const MOST_BYTES: usize = 1 << 10;

/// What the asking node holds.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
struct Have {
    version: Option<u64>,
    revision: Option<Revision>,
}

/// One word of an answer: its age, and the value where the asking node has another.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Word<T> {
    age: Duration,
    value: Option<Arc<T>>,
}

/// An answer.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Told {
    policy: Option<Word<Policy>>,
    listing: Option<Word<Listing>>,
    rollouts: Option<Word<Vec<Rollout>>>,
}

/// Answers other nodes.
pub(crate) async fn serve_peers(state: Arc<State>, listener: TcpListener) {
    serve_simple(state, listener, |state, request| async move {
        match read_have(request).await {
            Some(have) => answer(&state, have).await,
            None => bare(StatusCode::BAD_REQUEST),
        }
    })
    .await;
}

async fn read_have(request: http::Request<Incoming>) -> Option<Have> {
    let body = Limited::new(request.into_body(), MOST_BYTES);
    let body = body.collect().await.ok()?.to_bytes();
    rmp_serde::from_slice(&body).ok()
}

/// Waits until there is something new, and tells it.
async fn answer(state: &State, have: Have) -> Reply {
    let listener = state.news.changed.listen();
    if holds(state) == (have.version, have.revision) {
        within(WAIT, listener).await;
    }
    let now = clock::now();
    let told = Told {
        policy: word(state.news.policy.get(), now, |policy| {
            Some(policy.version) != have.version
        }),
        listing: word(state.news.listing.get(), now, |listing| {
            Some(listing.revision) != have.revision
        }),
        rollouts: word(state.news.rollouts.get(), now, |_| true),
    };
    match rmp_serde::to_vec(&told) {
        Ok(body) => Response::new(whole(Bytes::from(body))),
        Err(err) => {
            warn!(state.log, "news not told"; "cause" => %err);
            bare(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// The version and the revision that are held.
fn holds(state: &State) -> (Option<u64>, Option<Revision>) {
    let policy = state.news.policy.get();
    let listing = state.news.listing.get();
    (
        policy.map(|(policy, _)| policy.version),
        listing.map(|(listing, _)| listing.revision),
    )
}

fn word<F, T>(held: Option<(Arc<T>, Moment)>, now: Moment, differs: F) -> Option<Word<T>>
where
    F: FnOnce(&T) -> bool,
{
    let (value, began) = held?;
    Some(Word {
        age: now.saturating_sub(began),
        value: differs(&value).then_some(value),
    })
}

/// Asks peers while this node does not read the store, or can't.
pub(crate) async fn follow_peers(state: Arc<State>) {
    loop {
        if state.knows_from_store() {
            Timer::after(IDLE).await;
            continue;
        }
        let peer = state.news.roster().peer(clock::now());
        let Some((name, address)) = peer else {
            Timer::after(IDLE).await;
            continue;
        };
        let caller = Caller::new(address, state.spawner.clone());
        // The connection is kept as long as the peer answers.
        while ask(&state, &caller).await {
            let peer = state.news.roster().peer(clock::now());
            if state.knows_from_store() || peer.is_none_or(|(next, _)| next != name) {
                break;
            }
        }
        if !state.news.is_fresh(state.peer_age()) {
            info!(state.log, "peer silent"; "peer" => &name);
            state.news.roster().note_silent(&name, clock::now());
        }
    }
}

/// Asks one peer once; `false` where it did not answer or knows too little itself.
async fn ask(state: &State, caller: &Caller) -> bool {
    let (version, revision) = holds(state);
    let have = Have { version, revision };
    let Ok(body) = rmp_serde::to_vec(&have) else {
        return false;
    };
    let began = clock::now();
    let asked = caller
        .call(Method::POST, PATH, Bytes::from(body), WAIT + SPARE)
        .await;
    let told: Option<Told> = asked
        .ok()
        .filter(|reply| reply.status == StatusCode::OK)
        .and_then(|reply| rmp_serde::from_slice(&reply.body).ok());
    let Some(told) = told else {
        return false;
    };
    take_in(state, told, began);
    state.news.heard.notify(usize::MAX);
    state.news.is_fresh(state.peer_age())
}

/// Takes in an answer to a call that began at `began`. The ages were told after that, so that each
/// read began no earlier than the call less its age.
fn take_in(state: &State, told: Told, began: Moment) {
    let news = &state.news;
    if let Some(word) = told.policy {
        let read = began.saturating_sub(word.age);
        match word.value {
            Some(policy) => news.put_policy(policy, read),
            None => news.policy.confirm(read),
        }
    }
    if let Some(word) = told.listing {
        let read = began.saturating_sub(word.age);
        match word.value {
            Some(listing) => news.put_listing(listing, read),
            None => news.listing.confirm(read),
        }
    }
    if let Some(word) = told.rollouts {
        if let Some(rollouts) = word.value {
            news.put_rollouts(rollouts, began.saturating_sub(word.age));
        }
    }
}
