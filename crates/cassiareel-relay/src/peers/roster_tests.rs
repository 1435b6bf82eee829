//! One node reads the store, others in other data centres stand in, and all ask these.

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
        })
        .collect()
}

fn rosters(count: usize) -> Vec<Roster> {
    let fleet = fleet(count);
    let members = Arc::new(Members::new(fleet.clone()));
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
fn one_node_reads_first_and_all_agree_on_who_stands_in() {
    for count in [2, 6, 84] {
        let rosters = rosters(count);
        let mut turns: Vec<usize> = rosters
            .iter()
            .map(|roster| roster.reader_rank(NOW))
            .collect();
        turns.sort_unstable();
        let forwarders = count.min(4);
        assert_eq!(turns[..forwarders], [0, 1, 2, 3][..forwarders]);
        assert!(turns[forwarders..].iter().all(|turn| *turn == 4));
    }
}

#[test]
fn relays_lie_in_all_data_centres_and_all_ask_them() {
    let rosters = rosters(84);
    let forwarders: Vec<usize> = (0..84).filter(|i| rosters[*i].is_forwarder(NOW)).collect();
    let first = (0..84).find(|i| rosters[*i].reader_rank(NOW) == 0);
    let first = format!("n{}", first.expect("one reads first"));
    for data_centre in 0..3 {
        assert!(forwarders.iter().any(|i| i % 3 == data_centre));
    }
    for (i, roster) in rosters.iter().enumerate() {
        let (name, _) = roster.peer(NOW, false).expect("there are peers");
        let asked: usize = name[1..].parse().expect("a number");
        assert!(forwarders.contains(&asked));
        if forwarders.contains(&i) {
            assert!(name == first || roster.reader_rank(NOW) == 0);
        } else {
            assert_eq!(asked % 3, i % 3, "it asks in another data centre");
        }
    }
}

#[test]
fn peers_that_fall_silent_are_replaced_and_come_back() {
    let mut roster = rosters(84).remove(0);
    let mut asked = Vec::new();
    for _ in 0..10 {
        let (name, _) = roster.peer(NOW, false).expect("others take over");
        assert!(roster.exclude(&name, NOW));
        assert!(!asked.contains(&name));
        asked.push(name);
    }
    let later = NOW + Duration::from_secs(30);
    assert_eq!(
        roster.peer(later, false).map(|(name, _)| name),
        Some(asked[0].clone())
    );
    assert!(roster.readmit(&asked[0]));
}

/// A node that is gone for good stays in the list: it is asked less and less often.
#[test]
fn a_peer_that_never_answers_is_asked_less_and_less_often() {
    let mut roster = rosters(84).remove(0);
    let (gone, _) = roster.peer(NOW, false).expect("there are peers");
    let mut asked = 0;
    for tick in 0..1200 {
        let now = NOW + Duration::from_millis(100) * tick;
        if roster
            .peer(now, false)
            .is_some_and(|(name, _)| name == gone)
        {
            roster.exclude(&gone, now);
            asked += 1;
        }
    }
    assert!(asked <= 8, "{asked} times in two minutes");
}

/// The one after a first reader that is left out takes its turn.
#[test]
fn the_first_stand_in_takes_the_turn_of_a_reader_that_is_left_out() {
    let mut rosters = rosters(6);
    let first = rosters
        .iter()
        .position(|roster| roster.reader_rank(NOW) == 0);
    let second = rosters
        .iter()
        .position(|roster| roster.reader_rank(NOW) == 1);
    let first = format!("n{}", first.expect("one reads first"));
    let stand_in = &mut rosters[second.expect("one stands in")];
    stand_in.exclude(&first, NOW);
    assert_eq!(stand_in.reader_rank(NOW), 0);
}
