/*!
Whole lists between nodes: all that a node needs to serve requests, in one message.

A node that starts in a large fleet, or that holds a list from which no peer knows the difference, asks
for them (see [`ListSearch`]). A node that has them sends them as far as its link allows, and names
others that have them otherwise (see [`ListServer`](super::list_server::ListServer)).
*/

use std::{
    net::SocketAddr,
    sync::{atomic::Ordering, Arc},
    time::Duration,
};

use cassiareel::runtime::lock;
use http::{Method, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, Bytes};
use slog::{info, warn};
use smol::Timer;

use super::{
    exchange::{apply_members, apply_orders, fetch_from_earlier_build, Update},
    format::{Format, FORMAT_HEADER, MESSAGE_FORMAT},
    list_error::{ListError, UndecodableSnafu},
    list_search::{ListAnswer, ListSearch},
    list_server::{ListsRequest, Place},
    members::Members,
    message,
    packed_listing::PackedListing,
    policy_update::PolicyUpdate,
};
use crate::{
    clock::{self, Moment},
    front::{empty_reply, Reply},
    metrics::Metrics,
    model::{ServiceId, StoreRevision, Version},
    net::read_body,
    source::{Listing, Orders},
    state::State,
};

/// The path of the call.
pub(super) const PATH: &str = "/lists";

/// The largest body of a request, in bytes.
const MAX_REQUEST_BYTES: usize = 1 << 10;

/// Timeout of one call: the time to send 3,000 entries over a slow link that carries a few other
/// lists, and for a small node to encode and decode them.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// The pause where no peer is known that could be asked.
const NO_PEER_PAUSE: Duration = Duration::from_millis(100);

/// The longest search of a node that starts. By then it reads the store itself.
const START_SEARCH_TIMEOUT: Duration = Duration::from_secs(8);

/// The longest search of a node whose list is too old for a difference. Other updates have to wait for
/// its end; after them, the search goes on.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(400);

/// A version of a service, and the revision at which a node first saw it.
type SeenVersion = (ServiceId, Version, StoreRevision);

/// All that a node needs to serve requests. Ages are those at the time of the reply.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Lists {
    policy: PolicyUpdate,
    /// The age of the list of backend servers.
    listing_age: Duration,
    /// The list itself, which is encoded once for many replies.
    #[serde_as(as = "Bytes")]
    listing: Vec<u8>,
    /// The versions in that list, which tell a node that starts which of them the orders cover.
    versions: Vec<SeenVersion>,
    orders: Update<Orders>,
    members: Option<Update<Members>>,
}

/// A reply.
#[derive(Clone, Debug, Deserialize, Serialize)]
enum ListsReply {
    Lists(Box<Lists>),
    /// The link is busy; these nodes have the lists as well.
    Busy(Vec<SocketAddr>),
    /// The node starts itself, or its lists are too old.
    Empty,
}

/// Answers a request for the lists at once.
pub(super) async fn serve(state: &State, request: http::Request<Incoming>) -> Reply {
    let reading = read_body(
        request.into_body(),
        MAX_REQUEST_BYTES,
        &state.message_budget,
    );
    let request = reading.await.ok();
    let request = request.and_then(|body| rmp_serde::from_slice::<ListsRequest>(&body).ok());
    let Some(request) = request else {
        return empty_reply(StatusCode::BAD_REQUEST);
    };
    let answer = answer(state, &request);
    let outcome = match &answer {
        ListsReply::Lists(_) => "sent",
        ListsReply::Busy(_) => "busy",
        ListsReply::Empty => "empty",
    };
    Metrics::count(&state.metrics.peer_lists, outcome);
    let (mut reply, size) = message::encode_sized_reply(state, &answer);
    if outcome == "sent" {
        state.store_cache.list_server().note_size(size);
    }
    let headers = reply.headers_mut();
    headers.insert(FORMAT_HEADER, MESSAGE_FORMAT.into());
    reply
}

fn answer(state: &State, to: &ListsRequest) -> ListsReply {
    let now = clock::now();
    let cache = &state.store_cache;
    // A node that has not asked its peers yet may have an older configuration than these have in
    // force, where the store was restored.
    let is_usable =
        state.peer_asked.load(Ordering::Relaxed) && cache.is_fresh(state.reading().overdue_age());
    let (Some(listing), Some(orders)) = (cache.listing.get(), cache.orders.get()) else {
        return ListsReply::Empty;
    };
    if !is_usable {
        return ListsReply::Empty;
    }
    let settings = state.settings.load();
    let own = Place {
        data_centre: &settings.node.data_centre,
        link_mbps: settings.limits.link_rate(),
    };
    if let Err(sources) = cache.list_server().admit(to, own, now) {
        return ListsReply::Busy(sources);
    }
    let (listing, read) = listing;
    let Some(policy) = PolicyUpdate::new(&cache.policy, None, now) else {
        return ListsReply::Empty;
    };
    let Some(packed) = packed_listing(state, &listing) else {
        return ListsReply::Empty;
    };
    ListsReply::Lists(Box::new(Lists {
        policy,
        listing_age: now.saturating_sub(read),
        listing: packed.to_vec(),
        versions: state.rollouts.seen_versions(listing.newest()),
        orders: Update::whole(orders, now),
        members: cache
            .members
            .get()
            .map(|members| Update::whole(members, now)),
    }))
}

