//! The measurements.

use std::{io, thread, time::Duration};

use cassiareel::runtime::Runtime;
use hdrhistogram::Histogram;

use super::{
    figures::{Burst, FirstToken, Latencies, Load, Memory},
    run_streams,
    streams::stream,
    CallPath, StreamRequest, Testbed,
};
use crate::process;

/// The size of the measurements.
#[derive(Clone, Copy, Debug)]
pub struct LoadPlan {
    /// Number of concurrent streams.
    pub streams: usize,
    /// Number of tokens of each stream.
    pub tokens: u32,
    /// Number of rounds; each round measures all paths in turn.
    pub rounds: u32,
    /// Time between the starts of concurrent streams.
    pub start_interval: Duration,
    /// Number of single requests in the measurement of the first token.
    pub single_requests: u32,
}

/// Number of threads of the callers.
const CALLER_THREADS: usize = 3;
/// Step time of the engine for concurrent streams: 25 tokens per second, slightly faster than the
/// 42 ms between tokens that 95% of the fleet's users see.
const STEP: Duration = Duration::from_millis(40);
/// Step time of the engine for single requests.
const SHORT_STEP: Duration = Duration::from_millis(5);
/// Step time of the engine while memory is measured, long enough that little else happens.
const LONG_STEP: Duration = Duration::from_secs(2);
/// Number of tokens in a burst.
const BURST: u32 = 16;
/// Time for the process to become idle.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Measures the time to the first token of single requests, over each path in turn.
///
/// # Errors
///
/// Returns an error if no port can be bound or the node does not apply its settings in time.
pub fn first_token(plan: &LoadPlan) -> io::Result<FirstToken> {
    let testbed = Testbed::start(SHORT_STEP, 1)?;
    let callers = Runtime::new("callers", CALLER_THREADS);
    let mut latencies = [
        Latencies::default(),
        Latencies::default(),
        Latencies::default(),
    ];
    for i in 0..plan.single_requests {
        for (call_path, path_latencies) in CallPath::ALL.into_iter().zip(&mut latencies) {
            let request = StreamRequest {
                prompt: format!("single {i}"),
                tokens: 2,
            };
            let results = run_streams(
                &callers,
                testbed.endpoint(call_path),
                vec![request],
                Duration::ZERO,
            );
            path_latencies.add(results[0].first_event);
            path_latencies.incomplete += u64::from(!results[0].complete);
        }
    }
    let [direct, relay, node] = latencies;
    Ok(FirstToken {
        direct,
        relay,
        node,
    })
}

/// Measures concurrent streams: processor time, times between tokens and stalls.
///
/// # Errors
///
/// Returns an error if no port can be bound or the node does not apply its settings in time.
pub fn load(plan: &LoadPlan) -> io::Result<Load> {
    let testbed = Testbed::start(STEP, 1)?;
    let mut load = Load::default();
    for round in 0..plan.rounds {
        // All paths carry the same streams, the direct path first. Where a character takes several
        // tokens, the answer itself has a gap, so the longest gap on the direct path is no stall.
        let mut direct_longest = vec![STEP; plan.streams];
        for call_path in CallPath::ALL {
            let measured = run_concurrent(&testbed, call_path, plan, round);
            let cost = load.cost_mut(call_path);
            cost.cpu += measured.cpu;
            cost.tokens += measured.tokens;
            for (result, direct_longest) in measured.results.into_iter().zip(&mut direct_longest) {
                cost.incomplete += u64::from(!result.complete);
                let longest = result.gaps.iter().max().copied().unwrap_or_default();
                match call_path {
                    CallPath::Direct => *direct_longest = longest,
                    CallPath::Relay | CallPath::Node => {
                        cost.stalls.add(longest.saturating_sub(*direct_longest));
                    }
                }
                result.gaps.into_iter().for_each(|gap| cost.gaps.add(gap));
            }
        }
    }
    Ok(load)
}

