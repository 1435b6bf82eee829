/*!
Simulates moves between versions in virtual time: six nodes, random traffic, good and bad versions.

The nodes run the kernel's own view, ramps, counts and judge. Time, traffic, the outcomes of
requests and the delay between nodes are simulated from a seed, so that runs are reproducible.
*/

use std::{
    collections::{BTreeMap, BinaryHeap},
    fmt,
    time::Duration,
};

use cassiareel::kernel::{
    moves::{
        build_judge, Caller, Cell, Comparison, Counts, JudgeConfig, Key, Outcome, Plan, Record,
        Scope, State, Status, Tally, Verdict, VersionQuery, View,
    },
    ServiceId,
};
use fastrand::Rng;

/// The fault of the new version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// No fault; both versions have the same noise.
    Good,
    /// Every request fails from the start.
    AtOnce,
    /// One request in eight fails from the start.
    OneInEight,
    /// Half of the requests fail once two thirds of the move's duration have passed.
    Late,
    /// Half of the requests fail once the new version's share of traffic is above 30%.
    UnderLoad,
    /// Every request of the route with the least traffic fails.
    OneRoute,
    /// 80% of the answers are slow.
    Slow,
    /// Every request of one account of medium traffic fails.
    OneAccount,
    /// Half of the requests end early.
    EndsEarly,
}

impl Fault {
    /// All faults.
    pub const ALL: [Fault; 9] = [
        Fault::Good,
        Fault::AtOnce,
        Fault::OneInEight,
        Fault::Late,
        Fault::UnderLoad,
        Fault::OneRoute,
        Fault::Slow,
        Fault::OneAccount,
        Fault::EndsEarly,
    ];
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}

/// The parameters of the traffic and of the move.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Requests per second of the whole fleet.
    pub rate: f64,
    /// Time in which the move is to be complete.
    pub duration: Duration,
}

impl Default for Setup {
    /// Returns 30 requests per second and ten minutes.
    fn default() -> Setup {
        Setup {
            rate: 30.0,
            duration: Duration::from_secs(600),
        }
    }
}

/// The result of a simulated move.
#[derive(Clone, Debug, Default)]
pub struct MoveResult {
    /// Time from the start until the last node knew the verdict; `None` without a verdict.
    pub verdict_at: Option<Duration>,
    /// Time from the start until the first request met the fault; `None` if none did.
    pub onset_at: Option<Duration>,
    /// Requests sent to the new version from the first one that met the fault to the verdict, or to
    /// the end of the move.
    pub exposed_requests: u32,
    /// The new version's share of a route's requests from the start to the verdict, for the route
    /// with the highest share; from 0 to 1.
    pub max_share: f64,
    /// Whether all traffic used the new version in time.
    pub completed: bool,
    /// The evidence of the verdict, formatted with `Debug`.
    pub evidence: String,
}

const NODES: usize = 6;
const TIME_STEP: Duration = Duration::from_millis(100);
/// Interval at which the judge compares the versions.
const JUDGE_INTERVAL: Duration = Duration::from_millis(500);
/// Time that a verdict takes to reach the other nodes.
const PROPAGATION_DELAY: Duration = Duration::from_millis(500);
const SERVERS: u16 = 12;
const ROUTES: [(&str, f64); 3] = [
    ("/v1/chat/completions", 0.70),
    ("/v1/completions", 0.25),
    ("/v1/notes", 0.05),
];
const ACCOUNTS: usize = 10;
/// The index of the account that [`Fault::OneAccount`] affects.
const FAULTY_ACCOUNT: usize = 3;

/// The scheduled end of a request.
#[derive(Eq, Ord, PartialEq, PartialOrd)]
struct ScheduledEnd {
    // Reversed, so that the heap's greatest element is the earliest.
    at: std::cmp::Reverse<Duration>,
    node: usize,
    key: Key,
    outcome: u8,
}

/// The state of a simulated fleet.
struct Simulation {
    rng: Rng,
    fault: Fault,
    setup: Setup,
    cells: Vec<(Cell, f64, usize)>,
    views: Vec<View>,
    node_counts: Vec<BTreeMap<Key, Tally>>,
    merged: Counts,
    scheduled_ends: BinaryHeap<ScheduledEnd>,
    route_requests: BTreeMap<String, (u32, u32)>,
    run: MoveResult,
    burst_until: Duration,
    server_crash: Option<(u16, Duration)>,
}

