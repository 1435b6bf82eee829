//! What callers ask for.

use std::time::Duration;

use cassiareel::kernel::Time;

/// One request.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub(super) arrival: Time,
    pub(super) account: usize,
    pub(super) caller: usize,
    pub(super) node: usize,
    pub(super) blocks: Vec<u64>,
    pub(super) prompt: u32,
    pub(super) output: u32,
    pub(super) max_output: u32,
}

/// How demand is spread over accounts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Demand {
    /// Each account asks for as much.
    Even,
    /// The first account asks for so many times as much as each other.
    FirstAccount(f64),
}

/// The load of a run.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Requests a second, on average.
    pub rate: f64,
    /// How long requests come.
    pub duration: Duration,
    /// Client accounts.
    pub accounts: usize,
    /// Callers of each account; the first asks for ten times as much as each other.
    pub callers: usize,
    /// How demand is spread over accounts.
    pub demand: Demand,
    /// Distinct prefixes, by Zipf's law with exponent 1.
    pub prefixes: usize,
    /// Nodes that requests arrive at.
    pub nodes: usize,
}

/// Tokens of a block.
const BLOCK_TOKENS: u32 = 16;
/// Shortest and longest prefix, in blocks.
const PREFIX_BLOCKS: (u32, u32) = (32, 96);
/// Shortest and longest rest of a prompt, in tokens.
const SUFFIX_TOKENS: (u32, u32) = (32, 256);
/// Shortest and longest answer of most requests, in tokens.
const SHORT_OUTPUT: (u32, u32) = (20, 220);
/// Shortest and longest answer of long requests, in tokens.
const LONG_OUTPUT: (u32, u32) = (800, 1_600);
/// Part of the requests that are long.
const LONG_SHARE: f64 = 0.09;
/// Length of a burst and of the calm before it.
const BURST_DURATION: Duration = Duration::from_secs(1);
const CALM_DURATION: Duration = Duration::from_secs(5);
/// Rate in a burst over the rate in a calm.
const BURST_FACTOR: f64 = 2.0;

impl Workload {
    /// Draws the requests, in the order of their arrival.
    pub(super) fn generate(&self, seed: u64) -> Vec<Call> {
        let mut rng = fastrand::Rng::with_seed(seed);
        let zipf = Zipf::new(self.prefixes);
        let lengths: Vec<u32> = (0..self.prefixes)
            .map(|_| rng.u32(PREFIX_BLOCKS.0..=PREFIX_BLOCKS.1))
            .collect();
        let cycle = (BURST_DURATION + CALM_DURATION).as_secs_f64();
        let calm = self.rate * cycle
            / (CALM_DURATION.as_secs_f64() + BURST_FACTOR * BURST_DURATION.as_secs_f64());
        let mut calls = Vec::new();
        let mut at = 0.0;
        loop {
            let burst = at % cycle > CALM_DURATION.as_secs_f64();
            let rate = if burst { calm * BURST_FACTOR } else { calm };
            at -= (1.0 - rng.f64()).ln() / rate;
            if at > self.duration.as_secs_f64() {
                return calls;
            }
            let prefix = zipf.draw(&mut rng);
            let shared = lengths[prefix];
            let suffix = rng.u32(SUFFIX_TOKENS.0..=SUFFIX_TOKENS.1);
            let own_blocks = suffix / BLOCK_TOKENS;
            let mut blocks: Vec<u64> = (0..shared)
                .map(|i| block_hash(prefix as u64, u64::from(i)))
                .collect();
            let name = rng.u64(..);
            blocks.extend((0..own_blocks).map(|i| block_hash(name, u64::from(i))));
            let long = rng.f64() < LONG_SHARE;
            let (min, max) = if long { LONG_OUTPUT } else { SHORT_OUTPUT };
            let output = rng.u32(min..=max);
            calls.push(Call {
                arrival: Duration::from_secs_f64(at),
                account: self.account(&mut rng),
                caller: self.caller(&mut rng),
                node: rng.usize(0..self.nodes),
                blocks,
                prompt: shared * BLOCK_TOKENS + suffix,
                output,
                max_output: max,
            });
        }
    }

    fn account(&self, rng: &mut fastrand::Rng) -> usize {
        let first = match self.demand {
            Demand::Even => 1.0,
            Demand::FirstAccount(factor) => factor,
        };
        pick_weighted(rng, first, self.accounts)
    }

    fn caller(&self, rng: &mut fastrand::Rng) -> usize {
        pick_weighted(rng, 10.0, self.callers)
    }
}

/// Draws one of `count`, of which the first has a weight of its own and the others 1.
fn pick_weighted(rng: &mut fastrand::Rng, first: f64, count: usize) -> usize {
    let drawn = rng.f64() * (first + count as f64 - 1.0);
    if drawn < first {
        0
    } else {
        1 + ((drawn - first) as usize).min(count - 2)
    }
}

/// A hash that is not 0.
fn block_hash(name: u64, i: u64) -> u64 {
    let mixed = (name ^ i.wrapping_mul(0xD6E8_FEB8_6659_FD93)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    (mixed ^ (mixed >> 29)) | 1
}

/// Zipf's law with exponent 1.
struct Zipf {
    sums: Vec<f64>,
}

impl Zipf {
    fn new(count: usize) -> Zipf {
        let sums = (1..=count)
            .scan(0.0, |sum, rank| {
                *sum += 1.0 / rank as f64;
                Some(*sum)
            })
            .collect();
        Zipf { sums }
    }

    fn draw(&self, rng: &mut fastrand::Rng) -> usize {
        let drawn = rng.f64() * self.sums[self.sums.len() - 1];
        self.sums
            .partition_point(|&sum| sum < drawn)
            .min(self.sums.len() - 1)
    }
}
