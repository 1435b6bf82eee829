//! Runs a scenario as a discrete-event simulation.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Duration,
};

use cassiareel::{
    engines::{self, Reservation},
    kernel::{health::Outcome, BackendId, Time},
};

use super::{
    engine::Engine,
    node::{Node, PollConditions},
    workload::Call,
    EngineProfile, RunResult, Workload,
};

/// The parameters of a run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The requests.
    pub workload: Workload,
    /// The routing options of nodes.
    pub options: engines::Options,
    /// Number of engines.
    pub engines: usize,
    /// The speed and the capacity of each engine.
    pub profile: EngineProfile,
    /// Factor by which the second engine is slower.
    pub slowdown: f64,
    /// Times at which the third engine crashes and restarts; `None` for no crash.
    pub crash: Option<(Duration, Duration)>,
    /// Bytes per second that a node reads of cache events.
    pub cache_rate: f64,
    /// Longest time to the first token that counts as good.
    pub first_token_limit: Duration,
    /// Time at the start whose requests are not measured.
    pub warmup: Duration,
    /// Seed of all random numbers.
    pub seed: u64,
}

/// Interval at which nodes poll engines and check their queues.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// One-way delay between nodes and engines.
const HOP_DELAY: Duration = Duration::from_micros(500);
/// Delay of load reports and of cache events, and the fraction of cache events that is lost.
const REPORT_LAG: Duration = Duration::from_millis(300);
const CACHE_LAG: Duration = Duration::from_millis(800);
const CACHE_LOSS: f64 = 0.02;

/// A simulation event.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive(usize),
    Submit {
        engine: usize,
        call: usize,
        attempt: u32,
    },
    Step {
        engine: usize,
        incarnation: u32,
    },
    Tick,
    Crash,
    Restart,
}

/// The state of a request.
#[derive(Debug, Default)]
struct RequestState {
    reservation: Option<Reservation>,
    engine: usize,
    attempt: u32,
    generated: u32,
    last_token: Option<Time>,
    first_token: Option<Duration>,
    lost: Vec<BackendId>,
}

/// The state of a run.
struct Run<'a> {
    scenario: &'a Scenario,
    calls: Vec<Call>,
    states: Vec<RequestState>,
    nodes: Vec<Node>,
    engines: Vec<Engine>,
    incarnations: Vec<u32>,
    servers: Vec<BackendId>,
    engine_indices: HashMap<BackendId, usize>,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    sequence: u64,
    now: Time,
    // Requests whose engine was lost and that no other engine has accepted yet.
    unplaced: Vec<usize>,
    result: RunResult,
}

/// Runs a scenario until its last request has ended, at most until 120 s after its load.
pub fn run(scenario: &Scenario) -> RunResult {
    let mut run = Run::new(scenario);
    while let Some(Reverse((now, _, event))) = run.events.pop() {
        run.now = now;
        run.handle(event);
        if now > scenario.workload.duration + Duration::from_secs(120) {
            break;
        }
    }
    run.finish()
}

