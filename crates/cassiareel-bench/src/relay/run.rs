//! The course of a run.

use std::time::Duration;

use cassiareel_relay::{
    kernel::{
        AdmissionRequest, EndedStream, PromptDemand, ServiceSpeeds, HOLD_POLL_INTERVAL,
        MAX_HOLD_PART,
    },
    model::{AccountId, Prompt, ServiceId},
    settings::Admission,
};

use super::{
    engine::{Engine, Signal, READ},
    node::{Own, Reports},
    pattern::{Pattern, ACCOUNTS},
    policy::{policy, tell_one, Policy, Setup, View},
    result::Outcome,
    stream::{Place, Stream, FIRST},
};

/// A step of time, in milliseconds.
const STEP: f64 = 5.0;

/// Engines, nodes and data centres.
const ENGINES: usize = 36;
const NODES: usize = 6;
const ZONES: usize = 3;

/// The part of a data centre's engines that a crash takes.
const TAKEN: f64 = 0.9;

/// How long an engine that has ended is down, in milliseconds.
const DOWN: f64 = 1200.0;

/// How long the registry goes on naming an engine that has ended, in milliseconds.
const NAMED: f64 = 3000.0;

/// The time between looks at holders of copies, in milliseconds.
const LOOK: f64 = 150.0;

/// Plays a pattern; `seed` decides everything that is drawn.
pub fn run(pattern: &Pattern, setup: Setup, seed: u64) -> Outcome {
    let mut play = Play::new(pattern, setup, seed);
    let end = pattern.span + pattern.deadline;
    while play.now < end {
        play.step();
    }
    Outcome::new(&play.streams, play.waste)
}

/// Nodes that know nothing yet.
fn new_nodes() -> Vec<Own> {
    (0..NODES).map(|_| Own::new(ENGINES)).collect()
}

/// What a stream of an account claims.
fn claim(account: usize) -> AdmissionRequest {
    AdmissionRequest {
        account: AccountId::from(account.to_string()),
        priority: 0,
        weight: 1.0,
        cost: 1.0,
    }
}

fn millis(time: f64) -> Duration {
    Duration::from_secs_f64(time.max(0.0) / 1000.0)
}

/// A run under way.
struct Play<'a> {
    pattern: &'a Pattern,
    setup: Setup,
    policy: Box<dyn Policy>,
    /// Draws the load, the same for all that is compared.
    load: fastrand::Rng,
    /// Draws the nodes' choices.
    random: fastrand::Rng,
    now: f64,
    engines: Vec<Engine>,
    /// The number of starts by which the registry names each engine.
    named: Vec<u32>,
    reports: Vec<Reports>,
    nodes: Vec<Own>,
    streams: Vec<Stream>,
    paces: ServiceSpeeds,
    service: ServiceId,
    waste: u64,
}

