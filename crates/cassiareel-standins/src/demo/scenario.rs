//! The demo's scenario of failures.

use std::{
    io,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use cassiareel::runtime::Runtime;
use smol::Task;

use super::{
    orders::{send_order, OrderOutcome},
    streams::{run_stream, StreamProgress, StreamRequest, StreamResult},
    tree, Deployment, Report, Timing, ACCOUNT, KEY,
};
use crate::{caller::Caller, service::Faults};

/// The number of requests in the scenario.
#[derive(Clone, Copy, Debug)]
pub struct ScenarioSize {
    /// Number of streams in each phase.
    pub streams: usize,
    /// Number of tokens in each stream.
    pub tokens: u32,
    /// Number of orders.
    pub orders: usize,
}

impl Default for ScenarioSize {
    fn default() -> ScenarioSize {
        ScenarioSize {
            streams: 24,
            tokens: 200,
            orders: 60,
        }
    }
}

/// Number of events that every stream has received before an engine or node is killed.
const EVENTS_BEFORE_KILL: usize = 40;
/// Interval at which a wait checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Longest wait until every stream has received [`EVENTS_BEFORE_KILL`] events.
const EVENTS_TIMEOUT: Duration = Duration::from_secs(30);
/// The faults of the plain services while orders are sent. Among them are answers that are lost
/// before or after the order ran, orders that run late, and answers to other orders.
const ORDER_FAULTS: Faults = Faults {
    delay_ms: 5,
    refuse: 0.1,
    fail: 0.0,
    lose_before: 0.05,
    lose_after: 0.1,
    hang: 0.0,
    late: 0.05,
    cross: 0.05,
    request_limit: None,
};
/// Time within which every order that runs late has run.
const LATE_ORDER_DELAY: Duration = Duration::from_millis(500);

/// Runs the scenario and calls `report_progress` with a line at the start of each phase.
///
/// # Errors
///
/// Fails if the deployment does not apply changed settings; wrong answers are listed in the report.
pub fn run_scenario<F>(
    deployment: &mut Deployment,
    size: ScenarioSize,
    mut report_progress: F,
) -> io::Result<Report>
where
    F: FnMut(&str),
{
    let mut scenario = Scenario {
        callers: Runtime::new("callers", 2),
        size,
        first_token_times: Vec::new(),
        report: Report::default(),
    };
    report_progress(&format!("{} streams over six nodes", size.streams));
    scenario.run_without_faults(deployment);
    report_progress("an engine is killed during its streams");
    scenario.kill_engine(deployment);
    report_progress("a node is killed during its streams");
    scenario.kill_node(deployment);
    report_progress("a setting is changed: a caller with another key is added");
    scenario.change_settings(deployment)?;
    if deployment.plain_service().is_some() {
        report_progress(&format!(
            "{} orders to a service that loses answers and mixes them up",
            size.orders
        ));
        scenario.place_orders(deployment);
    }
    scenario.report.first_token = Timing::from_durations(scenario.first_token_times);
    Ok(scenario.report)
}

struct Scenario {
    callers: Runtime,
    size: ScenarioSize,
    first_token_times: Vec<Duration>,
    report: Report,
}

/// A stream whose task runs.
struct RunningStream {
    progress: StreamProgress,
    task: Task<StreamResult>,
}

impl Scenario {
    /// Starts the streams of a phase, distributed over all nodes.
    fn start_streams(&self, deployment: &Deployment, phase: &str) -> Vec<RunningStream> {
        let (service, version) = deployment.model();
        let addrs = deployment.addrs();
        (0..self.size.streams)
            .map(|i| {
                let request = StreamRequest {
                    service: service.clone(),
                    version: version.clone(),
                    prompt: format!("{phase}, request {i}: write a dedication for a flask."),
                    tokens: self.size.tokens,
                };
                let progress = StreamProgress::default();
                let mut node_order = addrs.clone();
                node_order.rotate_left(i % addrs.len());
                let task = self
                    .callers
                    .spawn(run_stream(node_order, request, progress.clone()));
                RunningStream { progress, task }
            })
            .collect()
    }

    /// Waits for the streams of a phase and adds their results to the report.
    fn collect_results(&mut self, phase: &str, streams: Vec<RunningStream>) -> Vec<StreamResult> {
        let mut results = Vec::new();
        for (i, running) in streams.into_iter().enumerate() {
            let result = smol::block_on(running.task);
            self.report.streams += 1;
            self.report.reconnects += result.reconnects;
            self.first_token_times.push(result.first_token);
            match &result.fault {
                None => {
                    self.report.streams_whole += 1;
                    self.report.tokens += result.tokens;
                }
                Some(fault) => self
                    .report
                    .faults
                    .push(format!("{phase}, request {i}: {fault}")),
            }
            results.push(result);
        }
        results
    }

    /// Sends streams without faults.
    fn run_without_faults(&mut self, deployment: &Deployment) {
        let streams = self.start_streams(deployment, "calm");
        self.collect_results("calm", streams);
    }

    /// Kills the engine that runs the most streams while they run.
    fn kill_engine(&mut self, deployment: &Deployment) {
        const PHASE: &str = "engine killed";
        let streams = self.start_streams(deployment, PHASE);
        self.wait_for_events(PHASE, &streams);
        let busiest = deployment
            .engines
            .iter()
            .filter(|engine| !engine.is_dead())
            .max_by_key(|engine| engine.running());
        let hit = busiest.map_or(0, |engine| {
            let running = engine.running();
            engine.kill();
            running
        });
        let results = self.collect_results(PHASE, streams);
        // The streams that the killed engine ran are those with the longest pauses.
        let mut pauses: Vec<Duration> = results.iter().map(|result| result.longest_pause).collect();
        pauses.sort();
        let hit = pauses.split_off(pauses.len() - hit.min(pauses.len()));
        self.report.engine_killed = Timing::from_durations(hit);
    }

    /// Kills the node that serves the first stream while the streams run.
    fn kill_node(&mut self, deployment: &mut Deployment) {
        const PHASE: &str = "node killed";
        let streams = self.start_streams(deployment, PHASE);
        self.wait_for_events(PHASE, &streams);
        if let Some((Some(addr), _)) = streams.first().map(|running| running.progress.get()) {
            deployment.kill_node(addr);
        }
        let results = self.collect_results(PHASE, streams);
        let reconnected = results.iter().filter(|result| result.reconnects > 0);
        self.report.node_killed =
            Timing::from_durations(reconnected.map(|result| result.longest_pause).collect());
    }

    /// Waits until every stream has received [`EVENTS_BEFORE_KILL`] events or has ended.
    fn wait_for_events(&mut self, phase: &str, streams: &[RunningStream]) {
        let deadline = Instant::now() + EVENTS_TIMEOUT;
        for running in streams {
            while running.progress.get().1 < EVENTS_BEFORE_KILL && !running.task.is_finished() {
                if Instant::now() > deadline {
                    let fault = format!(
                        "{phase}: a stream did not receive {EVENTS_BEFORE_KILL} events in time"
                    );
                    return self.report.faults.push(fault);
                }
                thread::sleep(POLL_INTERVAL);
            }
        }
    }

    /// Adds a caller with another key to the settings, and checks that every node accepts the key.
    fn change_settings(&mut self, deployment: &mut Deployment) -> io::Result<()> {
        let mut changed = deployment.tree.clone();
        let new_key = format!("{KEY}-2");
        if let Some(account) = changed.accounts.get_mut(ACCOUNT) {
            let caller = tree::caller_with_key(&new_key);
            account.callers.insert("late-desk".into(), caller);
        }
        let elapsed = deployment.apply(changed)?;
        self.report.settings_ms = elapsed.as_secs_f64() * 1e3;
        for addr in deployment.addrs() {
            if !smol::block_on(accepts_key(addr, &new_key)) {
                let fault = format!("the node at {addr} does not accept the new key");
                self.report.faults.push(fault);
            }
        }
        Ok(())
    }

    /// Sends orders while the plain services have [`ORDER_FAULTS`], and checks their outcomes.
    fn place_orders(&mut self, deployment: &Deployment) {
        let Some(service) = deployment.plain_service() else {
            return;
        };
        for server in &deployment.services {
            server.set_faults(ORDER_FAULTS);
        }
        let addrs = deployment.addrs();
        let orders: Vec<_> = (0..self.size.orders)
            .map(|i| {
                let key = format!("order-{i}");
                let mut node_order = addrs.clone();
                node_order.rotate_left(i % addrs.len());
                let sent = send_order(node_order, service.clone(), key.clone());
                (key, self.callers.spawn(sent))
            })
            .collect();
        let outcomes: Vec<_> = orders
            .into_iter()
            .map(|(key, task)| (key, smol::block_on(task)))
            .collect();
        thread::sleep(LATE_ORDER_DELAY);
        for (key, outcome) in outcomes {
            self.check_order(deployment, &key, outcome);
        }
    }

    /// Compares the outcome that an order's caller received with the ledger.
    fn check_order(&mut self, deployment: &Deployment, key: &str, outcome: OrderOutcome) {
        let report = &mut self.report;
        let runs = deployment.ledger.runs_of_number(key);
        report.orders += 1;
        match outcome {
            OrderOutcome::Ran => report.orders_ran += 1,
            OrderOutcome::NotRun => report.orders_not_run += 1,
            OrderOutcome::Unknown => report.orders_unknown += 1,
            OrderOutcome::NoAnswer => report
                .faults
                .push(format!("{key}: its caller received no outcome")),
        }
        if runs > 1 {
            report.orders_doubled += 1;
            report.faults.push(format!("{key} ran {runs} times"));
        }
        if matches!(
            (outcome, runs),
            (OrderOutcome::Ran, 0) | (OrderOutcome::NotRun, 1..)
        ) {
            report.orders_misreported += 1;
            let fault =
                format!("{key}: reported to its caller as {outcome:?}, but it ran {runs} times");
            report.faults.push(fault);
        }
    }
}

/// Reports whether a node accepts a key.
async fn accepts_key(addr: SocketAddr, key: &str) -> bool {
    let caller = Caller::new(key);
    let sent = caller.post(addr, "/v1/completions", &[], "{}".to_owned());
    // An unknown key is rejected with status 401 before the body is parsed; with a known key, the
    // body `{}` is rejected with status 400.
    sent.await.is_ok_and(|res| res.status() == 400)
}
