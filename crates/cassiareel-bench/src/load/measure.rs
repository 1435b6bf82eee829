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

/// How much is sent.
#[derive(Clone, Copy, Debug)]
pub struct LoadPlan {
    /// Streams side by side.
    pub streams: usize,
    /// Tokens of each.
    pub tokens: u32,
    /// Rounds; the ways take turns in each.
    pub rounds: u32,
    /// Time between the beginnings of streams that run side by side.
    pub start_interval: Duration,
    /// Single requests in the measurement of the first token.
    pub single_requests: u32,
}

/// Threads of the callers.
const CALLER_THREADS: usize = 3;
/// A step of the engine while streams run side by side: 25 tokens a second, a little faster than
/// the 42 ms between tokens that 95 in 100 of the fleet's users see.
const STEP: Duration = Duration::from_millis(40);
/// A step of the engine while single requests run.
const SHORT_STEP: Duration = Duration::from_millis(5);
/// A step of the engine while memory is read: so long that little else happens.
const LONG_STEP: Duration = Duration::from_secs(2);
/// Tokens that come together in a burst.
const BURST: u32 = 16;
/// Time for a process to come to rest.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Measures the time to the first token of single requests, the ways taking turns.
///
/// # Errors
///
/// Fails when no port can be bound.
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

/// Measures streams side by side: processor time, times between tokens and stalls.
///
/// # Errors
///
/// Fails when no port can be bound.
pub fn load(plan: &LoadPlan) -> io::Result<Load> {
    let testbed = Testbed::start(STEP, 1)?;
    let mut load = Load::default();
    for round in 0..plan.rounds {
        // The same streams go each way, the direct one first: an answer's own longest gap, where a
        // character takes several tokens, is no stall.
        let mut direct_longest = vec![STEP; plan.streams];
        for call_path in CallPath::ALL {
            let measured = side_by_side(&testbed, call_path, plan, round);
            let cost = load.cost_mut(call_path);
            cost.cpu += measured.cpu;
            cost.tokens += measured.tokens;
            for (result, direct_longest) in measured.results.into_iter().zip(&mut direct_longest) {
                cost.incomplete += u64::from(!result.complete);
                let longest = result.gaps.iter().max().copied().unwrap_or_default();
                match call_path {
                    CallPath::Direct => *direct_longest = longest,
                    CallPath::Relay | CallPath::Node => {
                        cost.stalls.add(longest.saturating_sub(*direct_longest))
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
/// Fails when no port can be bound.
pub fn burst(plan: &LoadPlan) -> io::Result<Burst> {
    let testbed = Testbed::start(STEP * BURST, BURST)?;
    let mut burst = Burst::default();
    for round in 0..plan.rounds {
        for call_path in CallPath::ALL {
            let measured = side_by_side(&testbed, call_path, plan, round);
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

/// Measures the resident memory of open streams, each way's beside those opened before, so that no
/// memory that was given back is used again.
///
/// # Errors
///
/// Fails when no port can be bound.
pub fn memory(plan: &LoadPlan) -> io::Result<Memory> {
    let testbed = Testbed::start(LONG_STEP, 1)?;
    let callers = Runtime::new("callers", CALLER_THREADS);
    // A first stream each way brings up what is there once for all.
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
        // Two steps later every stream has had tokens.
        thread::sleep(LONG_STEP * 2 + SETTLE_TIME);
        if testbed.engine.running() != open_streams.len() {
            let message = format!(
                "{} of {} streams run",
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

/// What streams side by side came to.
struct Measured {
    cpu: Duration,
    tokens: u64,
    results: Vec<super::StreamResult>,
}

fn side_by_side(testbed: &Testbed, call_path: CallPath, plan: &LoadPlan, round: u32) -> Measured {
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

/// An empty histogram of microseconds up to a minute.
pub(super) fn histogram() -> Histogram<u64> {
    // INVARIANT: the bounds and the count of digits are valid.
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid")
}
