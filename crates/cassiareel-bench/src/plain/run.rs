//! The run of a pattern, event by event.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use cassiareel_relay::{kernel::AdmissionRequest, model::AccountId};

use super::{
    node::{Answer, Node, Request, Rules},
    pattern::PlainPattern,
    result::PlainOutcome,
    server::Server,
    speed::Speed,
};

/// Objectives of requests, in milliseconds.
const OBJECTIVES_MS: [f64; 3] = [150.0, 200.0, 300.0];

/// Number of client accounts.
const ACCOUNTS: usize = 30;

/// Time of a message one way, in milliseconds.
const WAY_MS: std::ops::Range<f64> = 0.5..3.0;

/// The work of requests, as multiples of the mean.
const WORK_RANGE: std::ops::Range<f64> = 0.5..1.5;

/// Servers that may reject a request before it is given up.
const MAX_REFUSALS: usize = 4;

/// Time between measurements of the work at servers, in milliseconds.
const SAMPLE_MS: f64 = 100.0;

/// Microseconds in a millisecond, the unit of event times.
const MICROS: f64 = 1000.0;

/// Converts milliseconds.
pub(super) fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1000.0)
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    /// The next request arrives at a node.
    Arrival,
    /// The work at servers is measured.
    Sample,
    /// A request arrives at a server.
    AtServer { request: usize, server: usize },
    /// A server has done the work of a request.
    Done { request: usize, server: usize },
    /// An answer arrives at the node: whether it ran, with the load.
    Answered {
        request: usize,
        server: usize,
        ran: bool,
        running: u32,
        waiting: u32,
        work_percent: Option<u32>,
    },
}

struct Run<'a> {
    pattern: &'a PlainPattern,
    rules: Rules,
    nodes: Vec<Node>,
    servers: Vec<Server>,
    speeds: Vec<Speed>,
    requests: BTreeMap<usize, Request>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    scheduled: u64,
    random: fastrand::Rng,
    now: f64,
    next: usize,
    outcome: PlainOutcome,
}

/// Runs a pattern.
pub fn run_plain(pattern: &PlainPattern, rules: Rules, seed: u64) -> PlainOutcome {
    let mut run = Run {
        pattern,
        rules,
        nodes: (0..pattern.nodes)
            .map(|_| Node::new(pattern.servers))
            .collect(),
        servers: vec![Server::default(); pattern.servers],
        speeds: speeds(pattern, seed),
        requests: BTreeMap::new(),
        events: BinaryHeap::new(),
        scheduled: 0,
        random: fastrand::Rng::with_seed(seed),
        now: 0.0,
        next: 0,
        outcome: PlainOutcome::default(),
    };
    run.schedule(0.0, Event::Arrival);
    run.schedule(SAMPLE_MS, Event::Sample);
    while let Some(Reverse((at, _, event))) = run.events.pop() {
        let now = at as f64 / MICROS;
        run.outcome.idle_wait_ms += (now - run.now) * run.waiting_beside_idle();
        run.now = now;
        run.handle(event);
    }
    run.outcome.capacity = pattern.burst_capacity();
    run.outcome
}

/// Returns the speeds of a pattern's servers.
fn speeds(pattern: &PlainPattern, seed: u64) -> Vec<Speed> {
    let last = pattern.servers.saturating_sub(1).max(1) as f64;
    let speed = |server: usize| match pattern.uneven {
        true => Speed::uneven(server as f64 / last, seed * 1000 + server as u64),
        false => Speed::even(),
    };
    (0..pattern.servers).map(speed).collect()
}

