//! One run, event by event.

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
    node::{Lag, Node},
    workload::Call,
    Result, Speed, Workload,
};

/// What is compared.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The load.
    pub workload: Workload,
    /// How nodes choose.
    pub options: engines::Options,
    /// Engines.
    pub engines: usize,
    /// What an engine is like.
    pub speed: Speed,
    /// How many times slower the second engine is.
    pub slow: f64,
    /// When the third engine dies, and when it is back; none where it lives.
    pub dies: Option<(Duration, Duration)>,
    /// Bytes a second that a node spends on cache events.
    pub cache_rate: f64,
    /// The time to the first token that is still good.
    pub good: Duration,
    /// Time at the start that is not measured.
    pub warmup: Duration,
    /// The seed of everything that is drawn.
    pub seed: u64,
}

/// Time between a node's looks at its queue and its polls.
const TICK: Duration = Duration::from_millis(100);
/// One way between nodes and engines.
const HOP: Duration = Duration::from_micros(500);
/// Lag of reports and of cache events, and the part of these that is lost.
const LAG: Duration = Duration::from_millis(300);
const CACHE_LAG: Duration = Duration::from_millis(800);
const CACHE_LOSS: f64 = 0.02;

/// What happens next.
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
        life: u32,
    },
    Tick,
    Die,
    Return,
}

/// A request on its way.
#[derive(Debug, Default)]
struct Flight {
    ticket: Option<Reservation>,
    engine: usize,
    attempt: u32,
    got: u32,
    last: Option<Time>,
    first: Option<Duration>,
    lost: Vec<BackendId>,
}

/// A run at work.
struct Run<'a> {
    scenario: &'a Scenario,
    calls: Vec<Call>,
    flights: Vec<Flight>,
    nodes: Vec<Node>,
    engines: Vec<Engine>,
    lives: Vec<u32>,
    servers: Vec<BackendId>,
    places: HashMap<BackendId, usize>,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    order: u64,
    now: Time,
    // Requests that were lost and found no engine yet.
    homeless: Vec<usize>,
    result: Result,
}

/// Runs a scenario to the end of its load and of what it left open.
pub fn run(scenario: &Scenario) -> Result {
    let mut run = Run::new(scenario);
    while let Some(Reverse((now, _, event))) = run.events.pop() {
        run.now = now;
        run.handle(event);
        if now > scenario.workload.span + Duration::from_secs(120) {
            break;
        }
    }
    run.finish()
}

impl<'a> Run<'a> {
    fn new(scenario: &'a Scenario) -> Run<'a> {
        let calls = scenario.workload.draw(scenario.seed);
        let servers: Vec<BackendId> = (0..scenario.engines)
            .map(|i| format!("10.0.0.{i}:80").into())
            .collect();
        let count = scenario.workload.nodes;
        let nodes = (0..count)
            .map(|i| Node::new(i, count, &servers, scenario.options.clone(), scenario.seed))
            .collect();
        let engines = (0..scenario.engines)
            .map(|i| Engine::new(scenario.speed, if i == 1 { scenario.slow } else { 1.0 }))
            .collect();
        let workload = &scenario.workload;
        let mut run = Run {
            flights: calls.iter().map(|_| Flight::default()).collect(),
            calls,
            nodes,
            engines,
            lives: vec![0; scenario.engines],
            places: servers
                .iter()
                .enumerate()
                .map(|(i, s)| (s.clone(), i))
                .collect(),
            servers,
            events: BinaryHeap::new(),
            order: 0,
            now: Duration::ZERO,
            homeless: Vec::new(),
            result: Result::new(
                workload.accounts,
                workload.callers,
                workload.span - scenario.warmup,
            ),
            scenario,
        };
        for i in 0..run.calls.len() {
            run.at(run.calls[i].at, Event::Arrive(i));
        }
        run.at(Duration::ZERO, Event::Tick);
        if let Some((dies, returns)) = scenario.dies {
            run.at(dies, Event::Die);
            run.at(returns, Event::Return);
        }
        run
    }

    fn at(&mut self, time: Time, event: Event) {
        self.order += 1;
        self.events.push(Reverse((time, self.order, event)));
    }

    fn measured(&self, call: usize) -> bool {
        self.calls[call].at >= self.scenario.warmup
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(call) => self.arrive(call),
            Event::Submit {
                engine,
                call,
                attempt,
            } => self.submit(engine, call, attempt),
            Event::Step { engine, life } if life == self.lives[engine] => self.step(engine),
            Event::Step { .. } => {}
            Event::Tick => self.tick(),
            Event::Die => self.die(2),
            Event::Return => {
                self.engines[2].alive = true;
                self.lives[2] += 1;
                self.engines[2].busy = false;
            }
        }
    }

    fn arrive(&mut self, call: usize) {
        let (node, asked) = (self.calls[call].node, tokens(&self.calls[call]));
        let (account, caller) = (self.calls[call].account, self.calls[call].caller);
        if self.measured(call) {
            self.result.offered += 1;
            self.result.asked[account] += asked;
            if account == 0 {
                self.result.callers_asked[caller] += asked;
            }
        }
        let left = match self.nodes[node].offer(self.now, call, &self.calls[call]) {
            Ok(left) => left,
            Err(refused) => Some(refused),
        };
        if let Some(refused) = left {
            self.refuse(refused.job.item);
        }
        self.drain(node);
    }

    /// Sends what the node's queue and the engines' room allow.
    fn drain(&mut self, node: usize) {
        while let Some((call, ticket)) = self.nodes[node].next(self.now, &self.calls) {
            self.send(call, ticket);
        }
    }