impl<'a> Run<'a> {
    fn new(scenario: &'a Scenario) -> Run<'a> {
        let calls = scenario.workload.generate(scenario.seed);
        let servers: Vec<BackendId> = (0..scenario.engines)
            .map(|i| format!("10.0.0.{i}:80").into())
            .collect();
        let count = scenario.workload.nodes;
        let nodes = (0..count)
            .map(|i| Node::new(i, count, &servers, scenario.options.clone(), scenario.seed))
            .collect();
        let engines = (0..scenario.engines)
            .map(|i| {
                Engine::new(
                    scenario.profile,
                    if i == 1 { scenario.slowdown } else { 1.0 },
                )
            })
            .collect();
        let workload = &scenario.workload;
        let mut run = Run {
            states: calls.iter().map(|_| RequestState::default()).collect(),
            calls,
            nodes,
            engines,
            incarnations: vec![0; scenario.engines],
            engine_indices: servers
                .iter()
                .enumerate()
                .map(|(i, s)| (s.clone(), i))
                .collect(),
            servers,
            events: BinaryHeap::new(),
            sequence: 0,
            now: Duration::ZERO,
            unplaced: Vec::new(),
            result: RunResult::new(
                workload.accounts,
                workload.callers,
                workload.duration - scenario.warmup,
            ),
            scenario,
        };
        for i in 0..run.calls.len() {
            run.schedule(run.calls[i].arrival, Event::Arrive(i));
        }
        run.schedule(Duration::ZERO, Event::Tick);
        if let Some((crash, restart)) = scenario.crash {
            run.schedule(crash, Event::Crash);
            run.schedule(restart, Event::Restart);
        }
        run
    }

    fn schedule(&mut self, time: Time, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn is_measured(&self, call: usize) -> bool {
        self.calls[call].arrival >= self.scenario.warmup
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(call) => self.arrive(call),
            Event::Submit {
                engine,
                call,
                attempt,
            } => self.submit(engine, call, attempt),
            Event::Step {
                engine,
                incarnation,
            } if incarnation == self.incarnations[engine] => self.step(engine),
            Event::Step { .. } => {}
            Event::Tick => self.tick(),
            Event::Crash => self.crash_engine(2),
            Event::Restart => {
                self.engines[2].alive = true;
                self.incarnations[2] += 1;
                self.engines[2].busy = false;
            }
        }
    }

    fn arrive(&mut self, call: usize) {
        let (node, asked) = (self.calls[call].node, tokens(&self.calls[call]));
        let (account, caller) = (self.calls[call].account, self.calls[call].caller);
        if self.is_measured(call) {
            self.result.offered += 1;
            self.result.requested_by_account[account] += asked;
            if account == 0 {
                self.result.requested_by_caller[caller] += asked;
            }
        }
        let overdue = match self.nodes[node].enqueue(self.now, call, &self.calls[call]) {
            Ok(overdue) => overdue,
            Err(refused) => Some(refused),
        };
        if let Some(refused) = overdue {
            self.refuse(refused.job.item);
        }
        self.dispatch(node);
    }

    /// Sends queued requests as long as engines have room.
    fn dispatch(&mut self, node: usize) {
        while let Some((call, reservation)) = self.nodes[node].next_ready(self.now, &self.calls) {
            self.send(call, reservation);
        }
    }

    fn send(&mut self, call: usize, reservation: Reservation) {
        let engine = self.engine_indices[reservation.backend()];
        let state = &mut self.states[call];
        state.attempt += 1;
        state.engine = engine;
        state.reservation = Some(reservation);
        let attempt = state.attempt;
        self.schedule(
            self.now + HOP_DELAY,
            Event::Submit {
                engine,
                call,
                attempt,
            },
        );
    }

    fn submit(&mut self, engine: usize, call: usize, attempt: u32) {
        if !self.engines[engine].alive {
            self.handle_loss(call, 0);
            return;
        }
        let (generated, prompt) = (self.states[call].generated, self.calls[call].prompt);
        let remaining = self.calls[call].output - generated;
        let blocks = self.calls[call].blocks.clone();
        self.engines[engine].submit(call, attempt, prompt + generated, remaining, blocks);
        if !self.engines[engine].busy {
            self.start(engine);
        }
    }

    fn start(&mut self, engine: usize) {
        let planned = self.engines[engine].plan_step();
        self.engines[engine].busy = planned.is_some();
        if let Some(time) = planned {
            let incarnation = self.incarnations[engine];
            self.schedule(
                self.now + time,
                Event::Step {
                    engine,
                    incarnation,
                },
            );
        }
    }

    fn step(&mut self, engine: usize) {
        for token in self.engines[engine].complete_step(self.now) {
            if self.states[token.call].attempt == token.attempt {
                self.token(token.call, token.last);
            }
        }
        self.start(engine);
    }

    fn token(&mut self, call: usize, last: bool) {
        let now = self.now + HOP_DELAY;
        let measured = self.is_measured(call);
        let state = &mut self.states[call];
        state.generated += 1;
        match state.last_token.replace(now) {
            None => {
                let elapsed = now - self.calls[call].arrival;
                state.first_token = Some(elapsed);
                if measured {
                    self.result
                        .first_token
                        .saturating_record(elapsed.as_micros() as u64);
                }
            }
            Some(before) if measured => {
                let between = (now - before).as_micros() as u64;
                self.result.between_tokens.saturating_record(between);
            }
            Some(_) => {}
        }
        if let Some(reservation) = &mut state.reservation {
            reservation.record_first_token(now);
        }
        if last {
            if let Some(reservation) = state.reservation.take() {
                reservation.end(now, Some(Outcome::Success));
            }
            self.complete(call);
        }
        if last || self.states[call].generated == 1 {
            self.dispatch(self.calls[call].node);
        }
    }

    fn complete(&mut self, call: usize) {
        let completed = u64::from(self.is_measured(call));
        self.result.completed += completed;
        let Some(first_token) = self.states[call].first_token else {
            return;
        };
        // Requests count only if their first token comes while the load lasts: the queue that is
        // left afterwards is served without competition and would distort goodput and fairness.
        let served = self.calls[call].arrival + first_token;
        if served < self.scenario.warmup || served >= self.scenario.workload.duration {
            return;
        }
        let (account, caller) = (self.calls[call].account, self.calls[call].caller);
        let tokens = tokens(&self.calls[call]);
        self.result.good += u64::from(first_token <= self.scenario.first_token_limit);
        self.result.served_by_account[account] += tokens;
        if account == 0 {
            self.result.served_by_caller[caller] += tokens;
        }
    }

    fn refuse(&mut self, call: usize) {
        if self.is_measured(call) {
            self.result.refused += 1;
        }
    }

    /// Resumes a request whose engine was lost on another engine, after the tokens that the caller
    /// already has.
    fn handle_loss(&mut self, call: usize, wasted_tokens: u64) {
        self.result.wasted_tokens += wasted_tokens;
        let state = &mut self.states[call];
        if let Some(reservation) = state.reservation.take() {
            state.lost.push(reservation.backend().clone());
            reservation.end(self.now, Some(Outcome::Lost));
        }
        if !self.resend(call) {
            self.unplaced.push(call);
        }
    }

    fn resend(&mut self, call: usize) -> bool {
        let node = &mut self.nodes[self.calls[call].node];
        let state = &self.states[call];
        let reservation =
            node.choose_again(self.now, &self.calls[call], state.generated, &state.lost);
        reservation
            .map(|reservation| self.send(call, reservation))
            .is_some()
    }

    fn crash_engine(&mut self, engine: usize) {
        self.incarnations[engine] += 1;
        self.engines[engine].busy = false;
        let lost = self.engines[engine].crash();
        for job in lost {
            if self.states[job.call].attempt == job.attempt {
                self.handle_loss(job.call, u64::from(job.prompt));
            }
        }
    }

    fn tick(&mut self) {
        let conditions = PollConditions {
            report_lag: REPORT_LAG,
            cache_lag: CACHE_LAG,
            loss: CACHE_LOSS,
            cache_rate: self.scenario.cache_rate,
        };
        for call in std::mem::take(&mut self.unplaced) {
            if !self.resend(call) {
                self.unplaced.push(call);
            }
        }
        for node in 0..self.nodes.len() {
            self.nodes[node].table.tick(self.now);
            self.nodes[node].poll(self.now, &mut self.engines, &self.servers, &conditions);
            for refused in self.nodes[node].queue.remove_expired(self.now) {
                self.refuse(refused.job.item);
            }
            self.dispatch(node);
        }
        let open = self.states.iter().any(|state| state.reservation.is_some());
        if self.now < self.scenario.workload.duration || open {
            self.schedule(self.now + TICK_INTERVAL, Event::Tick);
        }
    }

    fn finish(mut self) -> RunResult {
        let counts = |f: fn(&Engine) -> u64| self.engines.iter().map(f).sum::<u64>() as f64;
        self.result.hit_ratio = counts(|e| e.counts.cached) / counts(|e| e.counts.prompt).max(1.0);
        self.result.overflows = counts(|e| e.counts.overflows) as u64;
        self.result.incomplete = self.result.offered - self.result.completed - self.result.refused;
        self.result
    }
}

/// Returns the number of tokens of a prompt and its answer.
fn tokens(call: &Call) -> f64 {
    f64::from(call.prompt + call.output)
}