impl<'a> Play<'a> {
    fn new(pattern: &'a Pattern, setup: Setup, seed: u64) -> Play<'a> {
        let engine = |i| Engine {
            zone: i % ZONES,
            memory: pattern.memory,
            ..Engine::default()
        };
        Play {
            pattern,
            setup,
            policy: policy(setup.policy),
            load: fastrand::Rng::with_seed(seed),
            random: fastrand::Rng::with_seed(!seed),
            now: 0.0,
            engines: (0..ENGINES).map(engine).collect(),
            named: vec![0; ENGINES],
            reports: vec![Reports::default(); ENGINES],
            nodes: new_nodes(),
            streams: Vec::new(),
            paces: ServiceSpeeds::default(),
            service: ServiceId::from("model"),
            waste: 0,
        }
    }

    fn step(&mut self) {
        self.crash();
        self.black_out();
        self.arrive();
        self.send();
        if self.setup.prove && self.now % LOOK < STEP {
            self.prove();
        }
        self.work();
        self.now += STEP;
    }

    /// Reports whether something that is due at a moment happens in this step.
    fn is_due(&self, at: f64) -> bool {
        (self.now..self.now + STEP).contains(&at)
    }

    fn crash(&mut self) {
        for crash in self.pattern.crashes.iter().copied() {
            if !self.is_due(crash.at) {
                continue;
            }
            for engine in 0..ENGINES {
                let hit = self.engines[engine].zone == crash.zone && self.load.f64() < TAKEN;
                if !hit {
                    continue;
                }
                for lost in self.engines[engine].end(self.now + DOWN) {
                    self.leave(lost, engine);
                }
            }
        }
        for engine in 0..ENGINES {
            let back = self.engines[engine].up - DOWN + NAMED;
            if back > 0.0 && self.is_due(back) {
                self.named[engine] = self.engines[engine].starts;
            }
        }
    }

    /// Ends all nodes, and brings their callers back.
    fn black_out(&mut self) {
        let Some(blackout) = self.pattern.blackout else {
            return;
        };
        if self.is_due(blackout.at) {
            for engine in &mut self.engines {
                for stream in engine.cancel_all() {
                    self.streams[stream].place = Place::Over;
                    self.streams[stream].resumed = true;
                    self.streams[stream].unread = 0;
                    self.streams[stream].copy = None;
                }
            }
            self.nodes = new_nodes();
        }
        if self.is_due(blackout.back) {
            for stream in self.streams.iter_mut().filter(|s| s.resumed) {
                stream.place = Place::Out;
            }
        }
    }

    fn arrive(&mut self) {
        let dark =
            |b: super::pattern::Blackout| (b.at..b.back.min(b.at + 1000.0)).contains(&self.now);
        if self.now >= self.pattern.span || self.pattern.blackout.is_some_and(dark) {
            return;
        }
        if self.load.f64() >= self.pattern.rate_at(self.now) * STEP / 1000.0 {
            return;
        }
        let first = self.load.f64() < self.pattern.first_account(self.now);
        let account = if first {
            0
        } else {
            self.load.usize(1..ACCOUNTS)
        };
        self.streams.push(Stream {
            account,
            reserve: None,
            next: 0.0,
            node: self.load.usize(0..NODES),
            arrived: self.now,
            end: self.now + self.pattern.deadline,
            input: self.load.u64(3_400..7_000),
            unread: 0,
            output: self.load.f64() * 700.0 + 690.0,
            made: 0.0,
            place: Place::Out,
            copy: None,
            resumed: false,
            first: None,
            heard: self.now,
            pause: 0.0,
            refused: false,
        });
    }

    /// Sends all streams that are nowhere.
    fn send(&mut self) {
        for stream in 0..self.streams.len() {
            let held = &self.streams[stream];
            if held.place == Place::Out && self.now >= held.next {
                self.place(stream);
            }
        }
    }

    /// Sends one stream: to its copy, to the holder of its prompt, or where the policy says.
    fn place(&mut self, stream: usize) {
        if self.now >= self.streams[stream].end {
            self.streams[stream].place = Place::Over;
            return;
        }
        if let Some((engine, starts)) = self.streams[stream].copy.take() {
            let lives =
                self.engines[engine].starts == starts && self.engines[engine].up <= self.now;
            if lives && self.engines[engine].take(stream, 0.0) {
                self.engines[engine].held.insert(stream);
                self.enter(stream, engine, 0);
                return;
            }
        }
        if self.setup.search && self.streams[stream].resumed {
            let holds = |engine: &usize| self.engines[*engine].held.contains(&stream);
            let holder = (0..ENGINES).find(holds);
            if let Some(engine) = holder.filter(|e| self.engines[*e].up <= self.now) {
                if self.engines[engine].take(stream, 0.0) {
                    self.enter(stream, engine, 0);
                    return;
                }
            }
        }
        if self.setup.refuse && self.is_too_late(stream) {
            self.refuse(stream);
            return;
        }
        self.place_anew(stream);
    }

    fn is_too_late(&self, stream: usize) -> bool {
        let held = &self.streams[stream];
        let prompt = Prompt {
            input: held.input,
            max_output: held.output as u64,
            ..Prompt::default()
        };
        let least = self
            .paces
            .min_time(&self.service, &prompt, held.input, held.events());
        least.as_secs_f64() * 1000.0 > held.end - self.now
    }

    /// Lets a stream in by its account's share; `false` where it is refused.
    fn let_in(&mut self, stream: usize) -> bool {
        let held = &mut self.streams[stream];
        let begun = held.resumed || held.made > 0.0 || held.reserve.is_some();
        if !self.setup.admit || begun {
            return true;
        }
        let now = millis(self.now);
        let admitted =
            self.nodes[held.node]
                .load
                .admit(&claim(held.account), now, self.random.f64());
        held.reserve = admitted.ok();
        held.reserve.is_some()
    }

    /// What a stream that has not begun needs of an engine.
    fn want(&self, stream: usize) -> Option<PromptDemand> {
        let held = &self.streams[stream];
        if !self.setup.admit || held.resumed || held.made > 0.0 {
            return None;
        }
        Some(PromptDemand {
            input: held.input,
            peak_tokens: held.input + held.output as u64,
            reserved_part: held.reserve.unwrap_or(0.0),
            prefill_time: millis(held.input as f64 / READ),
            max_wait: millis(FIRST * Admission::default().wait_part),
        })
    }

    /// Refuses a stream.
    fn refuse(&mut self, stream: usize) {
        self.streams[stream].place = Place::Over;
        self.streams[stream].refused = true;
    }

    /// Sends a stream whose prompt has to be read. Engines that turn out to be gone are left out.
    fn place_anew(&mut self, stream: usize) {
        let (node, input) = (self.streams[stream].node, self.streams[stream].input);
        if !self.let_in(stream) {
            self.refuse(stream);
            return;
        }
        let want = self.want(stream);
        let mut order = fastrand::Rng::with_seed(stream as u64);
        let ranks: Vec<f64> = (0..ENGINES).map(|_| order.f64()).collect();
        let mut closed = vec![false; ENGINES];
        loop {
            let view = View {
                own: &self.nodes[node],
                reports: &self.reports,
                ranks: &ranks,
                closed: &closed,
                input,
                want,
                capacity: self.pattern.memory.unwrap_or(0.0) as u64,
            };
            let Some(engine) = self.policy.pick(&view, &mut self.random) else {
                let held = &self.streams[stream];
                if want.is_some() && self.now - held.arrived > FIRST * MAX_HOLD_PART {
                    let (now, claim) = (millis(self.now), claim(held.account));
                    self.nodes[node].load.record_unserved(&claim, now);
                    self.refuse(stream);
                }
                self.streams[stream].next = self.now + HOLD_POLL_INTERVAL.as_secs_f64() * 1000.0;
                return;
            };
            if let Some(want) = &want {
                let told = tell_one(&view, engine);
                let extra = told.tokens_to_reserve(want) as f64;
                if told.is_tight(want) && !self.engines[engine].has_room(extra) {
                    closed[engine] = true;
                    continue;
                }
            }
            let known = self.named[engine] == self.engines[engine].starts;
            let held = self.engines[engine].held.contains(&stream);
            let unread = if held { 0 } else { input };
            if known && self.engines[engine].take(stream, unread as f64) {
                let again = self.streams[stream].made > 0.0;
                self.waste += if again { unread } else { 0 };
                self.enter(stream, engine, unread);
                return;
            }
            closed[engine] = true;
        }
    }

    /// Notes that an engine took a stream, and chooses where its memory is copied to.
    fn enter(&mut self, stream: usize, engine: usize, unread: u64) {
        let own = &mut self.nodes[self.streams[stream].node];
        own.open[engine] += 1;
        own.unread[engine] += unread;
        self.streams[stream].unread = unread;
        self.streams[stream].place = Place::At(engine);
        self.streams[stream].copy = self.new_copy(engine);
    }

    /// A copy in another data centre, at an engine that the registry names.
    fn new_copy(&mut self, engine: usize) -> Option<(usize, u32)> {
        if !self.setup.copies {
            return None;
        }
        let zone = self.engines[engine].zone;
        let far: Vec<usize> = (0..ENGINES)
            .filter(|other| self.engines[*other].zone != zone)
            .collect();
        let holder = self.random.choice(far)?;
        Some((holder, self.named[holder]))
    }

    /// Makes copies anew whose holders have ended.
    fn prove(&mut self) {
        for stream in 0..self.streams.len() {
            let Place::At(engine) = self.streams[stream].place else {
                continue;
            };
            let lost = |(holder, starts): (usize, u32)| self.engines[holder].starts != starts;
            if self.streams[stream].copy.is_none_or(lost) {
                self.streams[stream].copy = self.new_copy(engine);
            }
        }
    }

    /// Notes that a stream is no more at an engine.
    fn leave(&mut self, stream: usize, engine: usize) {
        let held = &mut self.streams[stream];
        let own = &mut self.nodes[held.node];
        own.open[engine] -= 1;
        own.unread[engine] -= std::mem::take(&mut held.unread);
        // An engine copies no memory before the first event.
        held.copy = held.copy.filter(|_| held.made > 0.0);
        held.place = Place::Out;
    }

    fn work(&mut self) {
        for engine in 0..ENGINES {
            self.reports[engine].note(&self.engines[engine], &self.streams);
            for signal in self.engines[engine].work(STEP) {
                match signal {
                    Signal::Read(stream) => {
                        let held = &mut self.streams[stream];
                        let tokens = held.input as f64 + held.made;
                        self.engines[engine].tokens.insert(stream, tokens);
                        let own = &mut self.nodes[held.node];
                        own.unread[engine] -= std::mem::take(&mut held.unread);
                    }
                    Signal::Made(stream, tokens) => self.make(stream, engine, tokens),
                    Signal::Dropped(tokens) => self.waste += tokens as u64,
                }
            }
        }
    }

    /// Passes tokens on to a caller, unless its time is over.
    fn make(&mut self, stream: usize, engine: usize, tokens: f64) {
        let whole = self.streams[stream].take(tokens, self.now);
        if whole || self.now >= self.streams[stream].end {
            self.engines[engine].cancel(stream);
            self.leave(stream, engine);
            self.streams[stream].place = Place::Over;
        }
        if whole {
            self.learn(stream);
        }
    }

    /// Takes in a stream that ended where it began.
    fn learn(&mut self, stream: usize) {
        let held = &self.streams[stream];
        let first = held.first.unwrap_or(held.heard);
        let ended = EndedStream {
            prefilled_tokens: if held.resumed { 0 } else { held.input },
            prefill_time: millis(first - held.arrived),
            max_output: held.output as u64,
            last_event: held.events(),
            run_events: if held.resumed { 0 } else { held.events() },
            decode_time: millis(held.heard - first),
        };
        self.paces.record(&self.service, ended);
    }
}