    fn send(&mut self, call: usize, ticket: Reservation) {
        let engine = self.places[ticket.backend()];
        let flight = &mut self.flights[call];
        flight.attempt += 1;
        flight.engine = engine;
        flight.ticket = Some(ticket);
        let attempt = flight.attempt;
        self.at(
            self.now + HOP,
            Event::Submit {
                engine,
                call,
                attempt,
            },
        );
    }

    fn submit(&mut self, engine: usize, call: usize, attempt: u32) {
        if !self.engines[engine].alive {
            self.lose(call, 0);
            return;
        }
        let (got, prompt) = (self.flights[call].got, self.calls[call].prompt);
        let left = self.calls[call].output - got;
        let blocks = self.calls[call].blocks.clone();
        self.engines[engine].submit(call, attempt, prompt + got, left, blocks);
        if !self.engines[engine].busy {
            self.start(engine);
        }
    }

    fn start(&mut self, engine: usize) {
        let planned = self.engines[engine].plan();
        self.engines[engine].busy = planned.is_some();
        if let Some(time) = planned {
            let life = self.lives[engine];
            self.at(self.now + time, Event::Step { engine, life });
        }
    }

    fn step(&mut self, engine: usize) {
        for token in self.engines[engine].commit(self.now) {
            if self.flights[token.call].attempt == token.attempt {
                self.token(token.call, token.last);
            }
        }
        self.start(engine);
    }

    fn token(&mut self, call: usize, last: bool) {
        let now = self.now + HOP;
        let measured = self.measured(call);
        let flight = &mut self.flights[call];
        flight.got += 1;
        match flight.last.replace(now) {
            None => {
                let took = now - self.calls[call].at;
                flight.first = Some(took);
                if measured {
                    self.result.first.saturating_record(took.as_micros() as u64);
                }
            }
            Some(before) if measured => {
                let between = (now - before).as_micros() as u64;
                self.result.between.saturating_record(between);
            }
            Some(_) => {}
        }
        if let Some(ticket) = &mut flight.ticket {
            ticket.record_first_token(now);
        }
        if last {
            if let Some(ticket) = flight.ticket.take() {
                ticket.end(now, Some(Outcome::Success));
            }
            self.complete(call);
        }
        if last || self.flights[call].got == 1 {
            self.drain(self.calls[call].node);
        }
    }

    fn complete(&mut self, call: usize) {
        let whole = u64::from(self.measured(call));
        self.result.whole += whole;
        let Some(took) = self.flights[call].first else {
            return;
        };
        // What is served counts when it is served: the queue that is left at the end of the load is
        // served without competition, and would blur both goodput and fairness.
        let served = self.calls[call].at + took;
        if served < self.scenario.warmup || served >= self.scenario.workload.span {
            return;
        }
        let (account, caller) = (self.calls[call].account, self.calls[call].caller);
        let tokens = tokens(&self.calls[call]);
        self.result.good += u64::from(took <= self.scenario.good);
        self.result.accounts[account] += tokens;
        if account == 0 {
            self.result.callers[caller] += tokens;
        }
    }

    fn refuse(&mut self, call: usize) {
        if self.measured(call) {
            self.result.refused += 1;
        }
    }

    /// Goes on elsewhere with what was given to the caller.
    fn lose(&mut self, call: usize, wasted: u64) {
        self.result.wasted += wasted;
        let flight = &mut self.flights[call];
        if let Some(ticket) = flight.ticket.take() {
            flight.lost.push(ticket.backend().clone());
            ticket.end(self.now, Some(Outcome::Lost));
        }
        if !self.resume(call) {
            self.homeless.push(call);
        }
    }

    fn resume(&mut self, call: usize) -> bool {
        let node = &mut self.nodes[self.calls[call].node];
        let flight = &self.flights[call];
        let ticket = node.again(self.now, &self.calls[call], flight.got, &flight.lost);
        ticket.map(|ticket| self.send(call, ticket)).is_some()
    }

    fn die(&mut self, engine: usize) {
        self.lives[engine] += 1;
        self.engines[engine].busy = false;
        let lost = self.engines[engine].die();
        for job in lost {
            if self.flights[job.call].attempt == job.attempt {
                self.lose(job.call, u64::from(job.prompt));
            }
        }
    }

    fn tick(&mut self) {
        let lag = Lag {
            report: LAG,
            cache: CACHE_LAG,
            loss: CACHE_LOSS,
            cache_rate: self.scenario.cache_rate,
        };
        for call in std::mem::take(&mut self.homeless) {
            if !self.resume(call) {
                self.homeless.push(call);
            }
        }
        for node in 0..self.nodes.len() {
            self.nodes[node].engines.tick(self.now);
            self.nodes[node].poll(self.now, &mut self.engines, &self.servers, &lag);
            for refused in self.nodes[node].queue.remove_expired(self.now) {
                self.refuse(refused.job.item);
            }
            self.drain(node);
        }
        let open = self.flights.iter().any(|flight| flight.ticket.is_some());
        if self.now < self.scenario.workload.span || open {
            self.at(self.now + TICK, Event::Tick);
        }
    }

    fn finish(mut self) -> Result {
        let counts = |f: fn(&Engine) -> u64| self.engines.iter().map(f).sum::<u64>() as f64;
        self.result.hits = counts(|e| e.counts.cached) / counts(|e| e.counts.prompt).max(1.0);
        self.result.overflows = counts(|e| e.counts.overflows) as u64;
        self.result.broken = self.result.offered - self.result.whole - self.result.refused;
        self.result
    }
}

/// Tokens of a request and its answer.
fn tokens(call: &Call) -> f64 {
    f64::from(call.prompt + call.output)
}
