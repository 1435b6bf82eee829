//! Engines lost to one request across six nodes, and the innocent beside it.

use test_case::test_case;

use super::{
    suspect::{Loss, Suspects},
    ticket::Short,
};

const NODES: usize = 6;
/// Engines that one request may take down.
const BOUND: u32 = 2;
const GUILTY: Short = [1; 16];
const INNOCENT: Short = [2; 16];
const MINUTE_MS: u64 = 60_000;

fn loss(at_ms: u64, generation: usize) -> Loss {
    Loss {
        at_ms,
        generation: format!("g-{generation}").into(),
        attempt: 1,
    }
}

#[derive(Clone, Copy)]
struct Case {
    /// Sends between two exchanges of the nodes; none where they never exchange.
    exchange: Option<usize>,
    engines: u32,
}

#[test_case(Case { exchange: Some(1), engines: 2 }; "each loss is told before the next send")]
#[test_case(Case { exchange: Some(6), engines: 6 }; "six nodes are hit at one moment")]
#[test_case(Case { exchange: None, engines: 12 }; "nodes can't hear each other")]
fn engines_lost_to_one_request_are_bounded(case: Case) {
    let mut nodes: Vec<Suspects> = vec![Suspects::default(); NODES];
    let mut engines = 0;
    for send in 0..100 {
        let now = 1_000 + send as u64;
        let node = &mut nodes[send % NODES];
        if node.losses(&GUILTY, now) < BOUND {
            node.lost(GUILTY, loss(now, send));
            engines += 1;
        }
        if case.exchange.is_some_and(|every| (send + 1) % every == 0) {
            let all = nodes.clone();
            nodes
                .iter_mut()
                .for_each(|node| all.iter().for_each(|other| node.merge(other)));
        }
    }
    assert_eq!(engines, case.engines);
}

#[test]
fn the_innocent_are_cleared_by_completing_and_by_time() {
    let mut node = Suspects::default();
    for (generation, request) in [GUILTY, INNOCENT].into_iter().enumerate() {
        node.lost(request, loss(1_000, generation));
    }
    node.cleared(&INNOCENT, 2_000);
    assert_eq!(node.losses(&INNOCENT, 2_000), 0);
    assert_eq!(node.losses(&GUILTY, 2_000), 1);
    // A loss after that counts again.
    node.lost(INNOCENT, loss(3_000, 9));
    assert_eq!(node.losses(&INNOCENT, 3_000), 1);
    assert_eq!(node.losses(&INNOCENT, 3_000 + 11 * MINUTE_MS), 0);
    node.forget(3_000 + 11 * MINUTE_MS);
    assert!(node.is_empty());
}

#[test]
fn facts_merge_in_any_order() {
    let mut a = Suspects::default();
    let mut b = Suspects::default();
    a.lost(GUILTY, loss(1_000, 1));
    b.lost(GUILTY, loss(1_100, 2));
    b.cleared(&GUILTY, 1_050);
    let mut ab = a.clone();
    ab.merge(&b);
    let mut ba = b.clone();
    ba.merge(&a);
    assert_eq!(ab, ba);
    let mut again = ab.clone();
    again.merge(&ab);
    assert_eq!(ab, again);
    assert_eq!(ab.losses(&GUILTY, 1_200), 1);
}
