//! The exchanges of one node with its peers.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex,
    },
    time::Duration,
};

use http_types::{Method, Request, Response, StatusCode, Url};
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use slog::{info, warn, Logger};
use smol::Timer;

use super::{settings::Passed, Facts, Held, Keys, SharedState};
use crate::{
    kernel::{
        membership::{Action, Event, Member, Membership, Message, NodeState, GOSSIP_PERIOD},
        revision::Source,
        Revision, Time,
    },
    runtime::{within, Spawner},
    settings::Tree,
    wire::{read_body, send, BoxFuture, CallTimeouts, Handler},
};

/// The header of the keyed digest.
const DIGEST: &str = "x-cassiareel-digest";

/// The longest exchange in bytes.
const EXCHANGE_BYTES: usize = 256 * 1024;

/// The longest tree in bytes.
const TREE_BYTES: usize = 16 * 1024 * 1024;

/// Bytes a second that a node's exchanges may send, settings apart.
const BUDGET: f64 = 7.0 * 1024.0;

/// Bytes of heads of a call and of an answer.
const HEAD_BYTES: usize = 190;

/// Bounds on an exchange; a peer that is slower counts as silent.
const EXCHANGE: CallTimeouts = CallTimeouts {
    connect: Duration::from_millis(300),
    head: Duration::from_millis(700),
};

/// The time in which a body must arrive.
const BODY_TIME: Duration = Duration::from_secs(5);

/// One side's part of an exchange.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Frame {
    fleet: Message,
    facts: Facts,
}

/// What a peer is known to have.
#[derive(Clone, Copy, Debug, Default)]
struct Cursor {
    since: u64,
    digest: Option<u64>,
}

/// Bytes and exchanges so far.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Bytes sent in calls and answers, heads included.
    pub sent: AtomicU64,
    /// Bytes of trees sent.
    pub trees: AtomicU64,
    /// Calls made.
    pub calls: AtomicU64,
}

/// A node's exchanges with its peers.
pub struct Peers {
    fleet: Mutex<Membership>,
    shared: Arc<SharedState>,
    settings: Arc<Held>,
    keys: Keys,
    cursors: Mutex<HashMap<SocketAddr, Cursor>>,
    tokens: Mutex<(Time, f64)>,
    exchanged: AtomicU64,
    leaving: std::sync::atomic::AtomicBool,
    spawner: Spawner,
    log: Logger,
    /// Counts for metrics and measurements.
    pub traffic: Traffic,
}

impl Peers {
    /// A node that knows the addresses of some peers.
    pub fn new(
        me: Member,
        seeds: Vec<SocketAddr>,
        shared: Arc<SharedState>,
        settings: Arc<Held>,
        keys: Keys,
        spawner: Spawner,
        log: Logger,
    ) -> Arc<Peers> {
        let mut fleet = Membership::new(me);
        fleet.step(Time::ZERO, Event::Listed { addrs: seeds });
        Arc::new(Peers {
            fleet: Mutex::new(fleet),
            shared,
            settings,
            keys,
            cursors: Mutex::default(),
            tokens: Mutex::new((Time::ZERO, BUDGET)),
            exchanged: AtomicU64::new(0),
            leaving: false.into(),
            spawner,
            log,
            traffic: Traffic::default(),
        })
    }

    /// Exchanges until dropped.
    pub async fn run(self: Arc<Peers>) {
        loop {
            let now = self.shared.now();
            self.refresh(now);
            let random = fastrand::u64(..);
            let (name, life) = {
                let fleet = self.lock();
                (fleet.local().name.clone(), fleet.local().incarnation)
            };
            self.shared.publish(&name, life);
            self.take(Event::Tick { random });
            Timer::after(GOSSIP_PERIOD).await;
        }
    }

    /// The other nodes that are live.
    pub fn others(&self) -> Vec<Member> {
        self.lock().others().cloned().collect()
    }

    /// This node's own word.
    pub fn me(&self) -> Member {
        self.lock().local().clone()
    }

    /// Reports whether this node has one of the first `count` places of a duty in its data centre.
    pub fn has_duty(&self, duty: &str, count: usize) -> bool {
        self.lock().is_among_first(duty, count)
    }

    /// Tells peers that this node drains.
    pub fn leave(self: &Arc<Peers>) {
        self.leaving.store(true, Ordering::SeqCst);
        self.tell();
    }

    /// Tells peers at once that a move, a verdict or the settings changed.
    pub fn tell(self: &Arc<Peers>) {
        self.changed();
        self.take(Event::UrgentUpdate {
            random: fastrand::u64(..),
        });
    }