/// Returns an encoded list, which is kept for the next replies.
fn packed_listing(state: &State, listing: &Arc<Listing>) -> Option<Arc<[u8]>> {
    let mut kept = lock(&state.store_cache.packed_listing);
    if let Some((packed, bytes)) = kept.as_ref() {
        if Arc::ptr_eq(packed, listing) {
            return Some(bytes.clone());
        }
    }
    match rmp_serde::to_vec(&PackedListing::pack(listing)) {
        Ok(bytes) => {
            let bytes: Arc<[u8]> = bytes.into();
            *kept = Some((listing.clone(), bytes.clone()));
            Some(bytes)
        }
        Err(err) => {
            warn!(state.log, "peer reply not encoded"; "cause" => %err);
            None
        }
    }
}

/// Asks peers for the lists, for a node that starts; ends when it has them, from a peer or from the
/// store; reports whether a peer sent them.
pub(super) async fn fetch_at_start(state: &State) -> bool {
    let until = clock::now() + START_SEARCH_TIMEOUT;
    let cache = &state.store_cache;
    fetch(state, until, || cache.age().is_some()).await
}

/// Asks peers for the lists, for a node from whose list no difference is known.
pub(super) async fn fetch_whole(state: &State, revision: Option<StoreRevision>) -> bool {
    let until = clock::now() + SEARCH_TIMEOUT;
    let cache = &state.store_cache;
    let is_newer = || cache.listing.get().map(|(listing, _)| listing.revision) > revision;
    fetch(state, until, is_newer).await
}

/// Asks peers for the lists until `has_lists` or `until`; reports whether a peer sent them.
async fn fetch<F>(state: &State, until: Moment, has_lists: F) -> bool
where
    F: Fn() -> bool,
{
    let mut search = ListSearch::default();
    while clock::now() < until && !has_lists() {
        let peers = state.store_cache.roster().parents(clock::now());
        let peers: Vec<SocketAddr> = peers.into_iter().map(|(_, address)| address).collect();
        let Some(peer) = search.next(&peers) else {
            Timer::after(NO_PEER_PAUSE).await;
            continue;
        };
        let pause = match ask(state, peer).await {
            Ok(()) if has_lists() => return true,
            // The peer's lists are older than those of this node.
            Ok(()) => search.record(ListAnswer::Empty),
            Err(answer) => search.record(answer),
        };
        if !pause.is_zero() {
            // Nodes that started together do not ask again together.
            Timer::after(pause.mul_f64(0.75 + fastrand::f64() / 2.0)).await;
        }
    }
    false
}

/// Asks one peer for the lists, and applies them.
async fn ask(state: &State, peer: SocketAddr) -> Result<(), ListAnswer> {
    let settings = state.settings.load();
    let own = ListsRequest {
        address: settings.listen.peers,
        data_centre: settings.node.data_centre.clone(),
    };
    drop(settings);
    let body = message::encode_request(state, &own).ok_or(ListAnswer::Failed)?;
    let began = clock::now();
    let client = state.client(peer);
    let reply = client.call(Method::POST, PATH, body, CALL_TIMEOUT).await;
    let Ok(reply) = reply else {
        exclude(state, peer);
        return Err(ListAnswer::Failed);
    };
    let format = Format::of(&reply.headers);
    if format != Format::Current {
        state.note_other_build(&peer.to_string(), format.name());
        let has_lists = fetch_from_earlier_build(state, &client).await;
        return has_lists.then_some(()).ok_or(ListAnswer::Empty);
    }
    let decoded = rmp_serde::from_slice(&reply.body);
    let decoded = decoded.map_err(|err| undecodable(&err));
    let applied = match decoded {
        Ok(ListsReply::Busy(sources)) => {
            state.note_lists_busy();
            return Err(ListAnswer::Busy(sources));
        }
        Ok(ListsReply::Empty) => return Err(ListAnswer::Empty),
        Ok(ListsReply::Lists(lists)) => apply(state, *lists, began),
        Err(err) => Err(err),
    };
    if let Err(err) = applied {
        warn!(state.log, "lists refused"; "peer" => %peer, "cause" => %err);
        exclude(state, peer);
        return Err(ListAnswer::Failed);
    }
    info!(state.log, "lists received"; "peer" => %peer, "bytes" => reply.body.len(),
        "took_ms" => clock::now().saturating_sub(began).as_millis() as u64,
        "age_ms" => state.store_cache.age().map(|age| age.as_millis() as u64));
    Ok(())
}

/// Applies the reply to a call that began at `began`. The ages are those at the time of the reply, so
/// that no read began before `began` minus its age.
fn apply(state: &State, lists: Lists, began: Moment) -> Result<(), ListError> {
    let packed: PackedListing =
        rmp_serde::from_slice(&lists.listing).map_err(|err| undecodable(&err))?;
    let listing = packed.unpack()?;
    let cache = &state.store_cache;
    if cache.listing.get().is_none() {
        state.rollouts.note_seen(lists.versions);
    }
    lists.policy.apply(&cache.policy, began);
    let read = began.saturating_sub(lists.listing_age);
    cache.update_listing(Arc::new(listing), read);
    apply_orders(cache, &lists.orders, began, None);
    if let Some(members) = &lists.members {
        apply_members(state, members, began);
    }
    cache.updated.notify(usize::MAX);
    cache.peer_updated.notify(usize::MAX);
    Ok(())
}

fn undecodable(err: &rmp_serde::decode::Error) -> ListError {
    let cause = err.to_string();
    UndecodableSnafu { cause }.build()
}

/// Excludes a peer that can't be used, if it is in the list of nodes.
fn exclude(state: &State, peer: SocketAddr) {
    let mut roster = state.store_cache.roster();
    if let Some(name) = roster.name_of(peer) {
        roster.exclude(&name, clock::now());
    }
}
