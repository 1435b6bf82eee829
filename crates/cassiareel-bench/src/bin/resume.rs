/*!
Measures how long answers pause after the loss of an engine or a node, and the cost of resuming.

Each trial streams one answer over loopback and injects one fault after some of its events. The
latency is the longest gap between events at the caller from the fault on. It includes the engine's
own step and prefill.
*/

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use cassiareel_standins::{
    caller::{Caller, ReceivedStream},
    engine::{expected_answer, Failure, Fault, Faults},
    fleet::{Fleet, FleetOptions, CALLER_KEY},
};
use gumdrop::Options;
use serde_json::{json, Value};

/// Measures resume latency.
#[derive(Debug, Options)]
struct Args {
    /// Print this help.
    help: bool,
    /// Number of trials of each fault.
    #[options(default = "40")]
    trials: usize,
    /// Number of streams of the run with slow engines.
    #[options(default = "100")]
    slow: usize,
}

const PROMPT: &str = "To the keeper of the long records";
const TOKENS: u32 = 80;
/// Number of events before the fault.
const EVENTS_BEFORE_FAULT: usize = 30;
const ENGINES: usize = 3;
const NODES: usize = 3;

/// The fault of a trial.
#[derive(Clone, Copy, Debug)]
enum Loss {
    Nothing,
    EngineKilled,
    EngineSilent,
    NodeKilled,
    NodeThenEngine,
}

const LOSSES: [Loss; 5] = [
    Loss::Nothing,
    Loss::EngineKilled,
    Loss::EngineSilent,
    Loss::NodeKilled,
    Loss::NodeThenEngine,
];

/// The result of a trial.
struct Trial {
    latency: Duration,
    complete: bool,
    starts: u64,
    attached: u64,
    extra_tokens: i64,
}

fn main() {
    let args = Args::parse_args_default_or_exit();
    println!("| loss | trials | whole | p50 ms | p99 ms | max ms | new attempts | live streams taken up | tokens decoded above the answer's own, a trial |");
    println!("|---|---|---|---|---|---|---|---|---|");
    for loss in LOSSES {
        let trials: Vec<Trial> = (0..args.trials).map(|_| run_trial(loss)).collect();
        println!("{}", format_row(loss, &trials));
    }
    println!("{}", run_slow_engines(args.slow));
}

fn request_body() -> Value {
    json!({"model": "draft", "prompt": PROMPT, "max_tokens": TOKENS, "ignore_eos": true,
        "stream": true})
}

fn start_fleet() -> Fleet {
    let mut fleet =
        Fleet::start(&FleetOptions::new(ENGINES, NODES)).expect("a loopback port is free");
    let tree = fleet.settings_tree();
    fleet.apply(&tree);
    fleet
}

