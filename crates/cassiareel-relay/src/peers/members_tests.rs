//! The list of a fleet's nodes across restores of the store.

use std::{sync::Arc, time::Duration};

use test_case::test_case;

use super::{members::Members, StoreCache};
use crate::source::NodeRecord;

fn record(name: &str, port: u16) -> NodeRecord {
    NodeRecord {
        name: name.to_owned(),
        address: ([127, 0, 0, 1], port).into(),
        data_centre: Arc::from("z-a"),
        counts: Vec::new(),
        link_mbps: None,
    }
}

/// The names of the nodes in each list that is read, with the list's era, and what is in use then.
struct Case {
    lists: &'static [(u64, &'static [&'static str])],
    nodes: &'static [&'static str],
    lost: &'static [&'static str],
}

#[test_case(&Case { lists: &[(0, &["a", "b"]), (0, &["a"])], nodes: &["a"], lost: &[] }; "removed in the era")]
#[test_case(&Case { lists: &[(0, &["a", "b"]), (1, &["a"])], nodes: &["a", "b"], lost: &["b"] }; "lost")]
#[test_case(&Case { lists: &[(0, &["a", "b"]), (1, &[])], nodes: &["a", "b"], lost: &["a", "b"] }; "all lost")]
#[test_case(&Case { lists: &[(0, &["a", "b"]), (1, &["a"]), (1, &["a"])], nodes: &["a", "b"], lost: &["b"] }; "lost for long")]
#[test_case(&Case { lists: &[(0, &["a", "b"]), (1, &["a"]), (1, &["a", "b"])], nodes: &["a", "b"], lost: &[] }; "written again")]
#[test_case(&Case { lists: &[(0, &["a", "b"]), (1, &["a"]), (1, &["a", "b"]), (1, &["a"])], nodes: &["a"], lost: &[] }; "written again and removed")]
#[test_case(&Case { lists: &[(0, &["a", "b", "c"]), (1, &["a", "b"]), (2, &["a"])], nodes: &["a", "b", "c"], lost: &["b", "c"] }; "two restores")]
#[test_case(&Case { lists: &[(0, &["a"]), (1, &["a", "b"])], nodes: &["a", "b"], lost: &[] }; "a new node")]
fn a_restore_removes_no_node(case: &Case) {
    let list = |(era, names): &(u64, &'static [&'static str])| {
        let port = |name: &str| u16::from(name.as_bytes()[0]);
        let records = names.iter().map(|name| record(name, port(name)));
        Arc::new(Members::new(records.collect(), *era))
    };
    let lists = case.lists.iter().map(list);
    let last = lists.reduce(|known, read| read.keep_lost(&known));
    let last = last.expect("there is a list");
    let mut nodes: Vec<&str> = last.records.iter().map(|node| &*node.name).collect();
    nodes.sort_unstable();
    let lost: Vec<&str> = last.lost.iter().map(|name| &**name).collect();
    assert_eq!((nodes, lost), (case.nodes.to_vec(), case.lost.to_vec()));
}

/// A node of another name that has the address of a lost one is its successor.
#[test]
fn a_lost_node_does_not_share_its_address() {
    let known = Members::new(vec![record("a", 1), record("b", 2)], 0);
    let read = Arc::new(Members::new(vec![record("a", 1), record("c", 2)], 1));
    let nodes = read.keep_lost(&known).records.len();
    assert_eq!(nodes, 2);
}

/// A VM that is gone for good leaves the list some time after the restore that lost its record.
#[test]
fn a_node_that_does_not_write_its_record_again_is_dropped() {
    let cache = StoreCache::new("a", &Arc::from("z-a"));
    let nodes_after = |era: u64, names: &[&str], seconds: u64| {
        let records = names.iter().zip(1..).map(|(name, port)| record(name, port));
        let list = Arc::new(Members::new(records.collect(), era));
        cache.update_members(list, Duration::from_secs(seconds));
        cache.members.get().map(|(list, _)| list.records.len())
    };
    assert_eq!(nodes_after(0, &["a", "b"], 100), Some(2));
    assert_eq!(nodes_after(1, &["a"], 110), Some(2));
    assert_eq!(nodes_after(1, &["a"], 150), Some(2));
    assert_eq!(nodes_after(1, &["a"], 171), Some(1));
}
