//! The demo's story.

use std::{
    io,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use cassiareel::runtime::Runtime;
use smol::Task;

use super::{
    orders::{place, Told},
    streams::{ask, Ask, Got, Watch},
    tree, Deployment, Report, Timing, ACCOUNT, KEY,
};
use crate::{caller::Caller, service::Faults};

/// How much the story sends.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Streams in each part.
    pub streams: usize,
    /// Tokens of a stream.
    pub tokens: u32,
    /// Orders.
    pub orders: usize,
}

impl Default for Sizes {
    fn default() -> Sizes {
        Sizes {
            streams: 24,
            tokens: 200,
            orders: 60,
        }
    }
}

/// Events that a stream has when its engine or node is killed.
const MIDDLE: usize = 40;
/// How often waiting for a state looks at it.
const POLL: Duration = Duration::from_millis(1);
/// Time for a stream to come to its middle, after which something hangs.
const HANG: Duration = Duration::from_secs(30);
/// The faults of the plain services while orders are sent: answers lost before and after the order
/// ran, and answers to other orders.
const ORDER_FAULTS: Faults = Faults {
    delay_ms: 5,
    refuse: 0.1,
    fail: 0.0,
    lose_before: 0.05,
    lose_after: 0.1,
    hang: 0.0,
    late: 0.05,
    cross: 0.05,
};
/// Time after which an order that runs late has run.
const LATE: Duration = Duration::from_millis(500);

/// Plays the story, with a line to `tell` at each part.
///
/// # Errors
///
/// Fails when the deployment itself does; wrong answers are in the report.
pub fn story<F>(deployment: &mut Deployment, sizes: Sizes, mut tell: F) -> io::Result<Report>
where
    F: FnMut(&str),
{
    let mut story = Story {
        callers: Runtime::new("callers", 2),
        sizes,
        firsts: Vec::new(),
        report: Report::default(),
    };
    tell(&format!("{} streams over six nodes", sizes.streams));
    story.calm(deployment);
    tell("an engine is killed in the middle of its streams");
    story.kill_engine(deployment);
    tell("a node is killed in the middle of its streams");
    story.kill_node(deployment);
    tell("a setting is changed: another caller gets a key");
    story.change_settings(deployment)?;
    if deployment.plain().is_some() {
        tell(&format!(
            "{} orders to a service that loses and crosses answers",
            sizes.orders
        ));
        story.place_orders(deployment);
    }
    story.report.first_token = Timing::of(story.firsts);
    Ok(story.report)
}

struct Story {
    callers: Runtime,
    sizes: Sizes,
    firsts: Vec<Duration>,
    report: Report,
}

/// A stream that runs.
struct Running {
    watch: Watch,
    task: Task<Got>,
}

impl Story {
    /// Sends streams to all nodes.
    fn send(&self, deployment: &Deployment, part: &str) -> Vec<Running> {
        let (service, version) = deployment.model();
        let addrs = deployment.addrs();
        (0..self.sizes.streams)
            .map(|i| {
                let request = Ask {
                    service: service.clone(),
                    version: version.clone(),
                    prompt: format!("{part}, request {i}: write a dedication for a flask."),
                    tokens: self.sizes.tokens,
                };
                let watch = Watch::default();
                let mut order = addrs.clone();
                order.rotate_left(i % addrs.len());
                let task = self.callers.spawn(ask(order, request, watch.clone()));
                Running { watch, task }
            })
            .collect()
    }

    /// Waits for streams and takes them into the report.
    fn gather(&mut self, part: &str, streams: Vec<Running>) -> Vec<Got> {
        let mut gathered = Vec::new();
        for (i, running) in streams.into_iter().enumerate() {
            let got = smol::block_on(running.task);
            self.report.streams += 1;
            self.report.reconnects += got.reconnects;
            self.firsts.push(got.first);
            match &got.wrong {
                None => {
                    self.report.streams_whole += 1;
                    self.report.tokens += got.tokens;
                }
                Some(wrong) => self
                    .report
                    .faults
                    .push(format!("{part}, request {i}: {wrong}")),
            }
            gathered.push(got);
        }
        gathered
    }

    fn calm(&mut self, deployment: &Deployment) {
        let streams = self.send(deployment, "calm");
        self.gather("calm", streams);
    }

