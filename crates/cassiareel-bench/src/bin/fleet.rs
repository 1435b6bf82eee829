//! Measures membership in virtual time: convergence, bytes and processor time over fleet sizes.

use std::time::{Duration, Instant};

use cassiareel::kernel::membership::GOSSIP_PERIOD;
use cassiareel_bench::fleet::{Fleet, Setup};
use gumdrop::Options;

/// Measures membership in virtual time.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the first seed", default = "1")]
    first: u64,
    #[options(help = "seeds of each size", default = "5")]
    seeds: u64,
    #[options(help = "the largest fleet", default = "150")]
    largest: usize,
}

/// Sizes that are measured.
const SIZES: [usize; 5] = [6, 20, 50, 150, 380];

/// Time in which the fleet is left alone to count bytes.
const QUIET: Duration = Duration::from_secs(20);

/// The longest wait for a state.
const LIMIT: Duration = Duration::from_secs(60);

/// What one run showed; times in seconds, none where the state was not reached.
#[derive(Debug, Default)]
struct Row {
    joined: Option<f64>,
    dead: Vec<Option<f64>>,
    spread: Option<f64>,
    healed: Option<f64>,
    bytes: f64,
    cpu: f64,
}

fn main() {
    let args = Args::parse_args_default_or_exit();
    println!(
        "{:>5} {:>5} {:>9} {:>16} {:>10} {:>9} {:>10} {:>10}",
        "nodes", "loss", "joined s", "dead s p50/max", "spread s", "healed s", "bytes/s", "core %"
    );
    for loss in [0.0, 0.05] {
        for nodes in SIZES.into_iter().filter(|n| *n <= args.largest) {
            let seeds = args.first..args.first + args.seeds;
            let rows: Vec<Row> = seeds.map(|seed| row(Setup { nodes, loss, seed })).collect();
            print(nodes, loss, &rows);
        }
    }
}

fn row(setup: Setup) -> Row {
    let mut row = Row::default();
    let mut fleet = Fleet::start(setup);
    let all = setup.nodes - 1;
    let joined = move |f: &Fleet| (0..=all).all(|i| f.others(i) == Some(all));
    row.joined = seconds(&mut fleet, joined);
    let (sent, begun) = (fleet.sent.clone(), Instant::now());
    fleet.run(QUIET, |_| false);
    let spent = begun.elapsed().as_secs_f64();
    let bytes: u64 = fleet
        .sent
        .iter()
        .zip(&sent)
        .map(|(now, then)| now - then)
        .sum();
    let node_seconds = setup.nodes as f64 * QUIET.as_secs_f64();
    row.bytes = bytes as f64 / node_seconds;
    row.cpu = 100.0 * spent / node_seconds;
    fleet.enforce(0, 9);
    row.spread = seconds(&mut fleet, |f| f.without(0, 9) == 0);
    fleet.split(true);
    fleet.run(Duration::from_secs(10), |_| false);
    fleet.split(false);
    row.healed = seconds(&mut fleet, joined);
    for dead in 0..setup.nodes.min(6) / 3 {
        let dead = dead * 2 + 1;
        fleet.kill(dead);
        row.dead
            .push(seconds(&mut fleet, move |f| f.holding(dead) == 0));
        fleet.run(GOSSIP_PERIOD * 3, |_| false);
    }
    row
}

/// The time until a condition holds.
fn seconds<F>(fleet: &mut Fleet, until: F) -> Option<f64>
where
    F: Fn(&Fleet) -> bool,
{
    let start = fleet.now();
    let reached = fleet.run(LIMIT, until);
    reached.then(|| (fleet.now() - start).as_secs_f64())
}

fn print(nodes: usize, loss: f64, rows: &[Row]) {
    let dead: Vec<Option<f64>> = rows.iter().flat_map(|row| row.dead.clone()).collect();
    let most = |values: Vec<Option<f64>>| {
        let unreached = values.iter().filter(|v| v.is_none()).count();
        let most = values.iter().flatten().copied().fold(0.0, f64::max);
        match unreached {
            0 => format!("{most:.2}"),
            n => format!("{most:.2}, {n} not"),
        }
    };
    let mut sorted: Vec<f64> = dead.iter().flatten().copied().collect();
    sorted.sort_by(f64::total_cmp);
    let middle = sorted.get(sorted.len() / 2).copied().unwrap_or(f64::NAN);
    let mean = |of: fn(&Row) -> f64| rows.iter().map(of).sum::<f64>() / rows.len() as f64;
    println!(
        "{nodes:>5} {loss:>5} {:>9} {:>16} {:>10} {:>9} {:>10.0} {:>10.3}",
        most(rows.iter().map(|r| r.joined).collect()),
        format!("{middle:.2}/{}", most(dead)),
        most(rows.iter().map(|r| r.spread).collect()),
        most(rows.iter().map(|r| r.healed).collect()),
        mean(|r| r.bytes),
        mean(|r| r.cpu),
    );
}
