/*!
Fleets in virtual time that get requests whose prompts have a part that crashes each server that
begins to write an answer on it.

Each node runs [`Suspects`]. A server takes a batch of runs; a run reads its prompt for about a second
and then writes. A crash loses all runs of the server, which is back as another process after some
seconds. Nodes send a lost run again, and a client whose attempt failed tries once more at another
node, with the same content. Losses travel from each node to a hub and from there to the others.
*/

use std::{sync::Arc, time::Duration};

use super::{Loss, PartKey, Suspects, Time, Verdict};
use crate::kernel::ticket::ShortDigest;

/// The step of virtual time.
const STEP: Duration = Duration::from_millis(25);

/// How long a run writes after it has read its prompt, in milliseconds.
const WRITING_MS: std::ops::Range<u64> = 2_000..6_000;

/// How long a run reads its prompt, in milliseconds.
const PREFILL_MS: std::ops::Range<u64> = 700..1_300;

/// How long a server that crashed is away, in milliseconds.
const RESTART_MS: std::ops::Range<u64> = 2_000..5_000;

/// How long a node takes to find that a process has exited, in milliseconds.
const DETECTION_MS: std::ops::Range<u64> = 5..150;

/// The time between two exchanges of a node with the hub, in milliseconds. News thus take up to 1.5 s.
const EXCHANGE_MS: std::ops::Range<u64> = 50..750;

/// How long a client waits before it tries again, in milliseconds.
const RETRY_MS: std::ops::Range<u64> = 200..1_000;

/// A run that goes on for this long after its first event has survived its start.
const EARLY_PHASE: Duration = Duration::from_millis(300);

/// Number of sends of one attempt of a client.
const SENDS_PER_ATTEMPT: u32 = 3;

/// Number of attempts of a client.
const ATTEMPTS: u32 = 2;

/// Number of crashes after which a content is held.
const CONTENT_BOUND: u32 = 3;

/// The number of crashes after which the users' bound on sends begins, and the time after it.
const BOUND_CRASHES: usize = 5;
const PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// The end of a simulation.
const END: Duration = Duration::from_secs(40);

/// What crashes servers.
#[derive(Clone, Copy, Debug)]
pub(super) enum Culprit {
    /// All requests that have this part at this place of their prompt.
    Part { place: usize },
    /// One content, which is sent again and again.
    Content,
}

/// Crashes that no request causes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Storm {
    pub every: Duration,
    /// Number of servers that crash at the same time.
    pub group: usize,
}

/// What the fleet gets.
#[derive(Clone, Debug)]
pub(super) struct Scene {
    pub nodes: usize,
    pub servers: usize,
    /// Number of runs that a server takes.
    pub batch: usize,
    /// Requests a second over the fleet.
    pub rate: f64,
    /// Number of parts of each prompt without the last one.
    pub parts: usize,
    /// Each with its share of all requests.
    pub culprits: Vec<(Culprit, f64)>,
    /// When culprits are sent and storms begin.
    pub since: Duration,
    pub storm: Option<Storm>,
}

impl Scene {
    pub(super) fn run(&self, seed: u64) -> Outcome {
        let mut fleet = Fleet::new(self, seed);
        while fleet.now < END {
            fleet.step();
        }
        fleet.outcome()
    }
}

/// What happened.
#[derive(Clone, Debug, Default)]
pub(super) struct Outcome {
    /// For each culprit.
    pub culprits: Vec<CulpritOutcome>,
    /// Sound requests that arrived after the culprits must have been found, or in storms at any time.
    pub sound: usize,
    /// Of these, those of which the first attempt was held for a part of their prompt.
    pub sound_held: usize,
    /// Of these, those of which the first attempt lost all its runs or found no server.
    pub sound_failed: usize,
}

#[derive(Clone, Debug, Default)]
pub(super) struct CulpritOutcome {
    pub crashes: usize,
    pub crashes_until_held: Option<usize>,
    /// Sends later than [`PROPAGATION_TIME`] after the fifth crash.
    pub late_sends: usize,
}

#[derive(Clone, Debug)]
struct Request {
    content: ShortDigest,
    parts: Arc<[PartKey]>,
    culprit: Option<usize>,
    id: u64,
    /// Its number among sound requests.
    number: usize,
    attempt: u32,
    sends: u32,
}

struct Run {
    request: Request,
    node: usize,
    server: usize,
    first_event: Time,
    end: Time,
    has_survived_start: bool,
}

/// Something that a node does at a later time.
enum Action {
    Send(Request, usize),
    Lose(Run, u64, Time),
}

#[derive(Default)]
struct Server {
    incarnation: u64,
    up_at: Time,
    runs: usize,
}

struct Node {
    suspects: Suspects,
    next_exchange: Time,
    /// How many losses of this node the hub has, and how many of the hub's this node has.
    sent: u64,
    received: u64,
}

