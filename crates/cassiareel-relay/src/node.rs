//! One node: starts the tasks, handles signals, and stops gracefully.

use std::{
    io,
    path::PathBuf,
    sync::{atomic::Ordering, Arc},
    time::Duration,
};

use cassiareel::{
    body_budget::BodyBudget,
    runtime::{within, Runtime},
};
use slog::{info, warn, Logger};
use smol::Timer;

use crate::{
    clock::{self, Moment},
    duties::{meter_settings, run_duties, DutyParts},
    follow::{follow_nodes, follow_policy, follow_registry, follow_rollouts},
    front::{bind_listener, serve_callers, serve_metrics, serve_readiness, OpenRequests},
    kernel::{ANSWER_MARGIN, BALANCER_DELAY, HAND_OVER_MARGIN},
    peers::{
        ask_peer_at_start, follow_limits, follow_peers, send_last_usage, send_losses, send_usage,
        serve_peers,
    },
    protocol::Protocol,
    settings::Settings,
    signals::{self, Signal},
    source::Source,
    state::State,
};

/// How long a node that was told to stop still accepts connections, so that the balancer can detect
/// it.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(3200);

/// Time that is kept back from the grace period for the process's own exit.
const EXIT_MARGIN: Duration = Duration::from_millis(250);

/// The least time for the answers to requests that a stop ends.
const MIN_ANSWER_TIME: Duration = Duration::from_millis(200);

/// The interval at which a stopping node checks what is still open.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The shortest time between two of these checks that counts as a suspension of the process. Where a
/// busy VM runs a timer that late, the exit is only delayed by [`READ_TIME_AFTER_SUSPENSION`].
const MIN_SUSPENSION: Duration = Duration::from_millis(500);

/// How long after a suspension requests that arrived during it may be read.
const READ_TIME_AFTER_SUSPENSION: Duration = Duration::from_millis(200);

/// The interval at which the settings file is read again, since it may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// The parts that a node is created from.
pub struct Parts {
    /// The settings.
    pub settings: Settings,
    /// The file that the settings were read from, which is read again when it changes.
    pub file: PathBuf,
    /// The runtime that runs the tasks.
    pub runtime: Runtime,
    /// The store.
    pub source: Arc<dyn Source>,
    /// Memory for the bodies of messages of other nodes and of the store.
    pub message_budget: Arc<BodyBudget>,
    /// The headers of the platform.
    pub protocol: Arc<dyn Protocol>,
    /// The remote sides of the duties, where the deployment names any.
    pub duties: Option<DutyParts>,
    /// The logger.
    pub log: Logger,
}

/// Runs a node until a signal stops it; returns how many requests were still open at the end.
///
/// # Errors
///
/// Fails when a socket can't be opened or the signals can't be caught.
pub fn run(parts: Parts) -> io::Result<usize> {
    let signals = signals::listen()?;
    let spawner = parts.runtime.spawner();
    let listens = parts.settings.listen.clone();
    let usage = meter_settings(&parts.settings, parts.duties.as_ref());
    let state = Arc::new(State::new(
        parts.settings,
        parts.source,
        parts.message_budget,
        parts.protocol,
        parts.log,
        spawner.clone(),
        usage,
    ));
    let open = OpenRequests::default();
    let (front, ready, metrics, peers) = smol::block_on(async {
        Ok::<_, io::Error>((
            bind_listener(listens.front).await?,
            bind_listener(listens.ready).await?,
            bind_listener(listens.metrics).await?,
            bind_listener(listens.peers).await?,
        ))
    })?;
    // This is logged before the first task starts, which has log lines of its own.
    info!(state.log, "started"; "front" => %listens.front, "ready" => %listens.ready);
    let tasks = [
        spawner.spawn(follow_policy(state.clone())),
        spawner.spawn(follow_registry(state.clone())),
        spawner.spawn(follow_rollouts(state.clone())),
        spawner.spawn(follow_nodes(state.clone())),
        spawner.spawn(follow_peers(state.clone())),
        spawner.spawn(ask_peer_at_start(state.clone())),
        spawner.spawn(send_losses(state.clone())),
        spawner.spawn(follow_limits(state.clone())),
        spawner.spawn(send_usage(state.clone())),
        spawner.spawn(serve_peers(state.clone(), peers)),
        spawner.spawn(serve_callers(state.clone(), front, open.clone())),
        spawner.spawn(serve_readiness(state.clone(), ready)),
        spawner.spawn(serve_metrics(state.clone(), metrics)),
    ];
    let duties = parts.duties;
    let duties = duties.map(|duties| spawner.spawn(run_duties(state.clone(), duties)));
    let cut = smol::block_on(handle_signals(state.clone(), &parts.file, signals, open));
    drop((tasks, duties));
    Ok(cut)
}

