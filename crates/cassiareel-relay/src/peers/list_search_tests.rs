//! Whom a node without lists asks, and who is sent to whom.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::{
    list_search::{ListAnswer, ListSearch},
    list_server::{ListServer, ListsRequest, Place},
};
use crate::model::DataCentre;

const NOW: Duration = Duration::from_secs(50);

fn address(i: u8) -> SocketAddr {
    ([10, 0, 0, i], 7000).into()
}

fn request(i: u8, data_centre: &str) -> ListsRequest {
    ListsRequest {
        address: address(i),
        data_centre: Arc::from(data_centre),
    }
}

/// Nodes that wait for each other would all wait: a node without lists is asked again after a pause,
/// also where all nodes start.
#[test]
fn a_peer_without_lists_is_never_waited_for() {
    let peers = [address(1), address(2), address(3)];
    let mut search = ListSearch::default();
    let mut asked = Vec::new();
    for _ in 0..12 {
        asked.extend(search.next(&peers));
        let pause = search.record(ListAnswer::Empty);
        assert!(!pause.is_zero() && pause <= Duration::from_millis(300));
    }
    let near = asked.iter().filter(|peer| **peer == peers[0]).count();
    assert!(near >= 9, "{asked:?}");
    assert!(peers.iter().all(|peer| asked.contains(peer)), "{asked:?}");
}

/// Two busy nodes that name each other must not be asked in turn without a pause.
#[test]
fn nodes_that_name_each_other_are_asked_once() {
    let mut search = ListSearch::default();
    let peers = [address(1)];
    for named in [vec![address(2)], vec![address(1), address(2)]] {
        assert!(search.next(&peers).is_some());
        search.record(ListAnswer::Busy(named));
    }
    assert!(!search.record(ListAnswer::Busy(vec![])).is_zero());
    assert_eq!(search.next(&peers), Some(address(1)));
    assert_eq!(search.next(&[]), None);
}

/// A busy node names those that have got its lists, those near the querying node first.
#[test]
fn a_busy_node_names_others() {
    let centre: DataCentre = Arc::from("a");
    let own = Place {
        data_centre: &centre,
        link_mbps: None,
    };
    let mut server = ListServer::default();
    server.note_size(100_000);
    let mut now = NOW;
    for (i, data_centre) in [(1, "a"), (2, "b"), (3, "a"), (4, "b")] {
        assert_eq!(server.admit(&request(i, data_centre), own, now), Ok(()));
        assert!(server.admit(&request(9, "a"), own, now).is_err());
        now += Duration::from_millis(400);
    }
    // Nodes of another data centre are sent to those that have the lists there.
    let named = server
        .admit(&request(5, "b"), own, now)
        .expect_err("two are near");
    assert_eq!(named.len(), 2);
    assert!([address(2), address(4)]
        .iter()
        .all(|node| named.contains(node)));
    assert_eq!(server.admit(&request(6, "a"), own, now), Ok(()));
    let named = server
        .admit(&request(7, "a"), own, now)
        .expect_err("the link is busy");
    assert!([address(1), address(3)]
        .iter()
        .all(|node| named.contains(node)));
}