    /// Gives the fleet this node's own facts, and settles what waits for time.
    fn refresh(self: &Arc<Peers>, now: Time) {
        if let Some(revision) = self.settings.tick(now) {
            info!(self.log, "settings in force"; "revision" => revision, "source" => "peers");
        }
        self.changed();
        if self.exchanged.swap(0, Ordering::Relaxed) > 0 {
            let (live, away) = {
                let fleet = self.lock();
                (fleet.others().count() + 1, fleet.unreachable_count())
            };
            self.shared
                .change(|view| view.freshness.record_peers(now, live, live + away));
        }
    }

    fn changed(self: &Arc<Peers>) {
        let state = match self.leaving.load(Ordering::SeqCst) {
            true => NodeState::Leaving,
            false => NodeState::Live,
        };
        let revision = self.settings.revision();
        self.take(Event::Changed { state, revision });
    }

    /// Gives the fleet an event and carries its actions out; the answer, if one is due.
    fn take(self: &Arc<Peers>, event: Event) -> Option<Message> {
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
        let fleet = self.lock();
        let names: Vec<String> = fleet.others().map(|m| m.name.to_string()).collect();
        info!(self.log, "members"; "others" => names.join(" "), "unreachable" => fleet.unreachable_count());
    }

    /// Makes one exchange.
    async fn exchange(self: Arc<Peers>, to: SocketAddr, message: Message) {
        let cursor = self.cursor(to);
        let (mut facts, upto) =
            self.shared
                .facts(self.settings.revision(), cursor.since, cursor.digest);
        let mut upto = upto;
        if self.is_over_budget() {
            // The word goes out in any case; counts wait for the next exchange.
            facts.tallies.clear();
            upto = cursor.since;
        }
        let frame = Frame {
            fleet: message,
            facts,
        };
        self.traffic.calls.fetch_add(1, Ordering::Relaxed);
        let Ok(answer) = self
            .call::<Frame, Frame>(to, "/peer/exchange", &frame, EXCHANGE_BYTES)
            .await
        else {
            self.cursors.lock().expect("no holder panics").remove(&to);
            return;
        };
        self.exchanged.fetch_add(1, Ordering::Relaxed);
        let cursor = Cursor {
            since: upto,
            digest: Some(answer.facts.digest),
        };
        self.cursors
            .lock()
            .expect("no holder panics")
            .insert(to, cursor);
        self.absorb(answer, false);
    }

    /// Takes the other side's part; the answer, if one is due.
    fn absorb(self: &Arc<Peers>, frame: Frame, answer: bool) -> Option<Message> {
        let from = frame.fleet.from.clone();
        let message = self.take(Event::Received {
            message: Box::new(frame.fleet),
            answer,
        });
        if self.shared.merge(&frame.facts) {
            info!(self.log, "moves or verdicts learned"; "from" => &*from.name);
            self.take(Event::UrgentUpdate {
                random: fastrand::u64(..),
            });
        }
        let source = Source::Peer(from.name.clone());
        let now = self.shared.now();
        if self.settings.announced(now, source, frame.facts.revision) {
            let peers = self.clone();
            self.spawner
                .spawn(async move { peers.fetch(from).await })
                .detach();
        }
        message
    }

    /// Fetches the settings from a peer.
    async fn fetch(self: Arc<Peers>, from: Member) {
        let source = Source::Peer(from.name.clone());
        let passed = self
            .call::<(), Passed>(from.addr, "/peer/settings", &(), TREE_BYTES)
            .await;
        let now = self.shared.now();
        let tree = match &passed {
            Ok(passed) if passed.revision > 0 => toml::from_str::<Tree>(&passed.tree)
                .map_err(|err| err.to_string())
                .map(|tree| (passed.revision, tree)),
            Ok(_) => Err("the peer has none".to_owned()),
            Err(cause) => Err(cause.clone()),
        };
        match tree {
            Ok((revision, tree)) => {
                if let Some(revision) = self.settings.offer(now, source, revision, tree) {
                    info!(self.log, "settings in force"; "revision" => revision,
                        "source" => &*from.name);
                    self.tell();
                }
            }
            Err(cause) => {
                warn!(self.log, "settings not fetched"; "from" => &*from.name, "cause" => cause);
                self.settings.failed(now, source);
            }
        }
    }