    fn kill_engine(&mut self, deployment: &Deployment) {
        const PART: &str = "engine killed";
        let streams = self.send(deployment, PART);
        self.await_middle(PART, &streams);
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
        let got = self.gather(PART, streams);
        // The streams that were hit are those that paused longest.
        let mut pauses: Vec<Duration> = got.iter().map(|got| got.pause).collect();
        pauses.sort();
        let hit = pauses.split_off(pauses.len() - hit.min(pauses.len()));
        self.report.engine_killed = Timing::of(hit);
    }

    fn kill_node(&mut self, deployment: &mut Deployment) {
        const PART: &str = "node killed";
        let streams = self.send(deployment, PART);
        self.await_middle(PART, &streams);
        if let Some((Some(addr), _)) = streams.first().map(|running| running.watch.look()) {
            deployment.kill_node(addr);
        }
        let got = self.gather(PART, streams);
        let moved = got.iter().filter(|got| got.reconnects > 0);
        self.report.node_killed = Timing::of(moved.map(|got| got.pause).collect());
    }

    /// Waits until every stream is in its middle.
    fn await_middle(&mut self, part: &str, streams: &[Running]) {
        let until = Instant::now() + HANG;
        for running in streams {
            while running.watch.look().1 < MIDDLE && !running.task.is_finished() {
                if Instant::now() > until {
                    let fault = format!("{part}: a stream has not come to its middle");
                    return self.report.faults.push(fault);
                }
                thread::sleep(POLL);
            }
        }
    }

    /// Gives another caller a key, and asks every node with it.
    fn change_settings(&mut self, deployment: &mut Deployment) -> io::Result<()> {
        let mut changed = deployment.tree.clone();
        let new_key = format!("{KEY}-2");
        if let Some(account) = changed.accounts.get_mut(ACCOUNT) {
            let caller = tree::caller(&new_key);
            account.callers.insert("late-desk".into(), caller);
        }
        let took = deployment.apply(changed)?;
        self.report.settings_ms = took.as_secs_f64() * 1e3;
        for addr in deployment.addrs() {
            if !smol::block_on(knows(addr, &new_key)) {
                let fault = format!("the node at {addr} does not know the new key");
                self.report.faults.push(fault);
            }
        }
        Ok(())
    }

    fn place_orders(&mut self, deployment: &Deployment) {
        let Some(service) = deployment.plain() else {
            return;
        };
        for standin in &deployment.services {
            standin.set_faults(ORDER_FAULTS);
        }
        let addrs = deployment.addrs();
        let orders: Vec<_> = (0..self.sizes.orders)
            .map(|i| {
                let key = format!("order-{i}");
                let mut order = addrs.clone();
                order.rotate_left(i % addrs.len());
                let placed = place(order, service.clone(), key.clone());
                (key, self.callers.spawn(placed))
            })
            .collect();
        let told: Vec<_> = orders
            .into_iter()
            .map(|(key, task)| (key, smol::block_on(task)))
            .collect();
        thread::sleep(LATE);
        for (key, told) in told {
            self.judge(deployment, &key, told);
        }
    }

    /// Compares what a caller was told of an order with the ledger.
    fn judge(&mut self, deployment: &Deployment, key: &str, told: Told) {
        let report = &mut self.report;
        let runs = deployment.ledger.runs_of_number(key);
        report.orders += 1;
        match told {
            Told::Ran => report.orders_ran += 1,
            Told::NotRun => report.orders_not_run += 1,
            Told::Unknown => report.orders_unknown += 1,
            Told::Nothing => report
                .faults
                .push(format!("{key}: its caller was told nothing")),
        }
        if runs > 1 {
            report.orders_doubled += 1;
            report.faults.push(format!("{key} ran {runs} times"));
        }
        if matches!((told, runs), (Told::Ran, 0) | (Told::NotRun, 1..)) {
            report.orders_belied += 1;
            let fault = format!("{key}: its caller was told {told:?}, and it ran {runs} times");
            report.faults.push(fault);
        }
    }
}

/// Reports whether a node takes a key.
async fn knows(addr: SocketAddr, key: &str) -> bool {
    let caller = Caller::new(key);
    let sent = caller.post(addr, "/v1/completions", &[], "{}".to_owned());
    // A key that is not known is refused with 401 before the body is looked at.
    sent.await.is_ok_and(|res| res.status() == 400)
}
