//! The cost of settings: the policy of a request, and the steps of an edit of a large tree.

use std::{fmt::Write, hint::black_box};

use cassiareel::settings::{diff, key_digest, split_into_parts, Draft, Scope, Snapshot};
use criterion::{criterion_group, criterion_main, Criterion};

/// Number of client accounts that the design is meant for.
const ACCOUNTS: usize = 1_700;

/// Number of callers of each account but the largest.
const CALLERS: usize = 5;

/// Number of callers of the largest account, a reseller.
const RESELLER_CALLERS: usize = 1_000;

/// Returns a tree of about 830 backend servers, six models and 1,700 accounts, of which one is a
/// reseller with 1,000 callers.
fn settings_toml() -> String {
    let mut toml = String::from(
        "[policies.small.limits]\nrequests = \"5/s\"\n[regions.r.data_centres.d]\n\
         policy.time.queue = \"3s\"\n",
    );
    for model in 0..6 {
        let servers: Vec<String> = (0..138)
            .map(|i| format!("\"10.{model}.0.{i}:80\""))
            .collect();
        // Writing to a string can't fail.
        let _ = writeln!(
            toml,
            "[services.m{model}]\nversion = \"v1\"\npolicy.time.connect = \"2s\""
        );
        let _ = writeln!(toml, "[services.m{model}.versions.v1.placements.d]");
        let _ = writeln!(toml, "servers = [{}]", servers.join(", "));
    }
    for account in 0..ACCOUNTS {
        let callers = if account == 0 {
            RESELLER_CALLERS
        } else {
            CALLERS
        };
        let _ = writeln!(toml, "[accounts.a{account}]\nservices = [\"m0\", \"m1\"]");
        let _ = writeln!(
            toml,
            "policy.base = \"small\"\npolicy.limits.open_requests = 50"
        );
        for caller in 0..callers {
            let digest = key_digest(&format!("{account}.{caller}"));
            let digest: String = digest.iter().map(|b| format!("{b:02x}")).collect();
            let _ = writeln!(toml, "[accounts.a{account}.callers.c{caller}]");
            let _ = writeln!(toml, "keys.first = \"{digest}\"");
        }
    }
    toml
}

fn measure(c: &mut Criterion) {
    let text = settings_toml();
    let tree = Draft::parse(&text).expect("the settings are valid").tree;
    let canonical = tree.to_toml();
    println!("text of the tree: {} bytes", canonical.len());
    let mut edited = tree.clone();
    edited.platform.name = "edited".to_owned();
    let snapshot = Snapshot::new(1, tree.clone());
    let scope = Scope {
        data_centre: Some("d"),
        service: Some("m0"),
        version: Some("v1"),
        placement: Some("d"),
        account: Some("a0"),
        caller: Some("c500"),
        ..Scope::default()
    };
    c.bench_function("policy of a request", |b| {
        b.iter(|| snapshot.policy(black_box(&scope)));
    });
    c.bench_function("key of a caller", |b| {
        b.iter(|| snapshot.identify(black_box("a key")));
    });
    let mut slow = c.benchmark_group("tree");
    slow.sample_size(10);
    slow.bench_function("parse and check", |b| {
        b.iter(|| Draft::parse(black_box(&canonical)));
    });
    slow.bench_function("put in force", |b| {
        b.iter(|| Snapshot::new(1, black_box(&tree).clone()));
    });
    slow.bench_function("compare", |b| b.iter(|| diff(&tree, black_box(&edited))));
    slow.bench_function("write and cut into parts", |b| {
        b.iter(|| split_into_parts(&black_box(&tree).to_toml()).len());
    });
    slow.finish();
}

criterion_group!(benches, measure);
criterion_main!(benches);
