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
use slog::{info, warn};
use smol::{net::TcpListener, Timer};

use super::{
    cache_state::CacheState,
    change::{Change, PackedChange},
    format::{Format, FORMAT_HEADER, MESSAGE_FORMAT},
    limits,
    list_error::ListError,
    lists,
    losses::{self, LossPosition, LossReport},
    members::Members,
    message,
    policy_update::PolicyUpdate,
    store_cache::StoreCache,
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

/// The header of a request that holds the digest of the sender's list of backend servers.
const LIST_HEADER: &str = "list";

/// The interval at which a node that needs no peer checks whether it needs one.
const IDLE_POLL: Duration = Duration::from_millis(250);

/// The shortest time from one query of a peer to the next. A peer whose update this node does not use,
/// such as a list of an earlier era of the store, would be queried again and again without a pause.
const MIN_QUERY_GAP: Duration = Duration::from_millis(20);

/// The longest time for which a node that starts waits for what its peers know.
const START_QUERY_TIMEOUT: Duration = Duration::from_millis(600);

/// The maximum number of peers that it asks.
const MAX_START_QUERIES: usize = 3;

/// The largest body of a request, in bytes.
const MAX_REQUEST_BYTES: usize = 1 << 10;

/// The size of a list of backend servers up to which a node sends it whole with an update.
const MAX_SENT_ENTRIES: usize = 256;

/// The update of one value: its age, and the value itself where the querying node has an older one.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct Update<T> {
    age: Duration,
    value: Option<Arc<T>>,
}

impl<T> Update<T> {
    /// Returns the update of a value for a node that does not have it.
    pub(super) fn whole((value, read): (Arc<T>, Moment), now: Moment) -> Update<T> {
        Update {
            age: now.saturating_sub(read),
            value: Some(value),
        }
    }