impl Run<'_> {
    fn schedule(&mut self, after_ms: f64, event: Event) {
        self.scheduled += 1;
        let at = ((self.now + after_ms) * MICROS) as u64;
        self.events.push(Reverse((at, self.scheduled, event)));
    }

    fn way(&mut self) -> f64 {
        WAY_MS.start + self.random.f64() * (WAY_MS.end - WAY_MS.start)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::Sample => self.sample(),
            Event::AtServer { request, server } => self.reach(request, server),
            Event::Done { request, server } => self.finish(request, server),
            Event::Answered {
                request,
                server,
                ran,
                running,
                waiting,
                work_percent,
            } => {
                let load = cassiareel_relay::protocol::Load {
                    running,
                    waiting,
                    slots: self.pattern.slots as u32,
                    work_percent,
                };
                self.answer(
                    request,
                    server,
                    Answer {
                        ran,
                        load,
                        now: self.now,
                    },
                );
            }
        }
    }

    /// Returns the number of requests that wait while a slot of another server is free.
    fn waiting_beside_idle(&self) -> f64 {
        let waiting: usize = self.servers.iter().map(|server| server.waiting.len()).sum();
        let slots = self.pattern.slots;
        let free: usize = self
            .servers
            .iter()
            .map(|server| slots - server.running)
            .sum();
        waiting.min(free) as f64
    }

    /// Measures the work at each server: its requests over its speed.
    fn sample(&mut self) {
        if self.now > self.pattern.duration_ms {
            return;
        }
        for (server, speed) in self.servers.iter().zip(&mut self.speeds) {
            let requests = server.running + server.waiting.len();
            self.outcome.work.push(requests as f64 / speed.at(self.now));
        }
        self.schedule(SAMPLE_MS, Event::Sample);
    }

    fn arrive(&mut self) {
        let gap = -self.random.f64().max(1e-12).ln() / self.pattern.rate_at(self.now) * 1000.0;
        if self.now + gap < self.pattern.duration_ms {
            self.schedule(gap, Event::Arrival);
        }
        let node = self.random.usize(0..self.pattern.nodes);
        // Squared, so that some accounts ask for more than others.
        let account = (self.random.f64().powi(2) * ACCOUNTS as f64) as usize;
        let request = Request {
            node,
            arrived: self.now,
            objective: millis(OBJECTIVES_MS[self.random.usize(0..OBJECTIVES_MS.len())]),
            claim: AdmissionRequest {
                account: AccountId::from(format!("account-{account}").as_str()),
                priority: (account % 3) as u8,
                weight: 1.0,
                cost: 1.0,
            },
            tried: Vec::new(),
            sent_at: self.now,
        };
        if self.pattern.burst_ms.contains(&self.now) {
            self.outcome.asked += 1;
        } else {
            self.outcome.calm_asked += 1;
        }
        let random = self.random.f64();
        if !self.nodes[node].admit(&request, self.now, random) {
            self.refuse(&request);
            return;
        }
        self.next += 1;
        self.requests.insert(self.next, request);
        self.send(self.next);
    }

    fn send(&mut self, id: usize) {
        let Some(mut request) = self.requests.remove(&id) else {
            return;
        };
        let node = &mut self.nodes[request.node];
        let slots = self.pattern.slots;
        match node.place(self.rules, &request, slots, self.now, &mut self.random) {
            None => self.refuse(&request),
            Some(server) => {
                request.tried.push(server);
                request.sent_at = self.now;
                self.requests.insert(id, request);
                let way = self.way();
                self.schedule(
                    way,
                    Event::AtServer {
                        request: id,
                        server,
                    },
                );
            }
        }
    }

    fn refuse(&mut self, request: &Request) {
        if request.tried.is_empty() {
            self.outcome.refused += 1;
        } else {
            self.outcome.refused_after_send += 1;
        }
        self.outcome.refusal_ms.push(self.now - request.arrived);
    }

    fn reach(&mut self, id: usize, server: usize) {
        self.outcome.arrivals += 1;
        if self.servers[server].running < self.pattern.slots {
            self.begin(id, server);
        } else if self.servers[server].waiting.len() < self.pattern.queue {
            self.servers[server].waiting.push_back(id);
        } else {
            self.outcome.rejected += 1;
            self.reply(id, server, false);
        }
    }

    fn begin(&mut self, request: usize, server: usize) {
        self.servers[server].running += 1;
        let factor = WORK_RANGE.start + self.random.f64() * (WORK_RANGE.end - WORK_RANGE.start);
        let took = self.speeds[server].time_of(self.pattern.work_ms * factor, self.now);
        self.schedule(took, Event::Done { request, server });
    }

    fn finish(&mut self, id: usize, server: usize) {
        self.servers[server].running -= 1;
        if let Some(next) = self.servers[server].waiting.pop_front() {
            self.begin(next, server);
        }
        self.reply(id, server, true);
    }

    fn reply(&mut self, request: usize, server: usize, ran: bool) {
        let load = self.servers[server].load(self.pattern.slots);
        let way = self.way();
        let event = Event::Answered {
            request,
            server,
            ran,
            running: load.running,
            waiting: load.waiting,
            work_percent: self.speeds[server].work_percent(self.now),
        };
        self.schedule(way, event);
    }

    fn answer(&mut self, id: usize, server: usize, answer: Answer) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        let slots = self.pattern.slots;
        self.nodes[request.node].record(self.rules, &request, server, slots, answer);
        if answer.ran {
            self.count(&request);
        } else if request.tried.len() >= self.pattern.servers.min(MAX_REFUSALS) {
            self.nodes[request.node].give_up(&request, self.now);
            self.refuse(&request);
        } else {
            self.requests.insert(id, request);
            self.send(id);
        }
    }

    fn count(&mut self, request: &Request) {
        let in_burst = self.pattern.burst_ms.contains(&request.arrived);
        let in_time = millis(self.now - request.arrived) <= request.objective;
        match (in_time, in_burst) {
            (true, true) => self.outcome.in_time += 1,
            (true, false) => self.outcome.calm_in_time += 1,
            (false, true) => self.outcome.late += 1,
            (false, false) => {}
        }
    }
}