/// Handles signals until the node has stopped.
async fn handle_signals(
    state: Arc<State>,
    file: &PathBuf,
    signals: async_channel::Receiver<Signal>,
    open: OpenRequests,
) -> usize {
    loop {
        let signal = within(RELOAD_INTERVAL, signals.recv()).await;
        match signal.and_then(Result::ok) {
            Some(Signal::Stop) => return stop(&state, &open).await,
            Some(Signal::Reload) => reload(&state, file, "signal"),
            None => reload(&state, file, "file"),
        }
    }
}

/// Reads the settings again; invalid ones leave those in force unchanged.
fn reload(state: &State, file: &PathBuf, by: &str) {
    match Settings::load(file) {
        Ok(settings) => {
            if **state.settings.load() != settings {
                state.replace_settings(settings);
                info!(state.log, "reloaded"; "by" => by, "changed" => true);
            } else if by == "signal" {
                info!(state.log, "reloaded"; "by" => by, "changed" => false);
            }
        }
        Err(err) => warn!(state.log, "settings not reloaded"; "by" => by, "cause" => %err),
    }
}

/// The checks of a stopping node, which detect that the process was suspended between two of them.
struct StopChecks {
    last: Moment,
    /// Until when requests that arrived during a suspension may be read.
    read_until: Moment,
}

impl StopChecks {
    fn new(now: Moment) -> StopChecks {
        StopChecks {
            last: now,
            read_until: now,
        }
    }

    /// Records a check; reports whether requests that arrived during a suspension may not be read yet.
    fn is_reading(&mut self, now: Moment) -> bool {
        if now.saturating_sub(self.last) >= MIN_SUSPENSION {
            self.read_until = now + READ_TIME_AFTER_SUSPENSION;
        }
        self.last = now;
        now < self.read_until
    }
}

/// Waits until the answers to ended requests are written: until shortly before `end`, and for a time
/// in any case, since a process that was suspended gets here late.
async fn wait_until_answered(open: &OpenRequests, end: Moment, checks: &mut StopChecks) {
    let last = end
        .saturating_sub(EXIT_MARGIN)
        .max(clock::now() + MIN_ANSWER_TIME);
    loop {
        let now = clock::now();
        let is_reading = checks.is_reading(now);
        let is_done = open.count() == 0 || now >= last;
        if is_done && !is_reading {
            return;
        }
        Timer::after(CHECK_INTERVAL).await;
    }
}

/// Finishes what is open within the grace period. Requests that are still open shortly before its end
/// are answered with what is known of them. Returns how many are open at the end: answers of which the
/// callers have a part.
async fn stop(state: &State, open: &OpenRequests) -> usize {
    let began = clock::now();
    let mut checks = StopChecks::new(began);
    let grace = state.settings.load().bounds.grace;
    state.begin_leaving(began);
    if let Some(meter) = &state.usage {
        meter.begin_leaving();
    }
    info!(state.log, "stopping"; "open" => open.count(), "grace_ms" => grace.as_millis() as u64);
    loop {
        let now = clock::now();
        let spent = now.saturating_sub(began);
        let is_idle = !checks.is_reading(now) && open.count() == 0;
        let done = spent >= ACCEPT_AFTER_STOP.min(grace / 2) && is_idle;
        if done || spent + ANSWER_MARGIN >= grace {
            break;
        }
        if spent >= BALANCER_DELAY.min(grace / 2) {
            state.close_idle.notify(usize::MAX);
        }
        if spent + HAND_OVER_MARGIN >= grace {
            state.handing_over.store(true, Ordering::Relaxed);
        }
        Timer::after(CHECK_INTERVAL).await;
    }
    state.handing_over.store(true, Ordering::Relaxed);
    state.end_requests();
    // A request that is read from now on is refused, and one that was read before is counted.
    if open.count() > 0 {
        info!(state.log, "requests ended"; "open" => open.count());
    }
    wait_until_answered(open, began + grace, &mut checks).await;
    send_last_usage(state).await;
    let left = open.count();
    info!(state.log, "stopped"; "cut" => left);
    left
}
