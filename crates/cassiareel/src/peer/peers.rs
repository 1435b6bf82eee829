//! The exchanges of a node with its peers.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex, OnceLock,
    },
    time::Duration,
};

use http_types::{Method, Request, Response, StatusCode, Url};
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use slog::{info, warn, Logger};
use smol::Timer;

use super::{settings::SettingsMessage, ActiveSettings, Keys, SharedState, StateUpdate};
use crate::{
    kernel::{
        membership::{Action, Event, Member, Membership, Message, NodeState, GOSSIP_PERIOD},
        quota::{PermitMessage, PermitReply},
        revision::Source,
        Revision, Time,
    },
    runtime::{within, Spawner},
    settings::Tree,
    wire::{read_body, send, BoxFuture, CallTimeouts, Handler},
};

/// The header with the keyed digest of the body.
const DIGEST_HEADER: &str = "x-cassiareel-digest";

/// Maximum size of an exchange's body.
const MAX_EXCHANGE_BYTES: usize = 256 * 1024;

/// Maximum size of the body of an answer with a settings tree.
const MAX_TREE_BYTES: usize = 16 * 1024 * 1024;

/// Bytes per second that a node may send in exchanges; settings trees are not included.
const EXCHANGE_BYTES_PER_SECOND: f64 = 7.0 * 1024.0;

/// Size of the head of a request or an answer, for the budget.
const HEAD_BYTES: usize = 190;

/// Time limits of an exchange; a peer that is slower counts as unresponsive.
const EXCHANGE_LIMITS: CallTimeouts = CallTimeouts {
    connect: Duration::from_millis(300),
    head: Duration::from_millis(700),
};

/// Time within which a body must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// The path of requests for permits.
const PERMITS_PATH: &str = "/peer/permits";

/// Answers other nodes' requests for permits.
pub(crate) trait PermitOwner: Send + Sync {
    /// Grants permits out of the node's quotas.
    fn answer(&self, message: &PermitMessage) -> PermitReply;
}

/// The body of a request or an answer in an exchange.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct ExchangeMessage {
    #[serde(rename = "fleet")]
    membership: Message,
    #[serde(rename = "facts")]
    update: StateUpdate,
}

/// The state that a peer is known to have.
#[derive(Clone, Copy, Debug, Default)]
struct Cursor {
    sequence: u64,
    digest: Option<u64>,
}

/// Counts of sent bytes and exchanges.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Bytes sent in requests and answers of exchanges, including their heads.
    pub sent_bytes: AtomicU64,
    /// Bytes of settings trees sent.
    pub tree_bytes: AtomicU64,
    /// Exchanges that this node started.
    pub calls: AtomicU64,
}

/// Exchanges membership, shared state and settings with the other nodes.
pub struct Peers {
    membership: Mutex<Membership>,
    shared: Arc<SharedState>,
    settings: Arc<ActiveSettings>,
    keys: Keys,
    cursors: Mutex<HashMap<SocketAddr, Cursor>>,
    budget: Mutex<(Time, f64)>,
    completed_exchanges: AtomicU64,
    leaving: std::sync::atomic::AtomicBool,
    permit_owner: OnceLock<Box<dyn PermitOwner>>,
    spawner: Spawner,
    log: Logger,
    /// Counts of sent bytes and exchanges.
    pub traffic: Traffic,
}

impl Peers {
    /// Creates the exchanges of a node that knows the addresses of some peers.
    pub fn new(
        me: Member,
        seeds: Vec<SocketAddr>,
        shared: Arc<SharedState>,
        settings: Arc<ActiveSettings>,
        keys: Keys,
        spawner: Spawner,
        log: Logger,
    ) -> Arc<Peers> {
        let mut membership = Membership::new(me);
        membership.step(Time::ZERO, Event::Listed { addrs: seeds });
        Arc::new(Peers {
            membership: Mutex::new(membership),
            shared,
            settings,
            keys,
            cursors: Mutex::default(),
            budget: Mutex::new((Time::ZERO, EXCHANGE_BYTES_PER_SECOND)),
            completed_exchanges: AtomicU64::new(0),
            leaving: false.into(),
            permit_owner: OnceLock::new(),
            spawner,
            log,
            traffic: Traffic::default(),
        })
    }

    /// Sets what answers requests for permits. Only the first call has an effect.
    pub(crate) fn set_permit_owner(&self, owner: Box<dyn PermitOwner>) {
        // A second owner is never set: a node sets its own at its start.
        let _ = self.permit_owner.set(owner);
    }