/// Simulates one move.
pub fn simulate(fault: Fault, setup: Setup, seed: u64) -> MoveResult {
    let mut simulation = Simulation::new(fault, setup, seed);
    let config = JudgeConfig {
        duration: setup.duration,
        interval: JUDGE_INTERVAL,
        cells: simulation.cells.len(),
    };
    let mut judge = build_judge("sequential", config).expect("the judge is registered");
    let mut decided_at: Option<Duration> = None;
    let mut now = Duration::ZERO;
    while now < setup.duration {
        now += TIME_STEP;
        simulation.step(now);
        if let Some(at) = decided_at {
            if now >= at + PROPAGATION_DELAY {
                simulation.run.verdict_at = Some(now);
                break;
            }
            continue;
        }
        if now.as_millis() % JUDGE_INTERVAL.as_millis() == 0 {
            simulation.merge_counts();
            let comparisons = simulation.comparisons();
            if let Some(evidence) = judge.judge(now, &comparisons) {
                simulation.run.evidence = format!("{evidence:?}");
                decided_at = Some(now);
                // The first node applies the verdict at once, the others after a delay.
                simulation.record_verdict(evidence);
            }
            simulation.advance_ramps(now, &comparisons, |cell| judge.suspicion(cell));
        }
    }
    simulation.into_result(now)
}

impl Simulation {
    fn new(fault: Fault, setup: Setup, seed: u64) -> Simulation {
        let mut rng = Rng::with_seed(seed);
        let weights: Vec<f64> = (1..=ACCOUNTS).map(|i| 1.0 / i as f64).collect();
        let total: f64 = weights.iter().sum();
        let cells = (0..ACCOUNTS)
            .flat_map(|i| {
                let weight = weights[i] / total;
                ROUTES.iter().map(move |(route, part)| {
                    let cell = Cell {
                        account: format!("account-{i}").into(),
                        route: (*route).into(),
                    };
                    (cell, weight * part, 1 + i * 4)
                })
            })
            .collect();
        let mut views = vec![View::new(); NODES];
        for view in &mut views {
            view.merge_record(Duration::ZERO, &service(), record(setup), Duration::ZERO);
        }
        let server_crash = (rng.f64() < 0.5).then(|| {
            let at = setup.duration.mul_f64(rng.f64());
            (rng.u16(0..SERVERS), at)
        });
        Simulation {
            rng,
            fault,
            setup,
            cells,
            views,
            node_counts: vec![BTreeMap::new(); NODES],
            merged: Counts::default(),
            scheduled_ends: BinaryHeap::new(),
            route_requests: BTreeMap::new(),
            run: MoveResult::default(),
            burst_until: Duration::ZERO,
            server_crash,
        }
    }

    /// Advances by one time step: draws bursts of faults, starts requests and ends those due.
    fn step(&mut self, now: Duration) {
        for view in &mut self.views {
            view.freshness.record_store_answer(now);
        }
        // A burst of faults on both versions, about once a minute.
        if self.rng.f64() < TIME_STEP.as_secs_f64() / 60.0 {
            self.burst_until = now + Duration::from_secs(3);
        }
        let mean_arrivals = self.setup.rate * TIME_STEP.as_secs_f64();
        for _ in 0..poisson(&mut self.rng, mean_arrivals) {
            self.start_request(now);
        }
        while self.scheduled_ends.peek().is_some_and(|e| e.at.0 <= now) {
            let Some(end) = self.scheduled_ends.pop() else {
                break;
            };
            let tally = self.node_counts[end.node].entry(end.key).or_default();
            tally.end(outcome_from_code(end.outcome));
        }
    }

    fn start_request(&mut self, now: Duration) {
        let mut point = self.rng.f64();
        let cell_index = self
            .cells
            .iter()
            .position(|(_, weight, _)| {
                point -= weight;
                point < 0.0
            })
            .unwrap_or(0);
        let (cell, _, callers) = self.cells[cell_index].clone();
        let caller = format!("{}/{}", cell.account, self.rng.usize(0..callers));
        let request = self.rng.u64(..).to_string();
        let node = self.rng.usize(0..NODES);
        let query = VersionQuery {
            service: "drafts",
            version: "v1",
            cell: &cell,
            caller_name: &caller,
            caller: Caller {
                name: &caller,
                request: &request,
                callers,
            },
            data_centre: "zg1",
        };
        let version = self.views[node].version(now, query);
        let new = &*version == "v2";
        let counts = self
            .route_requests
            .entry(cell.route.to_string())
            .or_default();
        counts.0 += 1;
        counts.1 += u32::from(new);
        let (outcome, run_time) = self.draw_outcome(now, new, cell_index, &cell);
        self.run.exposed_requests += u32::from(new && self.run.onset_at.is_some());
        let server = self.rng.u16(0..SERVERS);
        let (outcome, run_time) = match self.server_crash {
            // The server's crash ends all requests that it runs.
            Some((dead, at)) if new && dead == server && now < at && now + run_time >= at => {
                (1, at - now)
            }
            _ => (outcome, run_time),
        };
        let key = Key {
            version,
            cell,
            server,
        };
        self.node_counts[node]
            .entry(key.clone())
            .or_default()
            .begin();
        self.scheduled_ends.push(ScheduledEnd {
            at: std::cmp::Reverse(now + run_time),
            node,
            key,
            outcome,
        });
    }

