//! A plain queueing model of engines, in virtual time, under the decisions of the autoscaler.
//!
//! An engine prefills one prompt at a time, while the generations of the others pause. Requests go to the
//! best of a few engines and are refused where the wait is too long, as the front does it.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{
    Autoscaler, DataCentreInput, EngineFacts, FleetDemand, OrderOutcome, ServerOrders, ServiceInput,
};
use crate::model::{DataCentre, DemandSample, ScaleBounds};

pub const BOOT: f64 = 8.0;
const BOUNDS: (u32, u32) = (14, 32);
const DATA_CENTRES: usize = 3;
const NODES: usize = 6;
const PLACES: usize = 9;
const PREFILL: f64 = 1.0;
/// Without pauses; with them, a run takes 5 to 8 s on the full number.
const GENERATION: std::ops::Range<f64> = 2.7..4.8;
const OBJECTIVE: f64 = 4.5;
const MAX_WAIT: f64 = 1.57;
const MAX_HOLD: f64 = 0.5;
const STEP: f64 = 0.1;
/// The time in which the holder watches and removes what is idle; it does not count as calm load.
const WARM_UP: f64 = 40.0;
const RETURN_TIME: f64 = 1.5;

/// What happens in a play.
#[derive(Clone, Copy)]
pub struct Play {
    pub seconds: f64,
    /// Requests a second at a time.
    pub load: fn(f64) -> f64,
    /// When 90% of a data centre's servers crash.
    pub crash: Option<f64>,
    pub rollout: Option<(f64, f64)>,
    /// When the duty moves to a holder that knows nothing.
    pub holder_change: Option<f64>,
    /// Whether orders are carried out 2 to 12 s late, some twice, without an answer.
    pub late_orders: bool,
    /// When half of the nodes stop sending samples.
    pub silent_from: Option<f64>,
    /// Whether the number of servers follows the decisions; else it is the largest.
    pub scaled: bool,
}

impl Default for Play {
    fn default() -> Play {
        Play {
            seconds: 150.0,
            load: |_| 31.0,
            crash: None,
            rollout: None,
            holder_change: None,
            late_orders: false,
            silent_from: None,
            scaled: true,
        }
    }
}

/// What came of a play.
#[derive(Debug, Default)]
pub struct Outcome {
    pub arrived: u32,
    pub in_time: u32,
    pub server_seconds: f64,
    /// The changes of the wanted number: time, data centre, before, after.
    pub changes: Vec<(f64, usize, u32, u32)>,
}

impl Outcome {
    pub fn share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.arrived.max(1))
    }

    /// Returns the largest number of changes of direction of a data centre within one boot.
    pub fn reversals(&self) -> usize {
        let turns = |dc: usize| {
            let own: Vec<_> = self.changes.iter().filter(|c| c.1 == dc).collect();
            let turns = own
                .windows(2)
                .filter(|pair| (pair[0].3 > pair[0].2) != (pair[1].3 > pair[1].2));
            let times: Vec<f64> = turns.map(|pair| pair[1].0).collect();
            let within = |from: &f64| {
                times
                    .iter()
                    .filter(|t| **t >= *from && **t - from < BOOT)
                    .count()
            };
            times.iter().map(within).max().unwrap_or_default()
        };
        (0..DATA_CENTRES).map(turns).max().unwrap_or_default()
    }

    pub fn removals_within(&self, from: f64, to: f64) -> usize {
        let is_removal = |c: &&(f64, usize, u32, u32)| c.3 < c.2 && c.0 >= from && c.0 < to;
        self.changes.iter().filter(is_removal).count()
    }
}

#[derive(Clone, Copy)]
struct Run {
    node: usize,
    arrived: f64,
    has_begun: bool,
    began: f64,
    prefill_left: f64,
    left: f64,
}

struct Server {
    dc: usize,
    ready_at: f64,
    draining: bool,
    runs: Vec<Run>,
}

impl Server {
    fn is_open(&self, t: f64) -> bool {
        self.ready_at <= t && !self.draining
    }

    /// Returns the time of the prefills that wait.
    fn wait(&self) -> f64 {
        self.runs.iter().map(|run| run.prefill_left).sum()
    }