struct Fleet<'a> {
    scene: &'a Scene,
    random: fastrand::Rng,
    now: Time,
    nodes: Vec<Node>,
    hub: Suspects,
    servers: Vec<Server>,
    runs: Vec<Run>,
    actions: Vec<(Time, Action)>,
    next: u64,
    crashes: Vec<Vec<Time>>,
    sends: Vec<Vec<Time>>,
    held_at: Vec<Option<Time>>,
    /// Arrival times of sound requests, and whether their first attempts were held or failed.
    sound: Vec<(Time, bool, bool)>,
}

impl<'a> Fleet<'a> {
    fn new(scene: &'a Scene, seed: u64) -> Fleet<'a> {
        let node = |_| Node {
            suspects: Suspects::default(),
            next_exchange: Time::ZERO,
            sent: 0,
            received: 0,
        };
        let culprits = scene.culprits.len();
        Fleet {
            scene,
            random: fastrand::Rng::with_seed(seed),
            now: Time::ZERO,
            nodes: (0..scene.nodes).map(node).collect(),
            hub: Suspects::default(),
            servers: (0..scene.servers).map(|_| Server::default()).collect(),
            runs: Vec::new(),
            actions: Vec::new(),
            next: 0,
            crashes: vec![Vec::new(); culprits],
            sends: vec![Vec::new(); culprits],
            held_at: vec![None; culprits],
            sound: Vec::new(),
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.arrive();
        self.act();
        self.write();
        self.crash_at_random();
        self.exchange();
    }

    fn ms(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.u64(range))
    }

    fn arrive(&mut self) {
        let mut expected = self.scene.rate * STEP.as_secs_f64();
        while expected > 0.0 {
            if self.random.f64() < expected.min(1.0) {
                let request = self.request();
                if request.culprit.is_none() {
                    self.sound.push((self.now, false, false));
                }
                let node = self.random.usize(0..self.nodes.len());
                self.actions.push((self.now, Action::Send(request, node)));
            }
            expected -= 1.0;
        }
    }

    fn request(&mut self) -> Request {
        self.next += 1;
        let mut content = content(self.next);
        let mut parts: Vec<PartKey> = (0..self.scene.parts).map(|i| self.part(i)).collect();
        let mut draw = self.random.f64();
        let mut culprit = None;
        if self.now >= self.scene.since {
            for (i, (_, share)) in self.scene.culprits.iter().enumerate() {
                if (0.0..*share).contains(&draw) {
                    culprit = Some(i);
                }
                draw -= share;
            }
        }
        match culprit.map(|i| (i, self.scene.culprits[i].0)) {
            Some((i, Culprit::Part { place })) => parts[place] = deadly_part(i),
            Some((i, Culprit::Content)) => {
                content = [200 + i as u8; 16];
                (0..parts.len()).for_each(|place| parts[place] = place as u64 * 1000);
            }
            None => {}
        }
        Request {
            content,
            parts: parts.into(),
            culprit,
            id: self.next,
            number: self.sound.len(),
            attempt: 1,
            sends: 0,
        }
    }

    /// Returns a part that crashes nothing: one that all prompts share at the first of several places,
    /// one of a few at the next, and often one that no other prompt has at the later places.
    fn part(&mut self, place: usize) -> PartKey {
        if place > 1 && self.random.bool() {
            return (1 << 40) + self.next * 100 + place as u64;
        }
        let choices = if place == 0 && self.scene.parts > 1 {
            1
        } else {
            4
        };
        place as u64 * 1000 + self.random.u64(0..choices)
    }

    /// Performs the actions whose time has come.
    fn act(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.actions)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.actions = later;
        for (_, action) in due {
            match action {
                Action::Send(request, node) => self.send(request, node),
                Action::Lose(run, process, at) => self.lose(run, process, at),
            }
        }
    }

    fn send(&mut self, mut request: Request, node: usize) {
        let suspects = &self.nodes[node].suspects;
        let verdict = suspects.part_verdict(&request.parts, node == 0, self.now);
        if verdict != Verdict::Allowed {
            self.note_held(&request);
            return self.fail(request, true);
        }
        let verdict = suspects.verdict(&request.content, CONTENT_BOUND, self.now);
        if verdict != Verdict::Allowed {
            return self.fail(request, false);
        }
        let free = |server: &Server| server.up_at <= self.now && server.runs < self.scene.batch;
        let free: Vec<usize> = (0..self.servers.len())
            .filter(|server| free(&self.servers[*server]))
            .collect();
        if request.sends == SENDS_PER_ATTEMPT || free.is_empty() {
            return self.fail(request, false);
        }
        let server = free[self.random.usize(0..free.len())];
        self.servers[server].runs += 1;
        let suspects = &mut self.nodes[node].suspects;
        suspects.record_part_send(&request.parts, self.now);
        request.sends += 1;
        if let Some(culprit) = request.culprit {
            self.sends[culprit].push(self.now);
        }
        let first_event = self.now + self.ms(PREFILL_MS);
        let end = first_event + self.ms(WRITING_MS);
        self.runs.push(Run {
            request,
            node,
            server,
            first_event,
            end,
            has_survived_start: false,
        });
    }

    fn note_held(&mut self, request: &Request) {
        let Some(culprit) = request.culprit else {
            return;
        };
        let held_at = &mut self.held_at[culprit];
        *held_at = Some(held_at.unwrap_or(self.now));
    }