    /// Calls a peer with an authenticated message.
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
        self.spend(body.len() + HEAD_BYTES);
        let url = Url::parse(&format!("http://{to}{path}")).map_err(|err| err.to_string())?;
        let mut req = Request::new(Method::Post, url);
        req.insert_header(DIGEST, self.keys.sign(path, &body));
        req.insert_header("connection", "close");
        req.set_body(body);
        let mut res = send(to, req, EXCHANGE)
            .await
            .map_err(|err| err.to_string())?;
        if res.status() != StatusCode::Ok {
            return Err(format!("{to} answered {}", res.status()));
        }
        let digest = header(res.header(DIGEST));
        let body = bounded(read_body(res.take_body(), limit)).await?;
        if !self.keys.accepts(path, &body, &digest) {
            return Err(format!("{to} answered with a wrong digest"));
        }
        rmp_serde::from_slice(&body).map_err(|err| err.to_string())
    }

    /// Answers a peer.
    async fn answer(self: Arc<Peers>, mut req: Request) -> Response {
        let path = req.url().path().to_owned();
        let digest = header(req.header(DIGEST));
        let body = match bounded(read_body(req.take_body(), EXCHANGE_BYTES)).await {
            Ok(body) => body,
            Err(cause) => return refuse(StatusCode::BadRequest, &cause),
        };
        if !self.keys.accepts(&path, &body, &digest) {
            warn!(self.log, "peer refused"; "cause" => "wrong digest", "path" => &path);
            return refuse(StatusCode::Unauthorized, "wrong digest");
        }
        let answer = match &*path {
            "/peer/exchange" => match rmp_serde::from_slice::<Frame>(&body) {
                Ok(frame) => self.answer_exchange(frame),
                Err(err) => return refuse(StatusCode::BadRequest, &err.to_string()),
            },
            "/peer/settings" => {
                let passed = self.settings.passed();
                let bytes = passed.tree.len() as u64;
                self.traffic.trees.fetch_add(bytes, Ordering::Relaxed);
                rmp_serde::to_vec(&passed)
            }
            _ => return refuse(StatusCode::NotFound, "no such message"),
        };
        match answer {
            Ok(body) => {
                let mut res = Response::new(StatusCode::Ok);
                res.insert_header(DIGEST, self.keys.sign(&path, &body));
                res.insert_header("connection", "close");
                res.set_body(body);
                res
            }
            Err(err) => refuse(StatusCode::InternalServerError, &err.to_string()),
        }
    }

    fn answer_exchange(
        self: &Arc<Peers>,
        frame: Frame,
    ) -> Result<Vec<u8>, rmp_serde::encode::Error> {
        let digest = Some(frame.facts.digest);
        let from = frame.fleet.from.addr;
        let fleet = self.absorb(frame, true);
        // Counts go in calls alone, where it is known that they arrived.
        let (mut facts, _) = self
            .shared
            .facts(self.settings.revision(), u64::MAX, digest);
        facts.tallies.clear();
        let mut cursors = self.cursors.lock().expect("no holder panics");
        cursors.entry(from).or_default().digest = digest;
        drop(cursors);
        let fleet = fleet.expect("a call has an answer");
        let body = rmp_serde::to_vec(&Frame { fleet, facts })?;
        self.spend(body.len() + HEAD_BYTES);
        Ok(body)
    }

    fn cursor(&self, to: SocketAddr) -> Cursor {
        let cursors = self.cursors.lock().expect("no holder panics");
        cursors.get(&to).copied().unwrap_or_default()
    }

    /// Notes bytes sent against the budget.
    fn spend(&self, bytes: usize) {
        self.traffic.sent.fetch_add(bytes as u64, Ordering::Relaxed);
        let now = self.shared.now();
        let mut tokens = self.tokens.lock().expect("no holder panics");
        let passed = now.saturating_sub(tokens.0).as_secs_f64();
        tokens.1 = (tokens.1 + passed * BUDGET).min(BUDGET) - bytes as f64;
        tokens.0 = now;
    }

    fn is_over_budget(&self) -> bool {
        self.spend(0);
        self.tokens.lock().expect("no holder panics").1 < 0.0
    }

    /// The lowest revision in force among live nodes, with those that have less than `revision`.
    pub fn behind(&self, revision: Revision) -> Vec<Member> {
        let fleet = self.lock();
        fleet
            .others()
            .chain([fleet.local()])
            .filter(|member| member.revision < revision)
            .cloned()
            .collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Membership> {
        self.fleet.lock().expect("no holder panics")
    }
}

/// The part of a node that answers peers.
pub(crate) struct Answers(pub(crate) Arc<Peers>);

impl Handler for Answers {
    fn handle(&self, req: Request, _from: SocketAddr) -> BoxFuture<'_, Response> {
        Box::pin(self.0.clone().answer(req))
    }
}

fn header(value: Option<&http_types::headers::HeaderValues>) -> String {
    value.map_or_else(String::new, |value| value.as_str().to_owned())
}

fn refuse(status: StatusCode, why: &str) -> Response {
    let mut res = Response::new(status);
    res.set_body(format!("{why}\n"));
    res
}

/// Waits for a body for a bounded time.
async fn bounded<F, T, E>(body: F) -> Result<T, String>
where
    F: std::future::Future<Output = Result<T, E>>,
    E: ToString,
{
    match within(BODY_TIME, body).await {
        Some(body) => body.map_err(|err| err.to_string()),
        None => Err("the body did not arrive in time".to_owned()),
    }
}