    fn without_value(self) -> Update<T> {
        Update {
            value: None,
            ..self
        }
    }
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

/// A reply in the format of this build: the list of backend servers is in `change` or to be asked for.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Reply2 {
    updates: Updates,
    /// The change of the registry.
    change: Option<PackedChange>,
    /// Whether the querying node has to ask for whole lists.
    is_too_old: bool,
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
        if request.uri().path() == lists::PATH {
            return lists::serve(&state, request).await;
        }
        let format = Format::of(request.headers());
        let digest = number_header(request.headers(), LIST_HEADER);
        match read_state(&state, request).await {
            Some(known) if format == Format::Current => answer_request(&state, known, digest).await,
            // A build that knows neither format names its own, and reads the earliest one.
            Some(known) => answer_earlier_build(&state, known).await,
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
/// `digest` is that of the list of backend servers that the sender has.
async fn answer_request(state: &State, known: CacheState, digest: Option<u64>) -> Reply {
    let waited = wait_for_updates(state, &known).await;
    let mut updates = updates_for(state, &known, waited);
    let (mut change, mut is_too_old) = (None, false);
    if let Some((listing, _)) = state.store_cache.listing.get() {
        let cache = &state.store_cache;
        let known_change = cache.change_to(&listing, known.revision, digest);
        change = known_change.zip(known.revision).map(|(change, from)| {
            let digest = cache.listing_digest(&listing);
            change.pack(from, digest)
        });
        let is_needed = updates.listing.as_ref().is_some_and(|l| l.value.is_some());
        // Whole lists of many entries are sent one after another.
        is_too_old = is_needed && change.is_none() && !may_send_whole(&listing);
    }
    if change.is_some() {
        updates.listing = updates.listing.map(Update::without_value);
    }
    if is_too_old {
        updates.listing = None;
    }
    let reply = Reply2 {
        updates,
        change,
        is_too_old,
    };
    let mut reply = message::encode_reply(state, &reply);
    let format = HeaderValue::from(MESSAGE_FORMAT);
    reply.headers_mut().insert(FORMAT_HEADER, format);
    add_limits_digest(state, reply)
}

/// Answers a request of an earlier build, in the format that it knows.
async fn answer_earlier_build(state: &State, known: CacheState) -> Reply {
    let waited = wait_for_updates(state, &known).await;
    let mut updates = updates_for(state, &known, waited);
    if let Some((listing, _)) = state.store_cache.listing.get() {
        let change = state.store_cache.change_to(&listing, known.revision, None);
        updates.change = change.map(|change| Change::clone(&change));
    }
    if updates.change.is_some() {
        updates.listing = updates.listing.map(Update::without_value);
    }
    if let Some(members) = &mut updates.members {
        let value = members.value.take();
        members.value = value.map(|value| Arc::new(value.for_earlier_build()));
    }
    add_limits_digest(state, message::encode_reply(state, &updates))
}

/// Returns the updates for a node whose state is `known`, without the change of the registry.
fn updates_for(state: &State, known: &CacheState, waited: Duration) -> Updates {
    let now = clock::now();
    let cache = &state.store_cache;
    let (listing, orders) = (cache.listing.get(), cache.orders.get());
    Updates {
        waited,
        store_lost: state.store_lost.load(Ordering::Relaxed),
        policy: PolicyUpdate::new(&cache.policy, known.version, now),
        listing: update_in_era(listing, now, known.revision, |listing| listing.revision),
        change: None,
        orders: update_in_era(orders, now, known.orders_revision, |orders| orders.revision),
        members: update_for(cache.members.get(), now, |members| {
            Some(members.digest) != known.digest
        }),
        losses: losses::report_since(state, known.losses),
    }
}

/// Reports whether a list may be sent whole with an update: where it is small, and of one moment,
/// since this message has no room for the revision of its last page.
fn may_send_whole(listing: &Listing) -> bool {
    listing.entries.len() <= MAX_SENT_ENTRIES && listing.newest() == listing.revision
}

/// Adds the digest of the limits that this node knows to a reply.
fn add_limits_digest(state: &State, mut reply: Reply) -> Reply {
    let digest = state.server_limits.digest(clock::now());
    if digest != 0 {
        let value = HeaderValue::from(digest);
        reply.headers_mut().insert(LIMITS_HEADER, value);
    }
    reply
}

/// Returns the number in a header; `None` where it is missing or none.
fn number_header(headers: &HeaderMap, name: &str) -> Option<u64> {
    let text = headers.get(name)?.to_str().ok()?;
    text.parse().ok()
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
        if state.needs_first_lists() {
            // The search for these has peers of its own.
            within(IDLE_POLL, updated).await;
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
        let began = clock::now();
        let (answer, digest) = fetch_updates(state, client, name, &mut received).await;
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
        let spent = clock::now().saturating_sub(began);
        Timer::after(MIN_QUERY_GAP.saturating_sub(spent)).await;
    }
}

/// Queries one peer once; returns the result, and the digest of the limits that the peer knows.
/// `received` is how far its losses were received.
async fn fetch_updates(
    state: &State,
    client: &Client,
    name: &str,
    received: &mut LossPosition,
) -> (PeerStatus, Option<u64>) {
    let known = CacheState {
        losses: *received,
        ..own_state(state)
    };
    let reading = state.reading();
    let wait = known.wait(reading);
    let Some((reply, digest)) = query(state, client, name, &known).await else {
        return (PeerStatus::Silent, None);
    };
    if reply.is_too_old {
        lists::fetch_whole(state, known.revision).await;
    }
    let updates = reply.updates;
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
async fn query(
    state: &State,
    client: &Client,
    name: &str,
    known: &CacheState,
) -> Option<(Reply2, u64)> {
    let body = message::encode_request(state, known)?;
    let limit = known.wait(state.reading()) + state.reading().answer_timeout();
    let began = clock::now();
    let listing = state.store_cache.listing.get().map(|(listing, _)| listing);
    let listing = listing.filter(|listing| known.revision == Some(listing.revision));
    let client = match listing.map(|listing| state.store_cache.listing_digest(&listing)) {
        Some(digest) => client.with_header(LIST_HEADER, digest.into()),
        None => client.clone(),
    };
    let reply = client.call(Method::POST, PATH, body, limit).await;
    let reply = reply.ok().filter(|reply| reply.status == StatusCode::OK)?;
    let format = Format::of(&reply.headers);
    if format != Format::Current {
        state.note_other_build(name, format.name());
    }
    let mut decoded = decode_reply(&reply.body, format)?;
    if let Err(err) = apply_updates(state, &decoded, known, began) {
        warn!(state.log, "registry change refused"; "peer" => name, "cause" => %err);
        decoded.is_too_old = true;
    }
    state.store_cache.updated.notify(usize::MAX);
    state.store_cache.peer_updated.notify(usize::MAX);
    Some((
        decoded,
        number_header(&reply.headers, LIMITS_HEADER).unwrap_or(0),
    ))
}

/// Decodes a reply; `None` where it can't be decoded.
fn decode_reply(body: &[u8], format: Format) -> Option<Reply2> {
    match format {
        Format::Current => rmp_serde::from_slice(body).ok(),
        Format::Unnamed => {
            let updates = rmp_serde::from_slice(body).ok()?;
            Some(Reply2 {
                updates,
                change: None,
                is_too_old: false,
            })
        }
        Format::Unknown => None,
    }
}

/// Asks a peer of an earlier build for all that it knows; reports whether it sent a list.
pub(super) async fn fetch_from_earlier_build(state: &State, client: &Client) -> bool {
    let name = client.address().to_string();
    let reply = query(state, client, &name, &nothing_known()).await;
    reply.is_some() && state.store_cache.age().is_some()
}

/// Applies a reply to a call that began at `began`. The request arrived after `began`, and the ages
/// are those at the end of its wait: each read began no earlier than the end of the wait minus the
/// age.
///
/// # Errors
///
/// Fails where the change of the registry does not apply. The rest of the reply is applied.
fn apply_updates(
    state: &State,
    reply: &Reply2,
    known: &CacheState,
    began: Moment,
) -> Result<(), ListError> {
    let (cache, updates) = (&state.store_cache, &reply.updates);
    let mut applied = Ok(());
    // The reply is no later than now, whatever its sender states.
    let took = clock::now().saturating_sub(began);
    let answered_at = began + updates.waited.min(took);
    if let Some(update) = &updates.policy {
        update.apply(&cache.policy, answered_at);
    }
    if let Some(update) = &updates.listing {
        let read = answered_at.saturating_sub(update.age);
        match (&update.value, &updates.change, &reply.change) {
            (Some(listing), _, _) => cache.update_listing(listing.clone(), read),
            (None, Some(change), _) => cache.apply_change(change, read),
            (None, None, Some(change)) => applied = cache.apply_packed(change, read),
            (None, None, None) => cache.listing.confirm_if(read, |listing| {
                is_same_era(listing.revision, known.revision)
            }),
        }
    }
    if let Some(update) = &updates.orders {
        apply_orders(cache, update, answered_at, known.orders_revision);
    }
    if let Some(update) = &updates.members {
        apply_members(state, update, answered_at);
    }
    applied
}

/// Applies an update of the orders, whose age is that at `answered_at`; `known` is the revision that
/// the querying node had.
pub(super) fn apply_orders(
    cache: &StoreCache,
    update: &Update<Orders>,
    answered_at: Moment,
    known: Option<StoreRevision>,
) {
    let read = answered_at.saturating_sub(update.age);
    match &update.value {
        Some(orders) => cache.update_orders(orders.clone(), read),
        None => cache
            .orders
            .confirm_if(read, |orders| is_same_era(orders.revision, known)),
    }
}

/// Applies an update of the list of nodes, whose age is that at `answered_at`.
pub(super) fn apply_members(state: &State, update: &Update<Members>, answered_at: Moment) {
    let read = answered_at.saturating_sub(update.age);
    match &update.value {
        Some(members) => state.update_members(members.clone(), read),
        None => state.store_cache.members.confirm(read),
    }
}

/// Reports whether the cached value is of the era of the one that a peer confirmed.
fn is_same_era(cached: StoreRevision, confirmed: Option<StoreRevision>) -> bool {
    confirmed.is_some_and(|confirmed| confirmed.era() == cached.era())
}

/// Asks peers for what they know, until one has a configuration: a node that starts may read a
/// configuration from a restored store that is older than the one that the others have in force. A
/// node of a large fleet gets its first lists from them.
pub(crate) async fn ask_peer_at_start(state: Arc<State>) {
    state.wait_nodes_read().await;
    let has_lists = state.needs_first_lists() && lists::fetch_at_start(&state).await;
    if !has_lists {
        within(START_QUERY_TIMEOUT, ask_for_policy(&state)).await;
    }
    state.peer_asked.store(true, Ordering::Relaxed);
}

async fn ask_for_policy(state: &State) {
    let peers = state.store_cache.roster().parents(clock::now());
    for (name, address) in peers.into_iter().take(MAX_START_QUERIES) {
        let client = state.client(address);
        let reply = query(state, &client, &name, &nothing_known()).await;
        if reply.is_some_and(|(reply, _)| reply.updates.policy.is_some()) {
            break;
        }
    }
}

/// Returns the state of a node that knows nothing. With such an age, a peer that knows nothing either
/// does not wait for an update.
fn nothing_known() -> CacheState {
    CacheState {
        age: Some(Duration::MAX),
        ..CacheState::default()
    }
}