fn run_trial(loss: Loss) -> Trial {
    let mut fleet = start_fleet();
    let mut seen = ReceivedStream::default();
    let mut events = 0;
    let mut last = Instant::now();
    let mut longest_gap = Duration::ZERO;
    let first_node = fleet.addr(0).expect("the node serves");
    let other_node = fleet.addr(1).expect("the node serves");
    let (kill_sender, kill_receiver) = async_channel::bounded::<()>(1);
    let mut record_event = |events: usize, last: &mut Instant| {
        if events > EVENTS_BEFORE_FAULT {
            longest_gap = longest_gap.max(last.elapsed());
        }
        *last = Instant::now();
    };
    let engines = &fleet.engines;
    let inject_fault = |events: usize| {
        if events != EVENTS_BEFORE_FAULT {
            return;
        }
        let engine = engines.iter().find(|engine| engine.running() > 0);
        match loss {
            Loss::EngineKilled => engine.expect("an engine runs the request").kill(),
            Loss::EngineSilent => engine.expect("an engine runs the request").pause(),
            Loss::NodeKilled | Loss::NodeThenEngine => {
                let _ = kill_sender.try_send(());
            }
            Loss::Nothing => {}
        }
    };
    smol::block_on(smol::future::or(
        read_stream(first_node, &mut seen, |_| {
            events += 1;
            record_event(events, &mut last);
            inject_fault(events);
        }),
        async {
            let _ = kill_receiver.recv().await;
        },
    ));
    if matches!(loss, Loss::NodeKilled | Loss::NodeThenEngine) {
        fleet.kill_node(0);
        let engines = &fleet.engines;
        smol::block_on(read_stream(other_node, &mut seen, |_| {
            events += 1;
            record_event(events, &mut last);
            if matches!(loss, Loss::NodeThenEngine) && events == EVENTS_BEFORE_FAULT + 10 {
                let engine = engines.iter().find(|engine| engine.running() > 0);
                engine.expect("an engine runs the request").kill();
            }
        }));
    }
    let (_, text) = expected_answer("draft@v1", PROMPT, TOKENS);
    let stats: Vec<_> = fleet.engines.iter().map(|engine| engine.stats()).collect();
    Trial {
        latency: longest_gap,
        complete: seen.text == text && seen.done,
        starts: stats.iter().map(|s| s.starts).sum(),
        attached: stats.iter().map(|s| s.attached).sum(),
        extra_tokens: stats.iter().map(|s| s.tokens as i64).sum::<i64>() - i64::from(TOKENS),
    }
}

async fn read_stream<F>(addr: SocketAddr, seen: &mut ReceivedStream, on_event: F)
where
    F: FnMut(&ReceivedStream),
{
    Caller::new(CALLER_KEY)
        .stream(addr, &request_body(), seen, on_event)
        .await;
}

fn format_row(loss: Loss, trials: &[Trial]) -> String {
    let mut latencies: Vec<f64> = trials
        .iter()
        .map(|trial| trial.latency.as_secs_f64() * 1e3)
        .collect();
    latencies.sort_by(f64::total_cmp);
    let quantile = |share: f64| latencies[((latencies.len() - 1) as f64 * share).ceil() as usize];
    let mean =
        |value: fn(&Trial) -> f64| trials.iter().map(value).sum::<f64>() / trials.len() as f64;
    format!(
        "| {loss:?} | {} | {} | {:.1} | {:.1} | {:.1} | {:.2} | {:.2} | {:.2} |",
        trials.len(),
        trials.iter().filter(|trial| trial.complete).count(),
        quantile(0.5),
        quantile(0.99),
        quantile(1.0),
        mean(|trial| (trial.starts - 1) as f64),
        mean(|trial| trial.attached as f64),
        mean(|trial| trial.extra_tokens as f64),
    )
}

/// Streams concurrent answers from engines that have become ten times slower.
fn run_slow_engines(streams: usize) -> String {
    let fleet = start_fleet();
    for engine in &fleet.engines {
        let fault = Fault {
            failure: Failure::Slow(10),
            after_requests: 0,
            ..Fault::default()
        };
        engine.set_faults(Faults {
            versions: [("draft@v1".to_owned(), fault)].into(),
            ..Faults::default()
        });
    }
    let addr = fleet.addr(0).expect("the node serves");
    let tasks: Vec<_> = (0..streams)
        .map(|_| {
            smol::spawn(async move {
                let mut seen = ReceivedStream::default();
                read_stream(addr, &mut seen, |_| ()).await;
                seen
            })
        })
        .collect();
    let (_, text) = expected_answer("draft@v1", PROMPT, TOKENS);
    let complete = smol::block_on(async {
        let mut complete = 0;
        for task in tasks {
            complete += usize::from(task.await.text == text);
        }
        complete
    });
    let starts: u64 = fleet
        .engines
        .iter()
        .map(|engine| engine.stats().starts)
        .sum();
    let attached: u64 = fleet
        .engines
        .iter()
        .map(|engine| engine.stats().attached)
        .sum();
    format!(
        "\nTen times slower engines: {streams} streams, {complete} whole, {} new attempts, {attached} streams taken up again.",
        starts as usize - streams
    )
}