    /// Ends an attempt; its client tries once more.
    fn fail(&mut self, mut request: Request, is_held: bool) {
        if request.culprit.is_none() && request.attempt == 1 {
            let (_, held, failed) = &mut self.sound[request.number];
            (*held, *failed) = (is_held, !is_held);
        }
        if request.attempt == ATTEMPTS {
            return;
        }
        request.attempt += 1;
        request.sends = 0;
        let node = self.random.usize(0..self.nodes.len());
        let at = self.now + self.ms(RETRY_MS);
        self.actions.push((at, Action::Send(request, node)));
    }

    /// Goes on with all runs.
    fn write(&mut self) {
        let now = self.now;
        let mut crashed: Vec<usize> = Vec::new();
        for run in &mut self.runs {
            if run.first_event <= now && !crashed.contains(&run.server) {
                if let Some(culprit) = run.request.culprit {
                    self.crashes[culprit].push(now);
                    crashed.push(run.server);
                }
            }
        }
        crashed.iter().for_each(|server| self.crash(*server));
        for run in &mut self.runs {
            let suspects = &mut self.nodes[run.node].suspects;
            if run.first_event + EARLY_PHASE <= now && !run.has_survived_start {
                run.has_survived_start = true;
                suspects.record_part_survival(&run.request.parts, now);
            }
            if run.end <= now {
                suspects.record_survival(run.request.content, now);
                self.servers[run.server].runs -= 1;
            }
        }
        self.runs.retain(|run| run.end > now);
    }

    fn crash(&mut self, server: usize) {
        let (lost, rest) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|run| run.server == server);
        self.runs = rest;
        let process = (server as u64) << 32 | self.servers[server].incarnation;
        for run in lost {
            let found_at = self.now + self.ms(DETECTION_MS);
            let action = Action::Lose(run, process, self.now);
            self.actions.push((found_at, action));
        }
        let up_at = self.now + self.ms(RESTART_MS);
        self.servers[server] = Server {
            incarnation: self.servers[server].incarnation + 1,
            up_at,
            runs: 0,
        };
    }

    fn lose(&mut self, run: Run, process: u64, at: Time) {
        let attempt = run.request.id * 2 + u64::from(run.request.attempt);
        self.nodes[run.node].suspects.record_loss(Loss {
            content: run.request.content,
            attempt,
            process,
            at: self.now,
            early: at < run.first_event + EARLY_PHASE,
            parts: run.request.parts.clone(),
        });
        self.send(run.request, run.node);
    }

    fn crash_at_random(&mut self) {
        let Some(storm) = self.scene.storm else {
            return;
        };
        let chance = STEP.as_secs_f64() / storm.every.as_secs_f64();
        if self.now < self.scene.since || self.random.f64() >= chance {
            return;
        }
        let first = self.random.usize(0..self.servers.len());
        for server in first..first + storm.group {
            self.crash(server % self.servers.len());
        }
    }

    /// Lets nodes exchange losses with the hub.
    fn exchange(&mut self) {
        for i in 0..self.nodes.len() {
            if self.nodes[i].next_exchange > self.now {
                continue;
            }
            let delay = self.ms(EXCHANGE_MS);
            let node = &mut self.nodes[i];
            node.next_exchange = self.now + delay;
            let (losses, known) = node.suspects.losses_since(node.sent, self.now);
            self.hub.merge(&losses, self.now);
            node.sent = known;
            let (losses, known) = self.hub.losses_since(node.received, self.now);
            node.suspects.merge(&losses, self.now);
            node.received = known;
        }
    }

    fn outcome(self) -> Outcome {
        let culprit = |i: usize| {
            let (crashes, sends) = (&self.crashes[i], &self.sends[i]);
            let bound = crashes.get(BOUND_CRASHES - 1);
            let bound = bound.map_or(END, |at| *at + PROPAGATION_TIME);
            CulpritOutcome {
                crashes: crashes.len(),
                crashes_until_held: self.held_at[i]
                    .map(|held_at| crashes.iter().filter(|at| **at <= held_at).count()),
                late_sends: sends.iter().filter(|at| **at > bound).count(),
            }
        };
        let fifth =
            |crashes: &Vec<Time>| crashes.get(BOUND_CRASHES - 1).or(crashes.last()).copied();
        let found = self.crashes.iter().filter_map(fifth).max();
        let settled = found.map_or(self.scene.since, |at| at + 2 * PROPAGATION_TIME);
        let sound: Vec<_> = self
            .sound
            .iter()
            .filter(|sound| sound.0 >= settled)
            .collect();
        Outcome {
            culprits: (0..self.crashes.len()).map(culprit).collect(),
            sound: sound.len(),
            sound_held: sound.iter().filter(|sound| sound.1).count(),
            sound_failed: sound.iter().filter(|sound| sound.2).count(),
        }
    }
}

fn content(number: u64) -> ShortDigest {
    let mut content = [0; 16];
    content[..8].copy_from_slice(&number.to_le_bytes());
    content
}

fn deadly_part(culprit: usize) -> PartKey {
    900_000 + culprit as u64
}