    /// Asks a peer for permits.
    ///
    /// # Errors
    ///
    /// Fails with the cause if no valid answer arrives.
    pub(crate) async fn request_permits(
        &self,
        to: SocketAddr,
        message: &PermitMessage,
    ) -> Result<PermitReply, String> {
        self.call(to, PERMITS_PATH, message, MAX_EXCHANGE_BYTES)
            .await
    }

    /// Runs exchanges periodically until dropped.
    pub async fn run(self: Arc<Peers>) {
        loop {
            let now = self.shared.now();
            self.refresh_local_member(now);
            let random = fastrand::u64(..);
            let (name, incarnation) = {
                let membership = self.lock();
                (
                    membership.local().name.clone(),
                    membership.local().incarnation,
                )
            };
            self.shared.publish_counts(&name, incarnation);
            self.step(Event::Tick { random });
            Timer::after(GOSSIP_PERIOD).await;
        }
    }

    /// Returns the other live nodes.
    pub fn others(&self) -> Vec<Member> {
        self.lock().others().cloned().collect()
    }

    /// Returns this node's own member record.
    pub fn local_member(&self) -> Member {
        self.lock().local().clone()
    }

    /// Reports whether this node is among the first `count` nodes of its data centre for a duty.
    pub fn has_duty(&self, duty: &str, count: usize) -> bool {
        self.lock().is_among_first(duty, count)
    }

    /// Notifies peers that this node is leaving.
    pub fn mark_leaving(self: &Arc<Peers>) {
        self.leaving.store(true, Ordering::SeqCst);
        self.notify();
    }

    /// Notifies peers at once that a move, a verdict or the settings changed.
    pub fn notify(self: &Arc<Peers>) {
        self.update_local_member();
        self.step(Event::UrgentUpdate {
            random: fastrand::u64(..),
        });
    }

    /// Updates this node's member record, and processes the passing of time for the settings and the
    /// view's freshness.
    fn refresh_local_member(self: &Arc<Peers>, now: Time) {
        if let Some(revision) = self.settings.tick(now) {
            info!(self.log, "settings in force"; "revision" => revision, "source" => "peers");
        }
        self.update_local_member();
        if self.completed_exchanges.swap(0, Ordering::Relaxed) > 0 {
            let (live, unreachable) = {
                let membership = self.lock();
                (
                    membership.others().count() + 1,
                    membership.unreachable_count(),
                )
            };
            self.shared
                .update_view(|view| view.freshness.record_peers(now, live, live + unreachable));
        }
    }

    fn update_local_member(self: &Arc<Peers>) {
        let state = match self.leaving.load(Ordering::SeqCst) {
            true => NodeState::Leaving,
            false => NodeState::Live,
        };
        let revision = self.settings.revision();
        self.step(Event::Changed { state, revision });
    }