    /// Draws the outcome code of a request and the time that it runs.
    fn draw_outcome(
        &mut self,
        now: Duration,
        new: bool,
        cell_index: usize,
        cell: &Cell,
    ) -> (u8, Duration) {
        let faulty = new && self.fault_applies(now, cell_index, cell);
        if faulty && self.run.onset_at.is_none() {
            self.run.onset_at = Some(now);
        }
        let noise = if now < self.burst_until { 0.3 } else { 0.004 };
        let random = self.rng.f64();
        if faulty && self.fault == Fault::Slow {
            return (3, Duration::from_secs(3));
        }
        let long = self.rng.f64() < 0.09;
        let full_time = if long {
            Duration::from_secs(self.rng.u64(60..180))
        } else {
            Duration::from_millis(self.rng.u64(500..8000))
        };
        if faulty && self.fault == Fault::EndsEarly {
            return (2, full_time / 2);
        }
        if faulty || random < noise {
            return (1, Duration::from_millis(self.rng.u64(50..1000)));
        }
        match self.rng.f64() {
            r if r < 0.001 => (2, full_time / 2),
            r if r < 0.08 => (3, Duration::from_secs(3)),
            _ => (0, full_time),
        }
    }

    /// Reports whether the fault of the new version affects a request.
    fn fault_applies(&mut self, now: Duration, cell_index: usize, cell: &Cell) -> bool {
        let random = self.rng.f64();
        match self.fault {
            Fault::Good => false,
            Fault::AtOnce => true,
            Fault::OneInEight => random < 0.125,
            Fault::Late => now >= self.setup.duration.mul_f64(2.0 / 3.0) && random < 0.5,
            Fault::UnderLoad => {
                let share = self.share(now, cell);
                share > 0.3 && random < 0.5
            }
            Fault::OneRoute => cell_index % ROUTES.len() == 2,
            Fault::Slow => random < 0.8,
            Fault::OneAccount => cell_index / ROUTES.len() == FAULTY_ACCOUNT,
            Fault::EndsEarly => random < 0.5,
        }
    }

    fn share(&mut self, now: Duration, cell: &Cell) -> f64 {
        let duration = self.setup.duration;
        let ramps = self.views[0].ramps("drafts");
        ramps.map_or(0.0, |ramps| ramps.share(cell, now, duration))
    }

    /// Merges the counts of all nodes.
    fn merge_counts(&mut self) {
        for (i, counts) in self.node_counts.iter().enumerate() {
            let node = format!("n{i}").into();
            for (key, tally) in counts {
                self.merged.merge(&node, 1, key.clone(), *tally);
            }
        }
    }

    fn comparisons(&self) -> Vec<Comparison> {
        Comparison::per_cell(&self.merged.sum(), "v1", "v2")
    }

    fn advance_ramps<F>(&mut self, now: Duration, comparisons: &[Comparison], suspicion: F)
    where
        F: Fn(&Cell) -> f64,
    {
        for view in &mut self.views {
            let ramps = view.ramps("drafts").expect("the move is known");
            for comparison in comparisons {
                let requests = comparison.new.iter().map(|(_, t)| t.requests).sum();
                let cell = &comparison.cell;
                ramps.advance(cell, now, self.setup.duration, requests, suspicion(cell));
            }
        }
    }

    /// Adds the verdict to the first node only. [`simulate`] ends the run after the propagation
    /// delay, when the other nodes would have it.
    fn record_verdict(&mut self, evidence: cassiareel::kernel::moves::Evidence) {
        self.views[0].verdicts.add(Verdict {
            id: 1,
            service: service(),
            version: "v2".into(),
            evidence,
        });
    }

    fn into_result(mut self, now: Duration) -> MoveResult {
        let shares = self
            .route_requests
            .values()
            .map(|(all, new)| f64::from(*new) / f64::from(*all));
        self.run.max_share = shares.fold(0.0, f64::max);
        let duration = self.setup.duration;
        self.run.completed = self.run.verdict_at.is_none()
            && self.views.iter_mut().all(|view| {
                let ramps = view.ramps("drafts");
                ramps.is_some_and(|ramps| ramps.is_done(now, duration))
            });
        self.run
    }
}

fn service() -> ServiceId {
    "drafts".into()
}

fn record(setup: Setup) -> Record {
    let plan = Plan {
        service: service(),
        from: "v1".into(),
        to: "v2".into(),
        scope: Scope::default(),
        within_secs: setup.duration.as_secs(),
    };
    Record {
        latest: Some(Status {
            id: 1,
            change: 1,
            plan,
            started: 0,
            state: State::Running,
        }),
        ..Record::default()
    }
}

fn outcome_from_code(code: u8) -> Outcome {
    match code {
        0 => Outcome::Good,
        1 => Outcome::Error,
        2 => Outcome::Early,
        _ => Outcome::Slow,
    }
}

/// Draws from a Poisson distribution by Knuth's method, which suits small means.
fn poisson(rng: &mut Rng, mean_arrivals: f64) -> u32 {
    let limit = (-mean_arrivals).exp();
    let mut product = rng.f64();
    let mut n = 0;
    while product > limit {
        product *= rng.f64();
        n += 1;
    }
    n
}