/// Measures the processor time of streams whose tokens come in bursts.
///
/// # Errors
///
/// Returns an error if no port can be bound or the node does not apply its settings in time.
pub fn burst(plan: &LoadPlan) -> io::Result<Burst> {
    let testbed = Testbed::start(STEP * BURST, BURST)?;
    let mut burst = Burst::default();
    for round in 0..plan.rounds {
        for call_path in CallPath::ALL {
            let measured = run_concurrent(&testbed, call_path, plan, round);
            let cost = burst.cost_mut(call_path);
            cost.cpu += measured.cpu;
            cost.tokens += measured.tokens;
            cost.incomplete += measured
                .results
                .iter()
                .filter(|result| !result.complete)
                .count() as u64;
        }
    }
    Ok(burst)
}

/// Measures the resident memory of open streams. The streams of earlier paths stay open, so that
/// no freed memory is reused by those of later paths.
///
/// # Errors
///
/// Returns an error if no port can be bound, if the node does not apply its settings in time, or
/// if not all streams are running when the memory is read.
pub fn memory(plan: &LoadPlan) -> io::Result<Memory> {
    let testbed = Testbed::start(LONG_STEP, 1)?;
    let callers = Runtime::new("callers", CALLER_THREADS);
    // One stream over each path first allocates the memory that is needed only once.
    for call_path in CallPath::ALL {
        let request = StreamRequest {
            prompt: "first".to_owned(),
            tokens: 1,
        };
        run_streams(
            &callers,
            testbed.endpoint(call_path),
            vec![request],
            Duration::ZERO,
        );
    }
    let mut open_streams = Vec::new();
    let mut bytes_per_stream = Vec::new();
    for call_path in CallPath::ALL {
        thread::sleep(SETTLE_TIME);
        let before = process::resident_bytes();
        for i in 0..plan.streams {
            let request = StreamRequest {
                prompt: format!("open {call_path:?} {i}"),
                tokens: 1_000,
            };
            open_streams.push(callers.spawn(stream(testbed.endpoint(call_path), request)));
        }
        // After two steps every stream has received tokens.
        thread::sleep(LONG_STEP * 2 + SETTLE_TIME);
        if testbed.engine.running() != open_streams.len() {
            let message = format!(
                "only {} of {} streams are running",
                testbed.engine.running(),
                open_streams.len()
            );
            return Err(io::Error::other(message));
        }
        let growth = process::resident_bytes().saturating_sub(before);
        bytes_per_stream.push(growth as f64 / plan.streams as f64);
    }
    Ok(Memory {
        direct: bytes_per_stream[0],
        relay: bytes_per_stream[1],
        node: bytes_per_stream[2],
    })
}

/// The measurements of concurrent streams.
struct Measured {
    cpu: Duration,
    tokens: u64,
    results: Vec<super::StreamResult>,
}

fn run_concurrent(testbed: &Testbed, call_path: CallPath, plan: &LoadPlan, round: u32) -> Measured {
    let callers = Runtime::new("callers", CALLER_THREADS);
    thread::sleep(SETTLE_TIME);
    let cpu = process::cpu_time();
    let tokens = testbed.engine.stats().tokens;
    let requests = (0..plan.streams)
        .map(|i| StreamRequest {
            prompt: format!("round {round}, stream {i}"),
            tokens: plan.tokens,
        })
        .collect();
    let results = run_streams(
        &callers,
        testbed.endpoint(call_path),
        requests,
        plan.start_interval,
    );
    Measured {
        cpu: process::cpu_time() - cpu,
        tokens: testbed.engine.stats().tokens - tokens,
        results,
    }
}

impl Latencies {
    fn add(&mut self, time: Duration) {
        self.latencies.saturating_record(time.as_micros() as u64);
    }
}

/// Returns an empty histogram of microseconds up to one minute.
pub(super) fn histogram() -> Histogram<u64> {
    // INVARIANT: the bounds and the number of digits are valid.
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid")
}
