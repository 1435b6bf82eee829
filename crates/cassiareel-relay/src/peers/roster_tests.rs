//! One node reads the store, nodes in other data centres are its standbys, and all others query
//! these.

use std::{sync::Arc, time::Duration};

use super::{members::Members, roster::Roster};
use crate::source::NodeRecord;

const NOW: Duration = Duration::from_secs(100);

fn fleet(count: usize) -> Vec<NodeRecord> {
    (0..count)
        .map(|i| NodeRecord {
            name: format!("n{i}"),
            address: ([10, 0, 0, i as u8], 7000).into(),
            data_centre: Arc::from(["a", "b", "c"][i % 3]),
            counts: Vec::new(),
            link_mbps: None,
        })
        .collect()
}

fn rosters(count: usize) -> Vec<Roster> {
    let fleet = fleet(count);
    let members = Arc::new(Members::new(fleet.clone(), 0));
    let roster = |node: &NodeRecord| {
        let mut roster = Roster::new(&node.name, &node.data_centre);
        roster.replace(members.clone());
        roster
    };
    fleet.iter().map(roster).collect()
}

#[test]
fn a_node_that_knows_nobody_reads_the_store() {
    assert_eq!(Roster::new("n1", &Arc::from("a")).reader_rank(NOW), 0);
}

#[test]
fn one_node_reads_first_and_all_agree_on_the_standbys() {
    for count in [2, 6, 84] {
        let rosters = rosters(count);
        let mut ranks: Vec<usize> = rosters
            .iter()
            .map(|roster| roster.reader_rank(NOW))
            .collect();
        ranks.sort_unstable();
        let forwarders = count.min(4);
        assert_eq!(ranks[..forwarders], [0, 1, 2, 3][..forwarders]);
        assert!(ranks[forwarders..].iter().all(|rank| *rank == 4));
    }
}

#[test]
fn forwarders_lie_in_all_data_centres_and_all_nodes_query_them() {
    let rosters = rosters(84);
    let forwarders: Vec<usize> = (0..84).filter(|i| rosters[*i].is_forwarder(NOW)).collect();
    let first = (0..84).find(|i| rosters[*i].reader_rank(NOW) == 0);
    let first = format!("n{}", first.expect("there is a first reader"));
    for data_centre in 0..3 {
        assert!(forwarders.iter().any(|i| i % 3 == data_centre));
    }
    for (i, roster) in rosters.iter().enumerate() {
        let (name, _) = roster.peer(NOW, false).expect("there are peers");
        let queried: usize = name[1..].parse().expect("a number");
        assert!(forwarders.contains(&queried));
        if forwarders.contains(&i) {
            assert!(name == first || roster.reader_rank(NOW) == 0);
        } else {
            assert_eq!(queried % 3, i % 3, "it queries another data centre");
        }
    }
}

#[test]
fn peers_that_fall_silent_are_replaced_and_come_back() {
    let mut roster = rosters(84).remove(0);
    let mut queried = Vec::new();
    for _ in 0..10 {
        let (name, _) = roster.peer(NOW, false).expect("others take over");
        assert!(roster.exclude(&name, NOW));
        assert!(!queried.contains(&name));
        queried.push(name);
    }
    let later = NOW + Duration::from_secs(30);
    assert_eq!(
        roster.peer(later, false).map(|(name, _)| name),
        Some(queried[0].clone())
    );
    assert!(roster.readmit(&queried[0]));
}

/// A node that is gone for good stays in the list: it is queried less and less often.
#[test]
fn a_peer_that_never_answers_is_queried_less_and_less_often() {
    let mut roster = rosters(84).remove(0);
    let (gone, _) = roster.peer(NOW, false).expect("there are peers");
    let mut queried = 0;
    for tick in 0..1200 {
        let now = NOW + Duration::from_millis(100) * tick;
        if roster
            .peer(now, false)
            .is_some_and(|(name, _)| name == gone)
        {
            roster.exclude(&gone, now);
            queried += 1;
        }
    }
    assert!(queried <= 8, "{queried} times in two minutes");
}

/// The node after an excluded first reader takes its rank.
#[test]
fn the_first_standby_replaces_an_excluded_reader() {
    let mut rosters = rosters(6);
    let first = rosters
        .iter()
        .position(|roster| roster.reader_rank(NOW) == 0);
    let second = rosters
        .iter()
        .position(|roster| roster.reader_rank(NOW) == 1);
    let first = format!("n{}", first.expect("there is a first reader"));
    let standby = &mut rosters[second.expect("there is a standby")];
    standby.exclude(&first, NOW);
    assert_eq!(standby.reader_rank(NOW), 0);
}
