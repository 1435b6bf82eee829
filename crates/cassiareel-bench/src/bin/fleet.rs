//! Measures membership in virtual time: convergence, bytes and processor time by fleet size.

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
    #[options(help = "number of seeds for each size", default = "5")]
    seeds: u64,
    #[options(help = "the largest number of nodes", default = "150")]
    largest: usize,
}

/// The measured numbers of nodes.
const SIZES: [usize; 5] = [6, 20, 50, 150, 380];

/// Time for which bytes and processor time are measured while nothing changes.
const TRAFFIC_WINDOW: Duration = Duration::from_secs(20);

/// Longest wait for a state.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// The result of one run. Times are in seconds, `None` if the state was not reached.
#[derive(Debug, Default)]
struct Row {
    /// Time until all nodes know each other.
    all_joined: Option<f64>,
    /// For each killed node, the time until no live node lists it.
    death_known: Vec<Option<f64>>,
    /// Time until all nodes know that one node has a new revision.
    revision_known: Option<f64>,
    /// Time after the end of a partition until all nodes know each other again.
    partition_healed: Option<f64>,
    /// Bytes sent by a node per second.
    bytes_per_second: f64,
    /// Processor time of a node, in percent of one core.
    core_percent: f64,
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
            let rows: Vec<Row> = seeds
                .map(|seed| {
                    measure(Setup {
                        nodes,
                        loss_probability: loss,
                        seed,
                    })
                })
                .collect();
            print_row(nodes, loss, &rows);
        }
    }
}

fn measure(setup: Setup) -> Row {
    let mut row = Row::default();
    let mut fleet = Fleet::start(setup);
    let all = setup.nodes - 1;
    let all_joined = move |f: &Fleet| (0..=all).all(|i| f.known_nodes(i) == Some(all));
    row.all_joined = time_until(&mut fleet, all_joined);
    let (sent, begun) = (fleet.sent_bytes.clone(), Instant::now());
    fleet.run_until(TRAFFIC_WINDOW, |_| false);
    let cpu_seconds = begun.elapsed().as_secs_f64();
    let bytes: u64 = fleet
        .sent_bytes
        .iter()
        .zip(&sent)
        .map(|(now, then)| now - then)
        .sum();
    let node_seconds = setup.nodes as f64 * TRAFFIC_WINDOW.as_secs_f64();
    row.bytes_per_second = bytes as f64 / node_seconds;
    row.core_percent = 100.0 * cpu_seconds / node_seconds;
    fleet.set_revision(0, 9);
    row.revision_known = time_until(&mut fleet, |f| f.nodes_missing_revision(0, 9) == 0);
    fleet.set_partitioned(true);
    fleet.run_until(Duration::from_secs(10), |_| false);
    fleet.set_partitioned(false);
    row.partition_healed = time_until(&mut fleet, all_joined);
    for index in 0..setup.nodes.min(6) / 3 {
        let dead = index * 2 + 1;
        fleet.kill(dead);
        row.death_known
            .push(time_until(&mut fleet, move |f| f.nodes_listing(dead) == 0));
        fleet.run_until(GOSSIP_PERIOD * 3, |_| false);
    }
    row
}

/// Returns the time until a condition holds, in seconds.
fn time_until<F>(fleet: &mut Fleet, until: F) -> Option<f64>
where
    F: Fn(&Fleet) -> bool,
{
    let start = fleet.now();
    let reached = fleet.run_until(MAX_WAIT, until);
    reached.then(|| (fleet.now() - start).as_secs_f64())
}

fn print_row(nodes: usize, loss: f64, rows: &[Row]) {
    let death_known: Vec<Option<f64>> = rows
        .iter()
        .flat_map(|row| row.death_known.clone())
        .collect();
    let format_max = |values: Vec<Option<f64>>| {
        let unreached = values.iter().filter(|v| v.is_none()).count();
        let max = values.iter().flatten().copied().fold(0.0, f64::max);
        match unreached {
            0 => format!("{max:.2}"),
            n => format!("{max:.2}, {n} not"),
        }
    };
    let mut sorted: Vec<f64> = death_known.iter().flatten().copied().collect();
    sorted.sort_by(f64::total_cmp);
    let median = sorted.get(sorted.len() / 2).copied().unwrap_or(f64::NAN);
    let mean = |of: fn(&Row) -> f64| rows.iter().map(of).sum::<f64>() / rows.len() as f64;
    println!(
        "{nodes:>5} {loss:>5} {:>9} {:>16} {:>10} {:>9} {:>10.0} {:>10.3}",
        format_max(rows.iter().map(|r| r.all_joined).collect()),
        format!("{median:.2}/{}", format_max(death_known)),
        format_max(rows.iter().map(|r| r.revision_known).collect()),
        format_max(rows.iter().map(|r| r.partition_healed).collect()),
        mean(|r| r.bytes_per_second),
        mean(|r| r.core_percent),
    );
}
