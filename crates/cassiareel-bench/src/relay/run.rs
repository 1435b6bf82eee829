//! Simulates a load pattern in time steps.

use std::{cell::RefCell, cmp::Ordering, time::Duration};

use cassiareel_relay::{
    kernel::{
        max_wait, AdmissionRequest, EndedStream, PromptDemand, Rivals, ServiceSpeeds,
        HOLD_POLL_INTERVAL, MAX_HOLD_PART,
    },
    model::{AccountId, Prompt, ServiceId},
    settings::Admission,
};

use super::{
    engine::{Engine, Signal, PREFILL_TOKENS_PER_MS},
    node::{LocalLoad, Reports},
    pattern::{Pattern, ACCOUNTS},
    policy::{policy, reported_load, NodeConfig, Policy, View},
    result::Outcome,
    stream::{Class, Stream, StreamState, ONLY_CLASS, PREMIUM, PROMPT_TOKENS, STANDARD},
};

/// Duration of a time step in milliseconds.
const STEP_MS: f64 = 5.0;

/// Number of data centres.
const DATA_CENTRES: usize = 3;

/// Probability that a crash of a data centre includes an engine there.
const CRASHED_PART: f64 = 0.9;

/// Time that a crashed engine is down, in milliseconds.
const DOWNTIME_MS: f64 = 1200.0;

/// Time for which the registry still lists the old process of a crashed engine, in milliseconds.
const REGISTRY_DELAY_MS: f64 = 3000.0;

/// Interval at which the engines that hold copies are checked, in milliseconds.
const COPY_CHECK_INTERVAL_MS: f64 = 150.0;

/// Runs a pattern; `seed` determines all random numbers.
pub fn run(pattern: &Pattern, config: NodeConfig, seed: u64) -> Outcome {
    let mut simulation = Simulation::new(pattern, config, seed);
    let end = pattern.duration_ms + pattern.deadline_ms;
    while simulation.now < end {
        simulation.step();
    }
    Outcome::new(&simulation.streams, simulation.reread_tokens)
}

/// Returns nodes without load.
fn new_nodes(pattern: &Pattern) -> Vec<LocalLoad> {
    (0..pattern.nodes)
        .map(|_| LocalLoad::new(pattern.engines))
        .collect()
}

/// Returns the admission request of a stream.
fn admission_request(stream: &Stream) -> AdmissionRequest {
    AdmissionRequest {
        account: AccountId::from(stream.account.to_string()),
        priority: stream.class.priority,
        weight: 1.0,
        cost: 1.0,
    }
}

/// The priorities and objectives of the streams where there are two.
const CLASSES: [(u8, Duration); 2] = [
    (
        PREMIUM.priority,
        Duration::from_millis(PREMIUM.objective_ms as u64),
    ),
    (
        STANDARD.priority,
        Duration::from_millis(STANDARD.objective_ms as u64),
    ),
];

fn millis(time: f64) -> Duration {
    Duration::from_secs_f64(time.max(0.0) / 1000.0)
}

/// The state of a run.
struct Simulation<'a> {
    pattern: &'a Pattern,
    config: NodeConfig,
    policy: Box<dyn Policy>,
    /// Draws the load, which is the same for all configurations.
    load_rng: fastrand::Rng,
    /// Draws the choices of nodes.
    policy_rng: fastrand::Rng,
    now: f64,
    engines: Vec<Engine>,
    /// The number of starts with which the registry lists each engine.
    registered_starts: Vec<u32>,
    reports: Vec<Reports>,
    nodes: Vec<LocalLoad>,
    streams: Vec<Stream>,
    speeds: ServiceSpeeds,
    service: ServiceId,
    reread_tokens: u64,
}

