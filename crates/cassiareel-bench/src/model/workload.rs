//! The requests of callers.

use std::time::Duration;

use cassiareel::kernel::Time;

/// A request.
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

/// The distribution of demand over client accounts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Demand {
    /// All accounts send the same amount.
    Even,
    /// The first account sends this many times as much as each other account.
    FirstAccount(f64),
}

/// The load of a run.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Mean number of requests per second.
    pub rate: f64,
    /// Time during which requests arrive.
    pub duration: Duration,
    /// Number of client accounts.
    pub accounts: usize,
    /// Number of callers of each account; the first sends ten times as much as each other caller.
    pub callers: usize,
    /// The distribution of demand over client accounts.
    pub demand: Demand,
    /// Number of distinct prefixes, drawn from a Zipf distribution with exponent 1.
    pub prefixes: usize,
    /// Number of nodes, at which requests arrive uniformly.
    pub nodes: usize,
}

/// Tokens in a block.
const BLOCK_TOKENS: u32 = 16;
/// Range of the length of a shared prefix, in blocks.
const PREFIX_BLOCKS: (u32, u32) = (32, 96);
/// Range of the length of a prompt after its prefix, in tokens.
const SUFFIX_TOKENS: (u32, u32) = (32, 256);
/// Range of the length of a short answer, in tokens.
const SHORT_OUTPUT: (u32, u32) = (20, 220);
/// Range of the length of a long answer, in tokens.
const LONG_OUTPUT: (u32, u32) = (800, 1_600);
/// Fraction of the requests that have a long answer.
const LONG_SHARE: f64 = 0.09;
/// Duration of a burst and of the calm period before it.
const BURST_DURATION: Duration = Duration::from_secs(1);
const CALM_DURATION: Duration = Duration::from_secs(5);
/// Request rate in a burst divided by that in a calm period.
const BURST_FACTOR: f64 = 2.0;

impl Workload {
    /// Generates the requests in the order of their arrival.
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

/// Draws an index below `count`; index 0 has the weight `first`, the others 1.
fn pick_weighted(rng: &mut fastrand::Rng, first: f64, count: usize) -> usize {
    let drawn = rng.f64() * (first + count as f64 - 1.0);
    if drawn < first {
        0
    } else {
        1 + ((drawn - first) as usize).min(count - 2)
    }
}

/// Returns the hash of a block, which is never 0.
fn block_hash(name: u64, i: u64) -> u64 {
    let mixed = (name ^ i.wrapping_mul(0xD6E8_FEB8_6659_FD93)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    (mixed ^ (mixed >> 29)) | 1
}

/// A Zipf distribution with exponent 1, as cumulative weights.
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
