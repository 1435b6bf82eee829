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
    change::Change,
    have::Have,
    losses::{self, Mark, ToldLosses},
    members::Members,
    message,
};
use crate::{
    clock::{self, Moment},
    front::{bare, serve_simple, Reply},
    model::Policy,
    net::Caller,
    source::{Listing, Orders},
    state::State,
};

/// The path of the call.
const PATH: &str = "/news";

/// The time between looks of a node that needs no peer.
const IDLE: Duration = Duration::from_millis(250);

/// The largest question, in bytes.
const MOST_BYTES: usize = 1 << 10;

/// One word of an answer: its age, and the value where the asking node has an older one.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Word<T> {
    age: Duration,
    value: Option<Arc<T>>,
}

/// An answer.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Told {
    /// How long the question waited for it.
    waited: Duration,
    /// Whether the store does not answer the node.
    lost: bool,
    policy: Option<Word<Policy>>,
    listing: Option<Word<Listing>>,
    /// What changed in the registry, in place of the whole of it.
    change: Option<Change>,
    orders: Option<Word<Orders>>,
    members: Option<Word<Members>>,
    losses: ToldLosses,
}

/// Answers other nodes.
pub(crate) async fn serve_peers(state: Arc<State>, listener: TcpListener) {
    serve_simple(state, listener, |state, request| async move {
        if request.uri().path() == losses::PATH {
            return losses::serve(&state, request).await;
        }
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
    let waited = wait_for_news(state, &have).await;
    let now = clock::now();
    let listing = state.news.listing.get();
    let change = listing
        .as_ref()
        .and_then(|(listing, _)| state.news.change_to(listing, have.revision));
    let told = Told {
        waited,
        lost: state.store_lost.load(Ordering::Relaxed),
        policy: word(state.news.policy.get(), now, |policy| {
            Some(policy.version) > have.version
        }),
        listing: word(listing, now, |listing| {
            change.is_none() && Some(listing.revision) > have.revision
        }),
        change,
        orders: word(state.news.orders.get(), now, |orders| {
            Some(orders.revision) > have.orders
        }),
        members: word(state.news.members.get(), now, |members| {
            Some(members.digest) != have.digest
        }),
        losses: losses::answer(state, have.losses),
    };
    message::answer(state, &told)
}

/// Waits until this node holds something that is new to one that has `have`, for a time; tells how long.
async fn wait_for_news(state: &State, have: &Have) -> Duration {
    let began = clock::now();
    let limit = have.wait(state.reading());
    loop {
        let renewed = state.news.renewed.listen();
        let spent = clock::now().saturating_sub(began);
        if spent >= limit || holds(state).is_news_to(have, spent) {
            return spent;
        }
        within(limit - spent, renewed).await;
    }
}

/// What this node holds.
fn holds(state: &State) -> Have {
    let news = &state.news;
    Have {
        version: news.policy.get().map(|(policy, _)| policy.version),
        revision: news.listing.get().map(|(listing, _)| listing.revision),
        digest: news.members.get().map(|(members, _)| members.digest),
        members: news.members.age(),
        age: news.age(),
        patient: state.store_lost.load(Ordering::Relaxed) && news.roster().is_alone(clock::now()),
        orders: news.orders.get().map(|(orders, _)| orders.revision),
        ordered: news.orders.age(),
        losses: losses::mark(state),
    }
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

/// How a peer answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Answer {
    /// With words that are fresh, or with some that are new before it had to.
    Fresh,
    /// With nothing new for so long that what is held is overdue.
    Behind,
    /// With word that it is cut off from the store: others have to read.
    CutOff,
    /// Not at all, or with what can't be read.
    Silent,
}

impl Answer {
    /// The name in logs.
    fn name(self) -> &'static str {
        match self {
            Answer::Fresh => "fresh",
            Answer::Behind => "behind",
            Answer::CutOff => "cut off",
            Answer::Silent => "silent",
        }
    }
}

/// Asks peers while this node does not read the store for the others, or can't.
pub(crate) async fn follow_peers(state: Arc<State>) {
    loop {
        let renewed = state.news.renewed.listen();
        if state.knows_from_store() {
            Timer::after(IDLE).await;
            continue;
        }
        let Some((name, address)) = peer(&state) else {
            within(IDLE, renewed).await;
            continue;
        };
        let caller = Caller::new(address, state.spawner.clone());
        ask_on(&state, &caller, &name).await;
    }
}

/// The peer to ask now.
fn peer(state: &State) -> Option<(String, SocketAddr)> {
    let overdue = !state.news.is_fresh(state.reading().overdue_age());
    state.news.roster().peer(clock::now(), overdue)
}

/// Asks one peer again and again, on a connection that is kept, as long as it answers and is the one
/// to ask.
async fn ask_on(state: &State, caller: &Caller, name: &str) {
    let mut heard = Mark::default();
    loop {
        let answer = ask(state, caller, &mut heard).await;
        if answer != Answer::Fresh {
            if state.news.roster().leave_out(name, clock::now()) {
                info!(state.log, "peer left out"; "peer" => name, "answer" => answer.name(),
                    "age_ms" => state.news.age().map(|age| age.as_millis() as u64));
            }
            return;
        }
        if state.news.roster().take_back(name) {
            info!(state.log, "peer regained"; "peer" => name);
        }
        if state.knows_from_store() || peer(state).is_none_or(|(next, _)| next != name) {
            return;
        }
    }
}

/// Asks one peer once. `heard` tells how far its losses were heard.
async fn ask(state: &State, caller: &Caller, heard: &mut Mark) -> Answer {
    let have = Have {
        losses: *heard,
        ..holds(state)
    };
    let Some(body) = message::question(state, &have) else {
        return Answer::Silent;
    };
    let reading = state.reading();
    let wait = have.wait(reading);
    let began = clock::now();
    let asked = caller
        .call(Method::POST, PATH, body, wait + reading.answer_timeout())
        .await;
    let told: Option<Told> = asked
        .ok()
        .filter(|reply| reply.status == StatusCode::OK)
        .and_then(|reply| rmp_serde::from_slice(&reply.body).ok());
    let Some(told) = told else {
        return Answer::Silent;
    };
    let (in_vain, lost) = (told.waited >= wait, told.lost);
    *heard = losses::take_in(state, &told.losses);
    take_in(state, told, began);
    state.news.renewed.notify(usize::MAX);
    state.news.heard.notify(usize::MAX);
    if lost {
        Answer::CutOff
    } else if in_vain && !state.news.is_fresh(reading.overdue_age()) {
        Answer::Behind
    } else {
        Answer::Fresh
    }
}

/// Takes in an answer to a call that began at `began`. The question arrived after that, and the ages
/// are those at the end of its wait: each read began no earlier than that end less its age.
fn take_in(state: &State, told: Told, began: Moment) {
    let news = &state.news;
    let told_at = began + told.waited;
    if let Some(word) = told.policy {
        let read = told_at.saturating_sub(word.age);
        match word.value {
            Some(policy) => news.put_policy(policy, read),
            None => news.policy.confirm(read),
        }
    }
    if let Some(word) = told.listing {
        let read = told_at.saturating_sub(word.age);
        match (word.value, told.change) {
            (Some(listing), _) => news.put_listing(listing, read),
            (None, Some(change)) => news.put_change(change, read),
            (None, None) => news.listing.confirm(read),
        }
    }
    if let Some(word) = told.orders {
        let read = told_at.saturating_sub(word.age);
        match word.value {
            Some(orders) => news.put_orders(orders, read),
            None => news.orders.confirm(read),
        }
    }
    if let Some(word) = told.members {
        let read = told_at.saturating_sub(word.age);
        match word.value {
            Some(members) => state.put_members(members, read),
            None => news.members.confirm(read),
        }
    }
}