    /// Works for one step; returns the run whose first event comes.
    fn work(&mut self) -> Option<&mut Run> {
        let Some(next) = self.runs.iter().position(|run| run.prefill_left > 0.0) else {
            self.runs.iter_mut().for_each(|run| run.left -= STEP);
            return None;
        };
        let run = &mut self.runs[next];
        run.prefill_left -= STEP;
        if run.prefill_left > STEP / 2.0 {
            return None;
        }
        run.prefill_left = 0.0;
        Some(run).filter(|run| !run.has_begun)
    }
}

struct Holder {
    since: f64,
    scaler: Autoscaler,
    orders: Vec<ServerOrders>,
    fleet: FleetDemand,
    wanted: [Option<u32>; DATA_CENTRES],
}

struct World {
    play: Play,
    random: fastrand::Rng,
    servers: Vec<Server>,
    desired: [u32; DATA_CENTRES],
    pending: Vec<(f64, usize, u32)>,
    held: Vec<Run>,
    refused: [u64; NODES],
    lost: [u32; DATA_CENTRES],
    run_times: Vec<f64>,
    holder: Holder,
    out: Outcome,
}

fn name(dc: usize) -> DataCentre {
    DataCentre::from(["a", "b", "c"][dc])
}

fn moment(t: f64) -> Duration {
    Duration::from_secs_f64(1000.0 + t)
}

impl Holder {
    fn new(since: f64) -> Holder {
        Holder {
            since,
            scaler: Autoscaler::default(),
            orders: (0..DATA_CENTRES).map(|_| ServerOrders::default()).collect(),
            fleet: FleetDemand::default(),
            wanted: [None; DATA_CENTRES],
        }
    }
}

impl Play {
    pub fn run(&self, seed: u64) -> Outcome {
        let mut world = World::new(*self, seed);
        let steps = (self.seconds / STEP) as u32;
        for step in 0..steps {
            world.step(step);
        }
        world.out
    }

    /// Reports whether a request that arrives at a time counts: its objective ends within the play.
    fn scores(&self, arrived: f64) -> bool {
        arrived + OBJECTIVE < self.seconds
    }

    /// Returns the outcomes with the scaled and with the full number.
    pub fn compare(&self, seed: u64) -> (Outcome, Outcome) {
        let full = Play {
            scaled: false,
            ..*self
        };
        (self.run(seed), full.run(seed))
    }
}

impl World {
    fn new(play: Play, seed: u64) -> World {
        let mut world = World {
            play,
            random: fastrand::Rng::with_seed(seed),
            servers: Vec::new(),
            desired: [BOUNDS.1; DATA_CENTRES],
            pending: Vec::new(),
            held: Vec::new(),
            refused: [0; NODES],
            lost: [0; DATA_CENTRES],
            run_times: Vec::new(),
            holder: Holder::new(0.0),
            out: Outcome::default(),
        };
        for dc in 0..DATA_CENTRES {
            (0..BOUNDS.1).for_each(|_| world.add_server(dc, 0.0));
        }
        world
    }

    fn add_server(&mut self, dc: usize, ready_at: f64) {
        self.servers.push(Server {
            dc,
            ready_at,
            draining: false,
            runs: Vec::new(),
        });
    }

    fn step(&mut self, step: u32) {
        let t = f64::from(step) * STEP;
        self.end_runs(t);
        self.carry_out(t);
        if self
            .play
            .crash
            .is_some_and(|at| (at - t).abs() < STEP / 2.0)
        {
            self.crash(1, t);
        }
        if self
            .play
            .holder_change
            .is_some_and(|at| (at - t).abs() < STEP / 2.0)
        {
            self.holder = Holder::new(t);
        }
        self.retry_held(t);
        self.arrive(t);
        if t >= WARM_UP {
            self.out.server_seconds += self.servers.len() as f64 * STEP;
        }
        if step % 10 == 5 {
            self.send_samples(t);
        }
        if step % 10 == 0 && self.play.scaled {
            self.decide(t);
        }
    }

    fn end_runs(&mut self, t: f64) {
        for server in &mut self.servers {
            if let Some(run) = server.work() {
                run.has_begun = true;
                let is_scored = self.play.scores(run.arrived);
                let is_in_time = is_scored && t - run.arrived <= OBJECTIVE;
                self.out.in_time += u32::from(is_in_time);
            }
            let times = &mut self.run_times;
            server.runs.retain(|run| {
                if run.left <= 0.0 && run.node == 0 {
                    times.push(t - run.began);
                }
                run.left > 0.0
            });
        }
        self.servers.retain(|s| !s.draining || !s.runs.is_empty());
    }

