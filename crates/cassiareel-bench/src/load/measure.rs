//! The measurements.

use std::{io, thread, time::Duration};

use cassiareel::runtime::Runtime;
use hdrhistogram::Histogram;

use super::{
    figures::{Burst, FirstToken, Load, Memory, Spread},
    run_streams,
    streams::stream,
    Arms, Ask, Way,
};
use crate::process;

/// How much is sent.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Streams side by side.
    pub streams: usize,
    /// Tokens of each.
    pub tokens: u32,
    /// Rounds; the ways take turns in each.
    pub rounds: u32,
    /// Time between the beginnings of streams that run side by side.
    pub pause: Duration,
    /// Single requests in the measurement of the first token.
    pub singles: u32,
}

/// Threads of the callers.
const CALLERS: usize = 3;
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
const REST: Duration = Duration::from_millis(500);

/// Measures the time to the first token of single requests, the ways taking turns.
///
/// # Errors
///
/// Fails when no port can be bound.
pub fn first_token(plan: &Plan) -> io::Result<FirstToken> {
    let arms = Arms::start(SHORT_STEP, 1)?;
    let callers = Runtime::new("callers", CALLERS);
    let mut spreads = [Spread::default(), Spread::default(), Spread::default()];
    for i in 0..plan.singles {
        for (way, spread) in Way::ALL.into_iter().zip(&mut spreads) {
            let ask = Ask {
                prompt: format!("single {i}"),
                tokens: 2,
            };
            let got = run_streams(&callers, arms.arm(way), vec![ask], Duration::ZERO);
            spread.add(got[0].first);
            spread.lost += u64::from(!got[0].whole);
        }
    }
    let [direct, relay, node] = spreads;
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
pub fn load(plan: &Plan) -> io::Result<Load> {
    let arms = Arms::start(STEP, 1)?;
    let mut load = Load::default();
    for round in 0..plan.rounds {
        // The same streams go each way, the direct one first: an answer's own longest gap, where a
        // character takes several tokens, is no stall.
        let mut own = vec![STEP; plan.streams];
        for way in Way::ALL {
            let measured = side_by_side(&arms, way, plan, round);
            let arm = load.arm(way);
            arm.cpu += measured.cpu;
            arm.tokens += measured.tokens;
            for (got, own) in measured.got.into_iter().zip(&mut own) {
                arm.lost += u64::from(!got.whole);
                let longest = got.gaps.iter().max().copied().unwrap_or_default();
                match way {
                    Way::Direct => *own = longest,
                    Way::Relay | Way::Node => arm.stalls.add(longest.saturating_sub(*own)),
                }
                got.gaps.into_iter().for_each(|gap| arm.gaps.add(gap));
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
pub fn burst(plan: &Plan) -> io::Result<Burst> {
    let arms = Arms::start(STEP * BURST, BURST)?;
    let mut burst = Burst::default();
    for round in 0..plan.rounds {
        for way in Way::ALL {
            let measured = side_by_side(&arms, way, plan, round);
            let arm = burst.arm(way);
            arm.cpu += measured.cpu;
            arm.tokens += measured.tokens;
            arm.lost += measured.got.iter().filter(|got| !got.whole).count() as u64;
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
pub fn memory(plan: &Plan) -> io::Result<Memory> {
    let arms = Arms::start(LONG_STEP, 1)?;
    let callers = Runtime::new("callers", CALLERS);
    // A first stream each way brings up what is there once for all.
    for way in Way::ALL {
        let ask = Ask {
            prompt: "first".to_owned(),
            tokens: 1,
        };
        run_streams(&callers, arms.arm(way), vec![ask], Duration::ZERO);
    }
    let mut open = Vec::new();
    let mut bytes = Vec::new();
    for way in Way::ALL {
        thread::sleep(REST);
        let before = process::resident();
        for i in 0..plan.streams {
            let ask = Ask {
                prompt: format!("open {way:?} {i}"),
                tokens: 1_000,
            };
            open.push(callers.spawn(stream(arms.arm(way), ask)));
        }
        // Two steps later every stream has had tokens.
        thread::sleep(LONG_STEP * 2 + REST);
        if arms.engine.running() != open.len() {
            let words = format!("{} of {} streams run", arms.engine.running(), open.len());
            return Err(io::Error::other(words));
        }
        let grown = process::resident().saturating_sub(before);
        bytes.push(grown as f64 / plan.streams as f64);
    }
    Ok(Memory {
        direct: bytes[0],
        relay: bytes[1],
        node: bytes[2],
    })
}

/// What streams side by side came to.
struct Measured {
    cpu: Duration,
    tokens: u64,
    got: Vec<super::Got>,
}

fn side_by_side(arms: &Arms, way: Way, plan: &Plan, round: u32) -> Measured {
    let callers = Runtime::new("callers", CALLERS);
    thread::sleep(REST);
    let cpu = process::cpu();
    let tokens = arms.engine.stats().tokens;
    let asks = (0..plan.streams)
        .map(|i| Ask {
            prompt: format!("round {round}, stream {i}"),
            tokens: plan.tokens,
        })
        .collect();
    let got = run_streams(&callers, arms.arm(way), asks, plan.pause);
    Measured {
        cpu: process::cpu() - cpu,
        tokens: arms.engine.stats().tokens - tokens,
        got,
    }
}

impl Spread {
    fn add(&mut self, time: Duration) {
        self.times.saturating_record(time.as_micros() as u64);
    }
}

/// An empty histogram of microseconds up to a minute.
pub(super) fn histogram() -> Histogram<u64> {
    // INVARIANT: the bounds and the count of digits are valid.
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid")
}
