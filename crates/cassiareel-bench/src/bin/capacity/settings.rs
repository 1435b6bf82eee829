//! The cost of settings.

use std::{fmt::Write as _, hint::black_box, time::Instant};

use cassiareel::settings::{key_digest, Snapshot, Tree};
use cassiareel_bench::process;

use super::Figure;

/// Number of callers of each client account.
const CALLERS: usize = 10;

/// The figures of settings.
pub const FIGURES: [Figure; 4] = [
    Figure {
        name: "settings, bytes of TOML",
        unit: "bytes",
        per: "client account of 10 callers",
        sizes: &[200, 800, 1_700],
        run: |accounts| settings_toml(accounts).len() as f64,
    },
    Figure {
        name: "settings, time to read and put in force",
        unit: "us",
        per: "client account of 10 callers",
        sizes: &[200, 800, 1_700],
        run: time_to_apply,
    },
    Figure {
        name: "settings, resident memory in force",
        unit: "bytes",
        per: "client account of 10 callers",
        sizes: &[800, 1_700, 3_400],
        run: memory_per_snapshot,
    },
    Figure {
        name: "look-up of key and route, time of the request's thread",
        unit: "us",
        per: "look-up",
        sizes: &[50_000, 100_000, 200_000],
        run: look_up,
    },
];

/// Returns a tree with client accounts of ten callers each, six models and their backend servers.
fn settings_toml(accounts: usize) -> String {
    let mut toml = String::from("[regions.r.data_centres.d]\n");
    for model in 0..6 {
        // Writing to a string can't fail.
        let _ = writeln!(toml, "[services.m{model}]\nversion = \"v1\"");
        let servers: Vec<String> = (0..138)
            .map(|i| format!("\"10.{model}.0.{i}:80\""))
            .collect();
        let _ = writeln!(toml, "[services.m{model}.versions.v1.placements.d]");
        let _ = writeln!(toml, "servers = [{}]", servers.join(", "));
    }
    for account in 0..accounts {
        let _ = writeln!(toml, "[accounts.a{account}]\nservices = [\"m0\", \"m1\"]");
        for caller in 0..CALLERS {
            let digest = hex(&key_digest(&format!("{account}.{caller}")));
            let _ = writeln!(toml, "[accounts.a{account}.callers.c{caller}]");
            let _ = writeln!(toml, "keys.first = \"{digest}\"");
        }
    }
    toml
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn snapshot(text: &str) -> Snapshot {
    let tree: Tree = toml::from_str(text).expect("the text is a valid settings tree");
    Snapshot::new(1, tree)
}

fn time_to_apply(accounts: usize) -> f64 {
    let text = settings_toml(accounts);
    let start = Instant::now();
    black_box(snapshot(&text));
    start.elapsed().as_secs_f64() * 1e6
}

/// Number of snapshots in memory at a time, enough that parsing the text hardly counts.
const SNAPSHOTS: usize = 16;

fn memory_per_snapshot(accounts: usize) -> f64 {
    let tree: Tree =
        toml::from_str(&settings_toml(accounts)).expect("the text is a valid settings tree");
    let before = process::resident_bytes();
    let snapshots: Vec<Snapshot> = (0..SNAPSHOTS)
        .map(|_| Snapshot::new(1, tree.clone()))
        .collect();
    let after = process::resident_bytes();
    // Freed memory would be reused by the next run, which would then show no growth.
    std::mem::forget(black_box(snapshots));
    after.saturating_sub(before) as f64 / SNAPSHOTS as f64
}

fn look_up(count: usize) -> f64 {
    let snapshot = snapshot(&settings_toml(1_700));
    let start = Instant::now();
    for i in 0..count {
        let key = format!("{}.{}", i % 1_700, i % CALLERS);
        let identity = snapshot.identify(&key).expect("the key is known");
        black_box(snapshot.route(identity, "m1"));
    }
    start.elapsed().as_secs_f64() * 1e6
}