    /// Carries out the orders that are due, and adds or drains servers.
    fn carry_out(&mut self, t: f64) {
        let (due, later) = self
            .pending
            .iter()
            .partition::<Vec<_>, _>(|order| order.0 <= t);
        self.pending = later;
        for (_, dc, count) in due {
            self.desired[dc] = count;
            let staying = |s: &Server| s.dc == dc && !s.draining;
            let have = self.servers.iter().filter(|s| staying(s)).count() as u32;
            (have..count).for_each(|_| self.add_server(dc, t + BOOT));
            let excess = have.saturating_sub(count) as usize;
            // Servers that are still starting are withdrawn first.
            let newest = self.servers.iter_mut().rev();
            let drained = newest.filter(|s| staying(s)).take(excess);
            drained.for_each(|server| server.draining = true);
        }
    }

    fn crash(&mut self, dc: usize, t: f64) {
        let mut count = self
            .servers
            .iter()
            .filter(|s| s.dc == dc && !s.draining)
            .count()
            * 9
            / 10;
        let mut lost = Vec::new();
        self.servers.retain(|server| {
            let hit = server.dc == dc && !server.draining && count > 0;
            if hit {
                count -= 1;
                lost.extend(server.runs.iter().copied());
                self.lost[dc] += 1;
            }
            !hit
        });
        (0..self.lost[dc]).for_each(|_| self.add_server(dc, t + RETURN_TIME));
        for run in lost {
            // A resumed stream is not refused.
            let wait = |i: &usize| (self.servers[*i].wait() * 1000.0) as u64;
            let open = (0..self.servers.len()).filter(|i| self.servers[*i].is_open(t));
            let server = open.min_by_key(wait).expect("servers are left");
            self.begin(server, run, t);
        }
    }

    fn arrive(&mut self, t: f64) {
        let mut mean = (self.play.load)(t) * STEP;
        // The number of arrivals of a Poisson process, by exponential gaps.
        loop {
            mean += self.random.f64().max(1e-12).ln();
            if mean < 0.0 {
                break;
            }
            self.out.arrived += u32::from(self.play.scores(t));
            let node = self.random.usize(0..NODES);
            self.place(
                Run {
                    node,
                    arrived: t,
                    has_begun: false,
                    began: t,
                    prefill_left: 0.0,
                    left: 0.0,
                },
                t,
            );
        }
    }

    fn retry_held(&mut self, t: f64) {
        let held = std::mem::take(&mut self.held);
        held.into_iter().for_each(|run| self.place(run, t));
    }

    fn place(&mut self, run: Run, t: f64) {
        match self.best_of(8, t) {
            Some(best) if self.servers[best].wait() <= MAX_WAIT => self.begin(best, run, t),
            _ if t - run.arrived < MAX_HOLD => self.held.push(run),
            _ => self.refused[run.node] += 1,
        }
    }

    fn best_of(&mut self, count: usize, t: f64) -> Option<usize> {
        let has_place = |s: &Server| s.is_open(t) && s.runs.len() < PLACES;
        let open = (0..self.servers.len()).filter(|i| has_place(&self.servers[*i]));
        let open: Vec<usize> = open.collect();
        let drawn = (0..count).filter_map(|_| self.random.choice(open.iter().copied()));
        let drawn: Vec<usize> = drawn.collect();
        drawn
            .into_iter()
            .min_by(|a, b| self.servers[*a].wait().total_cmp(&self.servers[*b].wait()))
    }

    fn begin(&mut self, server: usize, mut run: Run, t: f64) {
        run.left = GENERATION.start + self.random.f64() * (GENERATION.end - GENERATION.start);
        run.prefill_left = PREFILL;
        run.began = t;
        self.servers[server].runs.push(run);
    }

