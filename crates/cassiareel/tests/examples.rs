//! Tests that the example settings trees are valid and have the expected sizes.

use std::{collections::BTreeSet, fs, path::Path};

use cassiareel::settings::{Draft, Snapshot, Tree};
use test_case::test_case;

#[derive(Clone, Copy)]
struct Case {
    file: &'static str,
    data_centres: usize,
    model: (&'static str, usize),
    plain: (&'static str, usize),
    /// A path that is not idempotent, and one that is.
    paths: (&'static str, &'static str),
}

const ZRINSKI: Case = Case {
    file: "zrinski.toml",
    data_centres: 3,
    model: ("dedication", 36),
    plain: ("engraving", 3),
    paths: ("/orders", "/status/7"),
};

const BANGKOK: Case = Case {
    file: "bangkok.toml",
    data_centres: 4,
    model: ("summary", 36),
    plain: ("shift-desk", 4),
    paths: ("/stamps", "/entries/7"),
};

#[test_case(ZRINSKI)]
#[test_case(BANGKOK)]
fn example_is_a_valid_tree(case: Case) {
    let tree = read(case.file);
    let data_centres: usize = tree.regions.values().map(|r| r.data_centres.len()).sum();
    assert_eq!(data_centres, case.data_centres);
    for (service, count) in [case.model, case.plain] {
        assert_eq!(server_count(&tree, service), count);
    }
    assert_eq!(tree.accounts.len(), 10);
    let snapshot = Snapshot::new(1, tree);
    let (non_idempotent, idempotent) = case.paths;
    assert!(!snapshot.is_idempotent(case.plain.0, non_idempotent));
    assert!(snapshot.is_idempotent(case.plain.0, idempotent));
}

fn read(file: &str) -> Tree {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let text = fs::read_to_string(path.join(file)).expect("the example exists");
    Draft::parse(&text)
        .unwrap_or_else(|err| panic!("{err}"))
        .tree
}

fn server_count(tree: &Tree, service: &str) -> usize {
    let servers: BTreeSet<_> = tree.services[service]
        .versions
        .values()
        .flat_map(|version| version.placements.values())
        .flat_map(|placement| &placement.servers)
        .collect();
    servers.len()
}