    /// Passes an event to the membership state machine and executes its actions; returns the answer
    /// if one is due.
    fn step(self: &Arc<Peers>, event: Event) -> Option<Message> {
        let now = self.shared.now();
        let actions = self.lock().step(now, event);
        let mut answer = None;
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    let peers = self.clone();
                    self.spawner
                        .spawn(async move { peers.exchange(to, message).await })
                        .detach();
                }
                Action::Answer { message } => answer = Some(message),
                Action::MembersChanged => self.log_members(),
            }
        }
        answer
    }

    fn log_members(&self) {
        let membership = self.lock();
        let names: Vec<String> = membership.others().map(|m| m.name.to_string()).collect();
        info!(self.log, "members"; "others" => names.join(" "), "unreachable" => membership.unreachable_count());
    }

    /// Makes one exchange with a peer.
    async fn exchange(self: Arc<Peers>, to: SocketAddr, message: Message) {
        let cursor = self.cursor(to);
        let (mut update, last) =
            self.shared
                .update_for_peer(self.settings.revision(), cursor.sequence, cursor.digest);
        let mut sent_sequence = last;
        if self.is_over_budget() {
            // Membership is sent in any case; counts wait for the next exchange.
            update.tallies.clear();
            sent_sequence = cursor.sequence;
        }
        let request = ExchangeMessage {
            membership: message,
            update,
        };
        self.traffic.calls.fetch_add(1, Ordering::Relaxed);
        let Ok(answer) = self
            .call::<ExchangeMessage, ExchangeMessage>(
                to,
                "/peer/exchange",
                &request,
                MAX_EXCHANGE_BYTES,
            )
            .await
        else {
            self.cursors
                .lock()
                .expect("the lock is not poisoned")
                .remove(&to);
            return;
        };
        self.completed_exchanges.fetch_add(1, Ordering::Relaxed);
        let cursor = Cursor {
            sequence: sent_sequence,
            digest: Some(answer.update.digest),
        };
        self.cursors
            .lock()
            .expect("the lock is not poisoned")
            .insert(to, cursor);
        self.receive(answer, false);
    }

    /// Processes a received message; returns the answer if one is due.
    fn receive(self: &Arc<Peers>, received: ExchangeMessage, answer: bool) -> Option<Message> {
        let from = received.membership.from.clone();
        let message = self.step(Event::Received {
            message: Box::new(received.membership),
            answer,
        });
        if self.shared.merge(&received.update) {
            info!(self.log, "moves, verdicts or losses received"; "from" => &*from.name);
            self.step(Event::UrgentUpdate {
                random: fastrand::u64(..),
            });
        }
        let source = Source::Peer(from.name.clone());
        let now = self.shared.now();
        if self
            .settings
            .record_announcement(now, source, received.update.revision)
        {
            let peers = self.clone();
            self.spawner
                .spawn(async move { peers.fetch(from).await })
                .detach();
        }
        message
    }

    /// Fetches the settings from a peer and offers them.
    async fn fetch(self: Arc<Peers>, from: Member) {
        let source = Source::Peer(from.name.clone());
        let message = self
            .call::<(), SettingsMessage>(from.addr, "/peer/settings", &(), MAX_TREE_BYTES)
            .await;
        let now = self.shared.now();
        let tree = match &message {
            Ok(message) if message.revision > 0 => toml::from_str::<Tree>(&message.tree)
                .map_err(|err| err.to_string())
                .map(|tree| (message.revision, tree)),
            Ok(_) => Err("the peer has none".to_owned()),
            Err(cause) => Err(cause.clone()),
        };
        match tree {
            Ok((revision, tree)) => {
                if let Some(revision) = self.settings.offer(now, source, revision, tree) {
                    info!(self.log, "settings in force"; "revision" => revision,
                        "source" => &*from.name);
                    self.notify();
                }
            }
            Err(cause) => {
                warn!(self.log, "settings fetch from peer failed"; "from" => &*from.name, "cause" => cause);
                self.settings.record_fetch_failure(now, source);
            }
        }
    }

    /// Sends an authenticated message to a peer and returns its authenticated answer.
    async fn call<Q, R>(
        &self,
        to: SocketAddr,
        path: &str,
        body: &Q,
        limit: usize,
    ) -> Result<R, String>
    where
        Q: Serialize,
        R: DeserializeOwned,
    {
        let body = rmp_serde::to_vec(body).map_err(|err| err.to_string())?;
        self.charge_budget(body.len() + HEAD_BYTES);
        let url = Url::parse(&format!("http://{to}{path}")).map_err(|err| err.to_string())?;
        let mut req = Request::new(Method::Post, url);
        req.insert_header(DIGEST_HEADER, self.keys.sign(path, &body));
        req.insert_header("connection", "close");
        req.set_body(body);
        let mut res = send(to, req, EXCHANGE_LIMITS)
            .await
            .map_err(|err| err.to_string())?;
        if res.status() != StatusCode::Ok {
            return Err(format!("{to} answered {}", res.status()));
        }
        let digest = header_text(res.header(DIGEST_HEADER));
        let body = read_in_time(read_body(res.take_body(), limit)).await?;
        if !self.keys.accepts(path, &body, &digest) {
            return Err(format!("{to} answered with a wrong digest"));
        }
        rmp_serde::from_slice(&body).map_err(|err| err.to_string())
    }

    /// Answers a request of a peer.
    async fn handle(self: Arc<Peers>, mut req: Request) -> Response {
        let path = req.url().path().to_owned();
        let digest = header_text(req.header(DIGEST_HEADER));
        let body = match read_in_time(read_body(req.take_body(), MAX_EXCHANGE_BYTES)).await {
            Ok(body) => body,
            Err(cause) => return error_response(StatusCode::BadRequest, &cause),
        };
        if !self.keys.accepts(&path, &body, &digest) {
            warn!(self.log, "peer message rejected"; "cause" => "wrong digest", "path" => &path);
            return error_response(StatusCode::Unauthorized, "wrong digest");
        }
        let answer = match &*path {
            "/peer/exchange" => match rmp_serde::from_slice::<ExchangeMessage>(&body) {
                Ok(request) => self.answer_exchange(request),
                Err(err) => return error_response(StatusCode::BadRequest, &err.to_string()),
            },
            PERMITS_PATH => match rmp_serde::from_slice::<PermitMessage>(&body) {
                Ok(message) => {
                    let reply = self.permit_owner.get().map(|owner| owner.answer(&message));
                    rmp_serde::to_vec(&reply.unwrap_or_default())
                }
                Err(err) => return error_response(StatusCode::BadRequest, &err.to_string()),
            },
            "/peer/settings" => {
                let message = self.settings.message();
                let bytes = message.tree.len() as u64;
                self.traffic.tree_bytes.fetch_add(bytes, Ordering::Relaxed);
                rmp_serde::to_vec(&message)
            }
            _ => return error_response(StatusCode::NotFound, "no such message"),
        };
        match answer {
            Ok(body) => {
                let mut res = Response::new(StatusCode::Ok);
                res.insert_header(DIGEST_HEADER, self.keys.sign(&path, &body));
                res.insert_header("connection", "close");
                res.set_body(body);
                res
            }
            Err(err) => error_response(StatusCode::InternalServerError, &err.to_string()),
        }
    }

    fn answer_exchange(
        self: &Arc<Peers>,
        request: ExchangeMessage,
    ) -> Result<Vec<u8>, rmp_serde::encode::Error> {
        let digest = Some(request.update.digest);
        let from = request.membership.from.addr;
        let membership = self.receive(request, true);
        // Counts are sent only in requests, whose answer confirms that they arrived.
        let (mut update, _) =
            self.shared
                .update_for_peer(self.settings.revision(), u64::MAX, digest);
        update.tallies.clear();
        let mut cursors = self.cursors.lock().expect("the lock is not poisoned");
        cursors.entry(from).or_default().digest = digest;
        drop(cursors);
        let membership = membership.expect("the membership answers a request");
        let body = rmp_serde::to_vec(&ExchangeMessage { membership, update })?;
        self.charge_budget(body.len() + HEAD_BYTES);
        Ok(body)
    }

    fn cursor(&self, to: SocketAddr) -> Cursor {
        let cursors = self.cursors.lock().expect("the lock is not poisoned");
        cursors.get(&to).copied().unwrap_or_default()
    }

    /// Deducts sent bytes from the budget.
    fn charge_budget(&self, bytes: usize) {
        self.traffic
            .sent_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
        let now = self.shared.now();
        let mut budget = self.budget.lock().expect("the lock is not poisoned");
        let elapsed = now.saturating_sub(budget.0).as_secs_f64();
        budget.1 = (budget.1 + elapsed * EXCHANGE_BYTES_PER_SECOND).min(EXCHANGE_BYTES_PER_SECOND)
            - bytes as f64;
        budget.0 = now;
    }

    fn is_over_budget(&self) -> bool {
        self.charge_budget(0);
        self.budget.lock().expect("the lock is not poisoned").1 < 0.0
    }

    /// Returns the live nodes, this one included, whose revision in force is lower than `revision`.
    pub fn members_behind(&self, revision: Revision) -> Vec<Member> {
        let membership = self.lock();
        membership
            .others()
            .chain([membership.local()])
            .filter(|member| member.revision < revision)
            .cloned()
            .collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Membership> {
        self.membership.lock().expect("the lock is not poisoned")
    }
}

/// The HTTP handler for requests of peers.
pub(crate) struct PeerHandler(pub(crate) Arc<Peers>);

impl Handler for PeerHandler {
    fn handle(&self, req: Request, _from: SocketAddr) -> BoxFuture<'_, Response> {
        Box::pin(self.0.clone().handle(req))
    }
}

fn header_text(value: Option<&http_types::headers::HeaderValues>) -> String {
    value.map_or_else(String::new, |value| value.as_str().to_owned())
}

fn error_response(status: StatusCode, reason: &str) -> Response {
    let mut res = Response::new(status);
    res.set_body(format!("{reason}\n"));
    res
}

/// Waits for a body for at most [`BODY_TIMEOUT`].
async fn read_in_time<F, T, E>(body: F) -> Result<T, String>
where
    F: std::future::Future<Output = Result<T, E>>,
    E: ToString,
{
    match within(BODY_TIMEOUT, body).await {
        Some(body) => body.map_err(|err| err.to_string()),
        None => Err("the body did not arrive in time".to_owned()),
    }
}