    /// Sends the samples of the nodes to the holder.
    fn send_samples(&mut self, t: f64) {
        let silent = self.play.silent_from.is_some_and(|from| t >= from);
        let nodes = if silent { NODES / 2 } else { NODES };
        for node in 0..nodes {
            let sample = |dc: usize| {
                let at_dc = self
                    .servers
                    .iter()
                    .filter(|s| s.dc == dc)
                    .flat_map(|s| &s.runs);
                let is_own = node % DATA_CENTRES == dc;
                let waiting = self
                    .held
                    .iter()
                    .filter(|run| is_own && run.node == node)
                    .count();
                DemandSample {
                    service: Arc::from("model"),
                    data_centre: name(dc),
                    running: at_dc.filter(|run| run.node == node).count() as u32,
                    waiting: waiting as u32,
                    refused: if is_own { self.refused[node] } else { 0 },
                }
            };
            let samples = (0..DATA_CENTRES).map(sample).collect();
            self.holder
                .fleet
                .record(&node.to_string(), 1, samples, moment(t));
        }
    }

    fn input(&mut self, t: f64) -> ServiceInput {
        let totals = self.holder.fleet.take_totals(moment(t));
        let mut data_centres = BTreeMap::new();
        for dc in 0..DATA_CENTRES {
            let total = totals
                .get(&(Arc::from("model"), name(dc)))
                .copied()
                .unwrap_or_default();
            let listed = self
                .servers
                .iter()
                .filter(|s| s.dc == dc && s.ready_at <= t && !s.draining);
            let listed = listed.count() as u32;
            let part = DataCentreInput {
                listed,
                ready: listed,
                slots: u64::from(listed) * 16,
                running: total.running,
                waiting: total.waiting,
                refused: total.refused,
                lost: std::mem::take(&mut self.lost[dc]),
                is_unanswered: self.holder.orders[dc].is_open(),
            };
            data_centres.insert(name(dc), part);
        }
        let mut times = self
            .run_times
            .split_off(self.run_times.len().saturating_sub(64));
        self.run_times = times.clone();
        times.sort_by(f64::total_cmp);
        let run = times
            .get(times.len() / 2)
            .map(|time| Duration::from_secs_f64(*time));
        ServiceInput {
            now: moment(t),
            bounds: ScaleBounds {
                min: BOUNDS.0,
                max: BOUNDS.1,
                boot: Duration::from_secs_f64(BOOT),
            },
            engine: Some(EngineFacts {
                prefill: run.map(|_| Duration::from_secs_f64(PREFILL)),
                run,
                capacity: 88_000,
                tokens: 9_000,
            }),
            data_centres,
            coverage: self.holder.fleet.coverage(NODES as u32, moment(t)),
            is_rolling_out: self
                .play
                .rollout
                .is_some_and(|(from, to)| t >= from && t < to),
        }
    }

    fn decide(&mut self, t: f64) {
        let input = self.input(t);
        let size = self
            .holder
            .scaler
            .decide(&input)
            .expect("the bounds are valid");
        for dc in 0..DATA_CENTRES {
            let Some(wanted) = size.wanted.get(&name(dc)) else {
                continue;
            };
            assert!((BOUNDS.0..=BOUNDS.1).contains(&wanted.count), "{wanted:?}");
            let before = self.holder.wanted[dc]
                .replace(wanted.count)
                .unwrap_or(wanted.baseline);
            if before != wanted.count {
                self.out.changes.push((t, dc, before, wanted.count));
            }
            let listed = input.data_centres[&name(dc)].listed;
            let orders = &mut self.holder.orders[dc];
            let boot = input.bounds.boot;
            if orders.is_due(wanted.count, wanted.baseline, listed, boot, input.now) {
                self.send(dc, wanted.count, t);
            }
        }
        assert!(self.holder.since <= t);
    }

    fn send(&mut self, dc: usize, count: u32, t: f64) {
        let is_late = self.play.late_orders && self.random.bool();
        let outcome = if is_late {
            OrderOutcome::Unanswered
        } else {
            OrderOutcome::Answered
        };
        let delay = if is_late {
            2.0 + self.random.f64() * 10.0
        } else {
            0.1
        };
        self.pending.push((t + delay, dc, count));
        if is_late && self.random.bool() {
            let again = 2.0 + self.random.f64() * 10.0;
            self.pending.push((t + again, dc, count));
        }
        self.holder.orders[dc].record(count, outcome, moment(t));
    }
}