impl<'a> Simulation<'a> {
    fn new(pattern: &'a Pattern, config: NodeConfig, seed: u64) -> Simulation<'a> {
        let engine = |i| Engine {
            data_centre: i % DATA_CENTRES,
            memory: pattern.memory_tokens,
            ..Engine::default()
        };
        Simulation {
            pattern,
            config,
            policy: policy(config.policy),
            load_rng: fastrand::Rng::with_seed(seed),
            policy_rng: fastrand::Rng::with_seed(!seed),
            now: 0.0,
            engines: (0..pattern.engines).map(engine).collect(),
            registered_starts: vec![0; pattern.engines],
            reports: vec![Reports::default(); pattern.engines],
            nodes: new_nodes(pattern),
            streams: Vec::new(),
            speeds: ServiceSpeeds::default(),
            service: ServiceId::from("model"),
            reread_tokens: 0,
        }
    }

    fn step(&mut self) {
        self.crash();
        self.fail_nodes();
        self.add_arrival();
        self.send_pending();
        if self.config.check_copies && self.now % COPY_CHECK_INTERVAL_MS < STEP_MS {
            self.check_copies();
        }
        self.advance();
        self.now += STEP_MS;
    }

    /// Reports whether a time falls within this time step.
    fn is_due(&self, at: f64) -> bool {
        (self.now..self.now + STEP_MS).contains(&at)
    }

    fn crash(&mut self) {
        for crash in self.pattern.crashes.iter().copied() {
            if !self.is_due(crash.at_ms) {
                continue;
            }
            for engine in 0..self.pattern.engines {
                let hit = self.engines[engine].data_centre == crash.data_centre
                    && self.load_rng.f64() < CRASHED_PART;
                if !hit {
                    continue;
                }
                for stream in self.engines[engine].crash(self.now + DOWNTIME_MS) {
                    self.note_end(stream, engine);
                }
            }
        }
        for engine in 0..self.pattern.engines {
            let readmitted_at = self.engines[engine].up_at_ms - DOWNTIME_MS + REGISTRY_DELAY_MS;
            if readmitted_at > 0.0 && self.is_due(readmitted_at) {
                self.registered_starts[engine] = self.engines[engine].starts;
            }
        }
    }

    /// Ends all nodes at the time of the outage, and later reconnects their callers.
    fn fail_nodes(&mut self) {
        let Some(node_outage) = self.pattern.node_outage else {
            return;
        };
        if self.is_due(node_outage.at_ms) {
            for engine in &mut self.engines {
                for stream in engine.cancel_all() {
                    self.streams[stream].state = StreamState::Ended;
                    self.streams[stream].resumed = true;
                    self.streams[stream].unread_tokens = 0;
                    self.streams[stream].copy = None;
                }
            }
            self.nodes = new_nodes(self.pattern);
        }
        if self.is_due(node_outage.back_ms) {
            for stream in self.streams.iter_mut().filter(|s| s.resumed) {
                stream.state = StreamState::Pending;
            }
        }
    }

    fn add_arrival(&mut self) {
        let in_outage = |outage: super::pattern::NodeOutage| {
            (outage.at_ms..outage.back_ms.min(outage.at_ms + 1000.0)).contains(&self.now)
        };
        if self.now >= self.pattern.duration_ms || self.pattern.node_outage.is_some_and(in_outage) {
            return;
        }
        if self.load_rng.f64() >= self.pattern.rate_at(self.now) * STEP_MS / 1000.0 {
            return;
        }
        let first = self.load_rng.f64() < self.pattern.first_account_share(self.now);
        let account = if first {
            0
        } else {
            self.load_rng.usize(1..ACCOUNTS)
        };
        let class = self.draw_class();
        self.streams.push(Stream {
            account,
            class,
            reserved_part: None,
            next_send: 0.0,
            node: self.load_rng.usize(0..self.pattern.nodes),
            arrived_at: self.now,
            asked_at: self.now,
            deadline: self.now + self.pattern.deadline_ms,
            prompt_tokens: self.load_rng.u64(PROMPT_TOKENS),
            unread_tokens: 0,
            output_tokens: self.load_rng.f64() * 700.0 + 690.0,
            generated: 0.0,
            state: StreamState::Pending,
            copy: None,
            resumed: false,
            first_event: None,
            last_event: self.now,
            longest_pause: 0.0,
            refused: false,
        });
    }

    /// Draws the class of a new stream.
    fn draw_class(&mut self) -> Class {
        match self.pattern.premium_part {
            0.0 => ONLY_CLASS,
            part if self.load_rng.f64() < part => PREMIUM,
            _ => STANDARD,
        }
    }

    /// Sends all pending streams whose time has come.
    fn send_pending(&mut self) {
        for stream in 0..self.streams.len() {
            let entry = &self.streams[stream];
            if entry.state == StreamState::Pending && self.now >= entry.next_send {
                self.dispatch(stream);
            }
        }
    }

    /// Sends a stream to the engine with its copy, to the engine with its prompt, or to the one
    /// that the policy chooses.
    fn dispatch(&mut self, stream: usize) {
        if self.now >= self.streams[stream].deadline {
            self.streams[stream].state = StreamState::Ended;
            return;
        }
        if let Some((engine, starts)) = self.streams[stream].copy.take() {
            let is_same_process =
                self.engines[engine].starts == starts && self.engines[engine].up_at_ms <= self.now;
            if is_same_process && self.engines[engine].try_accept(stream, 0.0, 0) {
                self.engines[engine].cached_prompts.insert(stream);
                self.note_start(stream, engine, 0);
                return;
            }
        }
        if self.config.find_prompt && self.streams[stream].resumed {
            let holds = |engine: &usize| self.engines[*engine].cached_prompts.contains(&stream);
            let holder = (0..self.pattern.engines).find(holds);
            if let Some(engine) = holder.filter(|e| self.engines[*e].up_at_ms <= self.now) {
                if self.engines[engine].try_accept(stream, 0.0, 0) {
                    self.note_start(stream, engine, 0);
                    return;
                }
            }
        }
        if self.config.refuse_late && self.is_too_late(stream) {
            self.refuse(stream);
            return;
        }
        self.dispatch_prompt(stream);
    }

    fn is_too_late(&self, stream: usize) -> bool {
        let entry = &self.streams[stream];
        let prompt = Prompt {
            input: entry.prompt_tokens,
            max_output: entry.output_tokens as u64,
            ..Prompt::default()
        };
        let min_time =
            self.speeds
                .min_time(&self.service, &prompt, entry.prompt_tokens, entry.events());
        min_time.as_secs_f64() * 1000.0 > entry.deadline - self.now
    }

    /// Admits a stream by its account's share. Returns `false` if it is refused.
    fn admit(&mut self, stream: usize) -> bool {
        let entry = &mut self.streams[stream];
        let started = entry.resumed || entry.generated > 0.0 || entry.reserved_part.is_some();
        if !self.config.admit || started {
            return true;
        }
        let now = millis(self.now);
        let admitted = self.nodes[entry.node].load.admit(
            &admission_request(entry),
            now,
            self.policy_rng.f64(),
        );
        entry.reserved_part = admitted.ok();
        entry.reserved_part.is_some()
    }

    /// Returns the demand of a stream that has not started; `None` for others.
    fn demand(&mut self, stream: usize) -> Option<PromptDemand> {
        let entry = &self.streams[stream];
        if !self.config.admit || entry.resumed || entry.generated > 0.0 {
            return None;
        }
        let demand = PromptDemand {
            input: entry.prompt_tokens,
            peak_tokens: entry.prompt_tokens + entry.output_tokens as u64,
            reserved_part: entry.reserved_part.unwrap_or(0.0),
            prefill_time: millis(entry.prompt_tokens as f64 / PREFILL_TOKENS_PER_MS),
            max_wait: self.max_wait(entry),
            priority: entry.class.priority,
            ..PromptDemand::default()
        };
        Some(self.apply_precedence(demand, stream))
    }

    /// Changes what a stream needs by the priorities that compete for engines.
    fn apply_precedence(&mut self, demand: PromptDemand, stream: usize) -> PromptDemand {
        if self.pattern.premium_part == 0.0 || !self.config.order_priorities {
            return demand;
        }
        let entry = &self.streams[stream];
        let (priority, objective) = (entry.class.priority, millis(entry.class.objective_ms));
        let rivals = Rivals::new(&CLASSES, priority, objective);
        let read = millis(entry.prompt_tokens as f64 / PREFILL_TOKENS_PER_MS);
        let age = millis(self.now - entry.asked_at);
        let left = objective.saturating_sub(age).saturating_sub(read);
        let part = Admission::default().wait_part;
        let priorities = &mut self.nodes[entry.node].load.priorities;
        let precedence = priorities.precedence(rivals, priority, millis(self.now));
        precedence.apply(demand, left, part)
    }

    /// Returns the longest time that a stream may wait for earlier ones.
    fn max_wait(&self, stream: &Stream) -> Duration {
        let part = Admission::default().wait_part;
        if self.pattern.premium_part == 0.0 {
            return millis(stream.class.objective_ms * part);
        }
        let read = millis(stream.prompt_tokens as f64 / PREFILL_TOKENS_PER_MS);
        let objective = millis(stream.class.objective_ms);
        let age = millis(self.now - stream.asked_at);
        max_wait(objective, age, read, part)
    }

    /// Refuses a stream. Where there are two priorities, its caller comes back to another node at
    /// the time that the refusal names, as long as its objective has not passed.
    fn refuse(&mut self, stream: usize) {
        if self.pattern.premium_part > 0.0 && self.come_back(stream) {
            return;
        }
        self.streams[stream].state = StreamState::Ended;
        self.streams[stream].refused = true;
    }

    /// Sends a refused stream to another node later. Returns `false` if no time is left to it.
    fn come_back(&mut self, stream: usize) -> bool {
        let Stream { node, class, .. } = self.streams[stream];
        let load = &mut self.nodes[node].load;
        let objective = millis(class.objective_ms);
        let delay = load.retry_after(objective, millis(self.now), self.policy_rng.f64());
        let asked_at = self.now + delay.as_secs_f64() * 1000.0;
        if asked_at >= self.streams[stream].arrived_at + class.objective_ms {
            return false;
        }
        let entry = &mut self.streams[stream];
        entry.node = self.policy_rng.usize(0..self.pattern.nodes);
        entry.asked_at = asked_at;
        entry.next_send = asked_at;
        entry.reserved_part = None;
        true
    }

    /// Sends a stream to the engine that the policy chooses. Engines that turn out to be gone or
    /// full are excluded.
    fn dispatch_prompt(&mut self, stream: usize) {
        let Stream {
            node,
            prompt_tokens: input,
            class: Class { priority, .. },
            ..
        } = self.streams[stream];
        if !self.admit(stream) {
            self.refuse(stream);
            return;
        }
        let demand = self.demand(stream);
        let mut preference_rng = fastrand::Rng::with_seed(stream as u64);
        let preference_ranks: Vec<f64> = (0..self.pattern.engines)
            .map(|_| preference_rng.f64())
            .collect();
        let mut excluded = vec![false; self.pattern.engines];
        loop {
            let view = View {
                local: &self.nodes[node],
                reports: &self.reports,
                preference_ranks: &preference_ranks,
                excluded: &excluded,
                input,
                demand,
                capacity: self.pattern.memory_tokens.unwrap_or(0.0) as u64,
                seen: RefCell::default(),
            };
            let picked = self.policy.pick(&view, &mut self.policy_rng);
            let seen = view.seen.take();
            let Some(engine) = picked else {
                self.record_priorities(node, &seen);
                let entry = &self.streams[stream];
                if demand.is_some()
                    && self.now - entry.asked_at > entry.class.objective_ms * MAX_HOLD_PART
                {
                    let (now, admission_request) = (millis(self.now), admission_request(entry));
                    self.nodes[node]
                        .load
                        .record_unserved(&admission_request, now);
                    self.refuse(stream);
                    return;
                }
                self.hold(stream);
                return;
            };
            if let Some(demand) = &demand {
                let reported = reported_load(&view, engine);
                let tokens_to_reserve = reported.tokens_to_reserve(demand) as f64;
                let is_full =
                    reported.is_tight(demand) && !self.engines[engine].has_room(tokens_to_reserve);
                if is_full {
                    excluded[engine] = true;
                    continue;
                }
            }
            self.record_priorities(node, &seen);
            if demand.is_some() && self.pass_place(stream, engine) {
                self.hold(stream);
                return;
            }
            let is_registered = self.registered_starts[engine] == self.engines[engine].starts;
            let is_cached = self.engines[engine].cached_prompts.contains(&stream);
            let unread = if is_cached { 0 } else { input };
            if is_registered && self.engines[engine].try_accept(stream, unread as f64, priority) {
                let is_retry = self.streams[stream].generated > 0.0;
                self.reread_tokens += if is_retry { unread } else { 0 };
                self.note_start(stream, engine, unread);
                return;
            }
            excluded[engine] = true;
        }
    }

    /// Holds a stream until its next attempt.
    fn hold(&mut self, stream: usize) {
        self.streams[stream].next_send = self.now + HOLD_POLL_INTERVAL.as_secs_f64() * 1000.0;
    }

    /// Passes an engine with room to the held stream of the node that goes first: of a higher
    /// priority, or with less time left. Returns `false` if no stream goes before this one.
    fn pass_place(&mut self, stream: usize, engine: usize) -> bool {
        if self.pattern.premium_part == 0.0 || !self.config.order_priorities {
            return false;
        }
        let rank = |s: &Stream| (s.class.priority, s.asked_at + s.class.objective_ms);
        let (node, own) = (self.streams[stream].node, &self.streams[stream]);
        let needed = |s: &Stream| s.prompt_tokens as f64 + s.output_tokens;
        let goes_before = |other: &usize| {
            let held = &self.streams[*other];
            let is_held = held.state == StreamState::Pending && held.reserved_part.is_some();
            is_held && held.node == node && rank(held) < rank(own) && needed(held) <= needed(own)
        };
        let held = (0..self.streams.len()).filter(goes_before);
        let first = held.min_by(|a, b| {
            let ranks = (rank(&self.streams[*a]), rank(&self.streams[*b]));
            ranks.0.partial_cmp(&ranks.1).unwrap_or(Ordering::Equal)
        });
        let Some(first) = first else {
            return false;
        };
        let Stream {
            prompt_tokens,
            class,
            ..
        } = self.streams[first];
        if !self.engines[engine].try_accept(first, prompt_tokens as f64, class.priority) {
            return false;
        }
        self.note_start(first, engine, prompt_tokens);
        true
    }

    /// Records the priorities of runs that a node has seen in reports.
    fn record_priorities(&mut self, node: usize, seen: &[u8]) {
        let now = millis(self.now);
        let priorities = &mut self.nodes[node].load.priorities;
        seen.iter()
            .for_each(|priority| priorities.record(*priority, now));
    }

    /// Records that an engine accepted a stream, and chooses the engine for the copy of its memory.
    fn note_start(&mut self, stream: usize, engine: usize, unread: u64) {
        let local = &mut self.nodes[self.streams[stream].node];
        local.open_streams[engine] += 1;
        local.unread_tokens[engine] += unread;
        self.streams[stream].unread_tokens = unread;
        self.streams[stream].state = StreamState::OnEngine(engine);
        self.streams[stream].copy = self.new_copy(engine);
    }

    /// Chooses an engine in another data centre for a copy, with the number of starts that the
    /// registry lists.
    fn new_copy(&mut self, engine: usize) -> Option<(usize, u32)> {
        if !self.config.copies {
            return None;
        }
        let data_centre = self.engines[engine].data_centre;
        let candidates: Vec<usize> = (0..self.pattern.engines)
            .filter(|other| self.engines[*other].data_centre != data_centre)
            .collect();
        let holder = self.policy_rng.choice(candidates)?;
        Some((holder, self.registered_starts[holder]))
    }

    /// Replaces copies that are missing or whose engine has crashed.
    fn check_copies(&mut self) {
        for stream in 0..self.streams.len() {
            let StreamState::OnEngine(engine) = self.streams[stream].state else {
                continue;
            };
            let lost = |(holder, starts): (usize, u32)| self.engines[holder].starts != starts;
            if self.streams[stream].copy.is_none_or(lost) {
                self.streams[stream].copy = self.new_copy(engine);
            }
        }
    }

    /// Records that a stream is no longer on an engine.
    fn note_end(&mut self, stream: usize, engine: usize) {
        let entry = &mut self.streams[stream];
        let local = &mut self.nodes[entry.node];
        local.open_streams[engine] -= 1;
        local.unread_tokens[engine] -= std::mem::take(&mut entry.unread_tokens);
        // Engines copy no memory before the first event.
        entry.copy = entry.copy.filter(|_| entry.generated > 0.0);
        entry.state = StreamState::Pending;
    }

    fn advance(&mut self) {
        for engine in 0..self.pattern.engines {
            self.reports[engine].record(&self.engines[engine], &self.streams);
            for signal in self.engines[engine].advance(STEP_MS) {
                match signal {
                    Signal::PromptRead(stream) => {
                        let entry = &mut self.streams[stream];
                        let tokens = entry.prompt_tokens as f64 + entry.generated;
                        self.engines[engine]
                            .generating_tokens
                            .insert(stream, tokens);
                        let local = &mut self.nodes[entry.node];
                        local.unread_tokens[engine] -= std::mem::take(&mut entry.unread_tokens);
                    }
                    Signal::Generated(stream, tokens) => self.deliver(stream, engine, tokens),
                    Signal::Evicted(tokens) => self.reread_tokens += tokens as u64,
                }
            }
        }
    }

    /// Delivers tokens to a caller, and ends the stream if it is complete or past its deadline.
    fn deliver(&mut self, stream: usize, engine: usize, tokens: f64) {
        let complete = self.streams[stream].add_tokens(tokens, self.now);
        if complete || self.now >= self.streams[stream].deadline {
            self.engines[engine].cancel(stream);
            self.note_end(stream, engine);
            self.streams[stream].state = StreamState::Ended;
        }
        if complete {
            self.record_speeds(stream);
        }
    }

    /// Records the speeds of a completed stream.
    fn record_speeds(&mut self, stream: usize) {
        let entry = &self.streams[stream];
        let first = entry.first_event.unwrap_or(entry.last_event);
        let ended = EndedStream {
            prefilled_tokens: if entry.resumed {
                0
            } else {
                entry.prompt_tokens
            },
            prefill_time: millis(first - entry.arrived_at),
            max_output: entry.output_tokens as u64,
            last_event: entry.events(),
            run_events: if entry.resumed { 0 } else { entry.events() },
            decode_time: millis(entry.last_event - first),
        };
        self.speeds.record(&self.service, ended);
    }
}
