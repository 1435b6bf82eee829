//! The example trees are right, and of the sizes that they stand for.

use std::{collections::BTreeSet, fs, path::Path};

use cassiareel::settings::{Draft, Snapshot, Tree};
use test_case::test_case;

#[derive(Clone, Copy)]
struct Case {
    file: &'static str,
    data_centres: usize,
    model: (&'static str, usize),
    plain: (&'static str, usize),
    /// A path that may not be called twice, and one that may.
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
fn an_example_is_a_whole_tree(case: Case) {
    let tree = read(case.file);
    let places: usize = tree.regions.values().map(|r| r.data_centres.len()).sum();
    assert_eq!(places, case.data_centres);
    for (service, count) in [case.model, case.plain] {
        assert_eq!(runners(&tree, service), count);
    }
    assert_eq!(tree.accounts.len(), 10);
    let snapshot = Snapshot::new(1, tree);
    let (once, twice) = case.paths;
    assert!(!snapshot.is_idempotent(case.plain.0, once));
    assert!(snapshot.is_idempotent(case.plain.0, twice));
}

fn read(file: &str) -> Tree {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let text = fs::read_to_string(path.join(file)).expect("the example is there");
    Draft::parse(&text)
        .unwrap_or_else(|err| panic!("{err}"))
        .tree
}

fn runners(tree: &Tree, service: &str) -> usize {
    let servers: BTreeSet<_> = tree.services[service]
        .versions
        .values()
        .flat_map(|version| version.placements.values())
        .flat_map(|placement| &placement.servers)
        .collect();
    servers.len()
}
