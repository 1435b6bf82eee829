//! How close the drawn requests are to their share.

use test_case::test_case;

use super::ShareDraw;

struct Case {
    share: f64,
    /// The number of nodes that draw for themselves.
    nodes: usize,
    /// The number of requests at each node.
    requests: usize,
}

/// Independent draws sent 61 of 600 requests to a new version whose share is 0.05, beside its trial.
#[test_case(&Case { share: 0.05, nodes: 1, requests: 600 }; "one node")]
#[test_case(&Case { share: 0.05, nodes: 6, requests: 100 }; "six nodes")]
#[test_case(&Case { share: 0.03, nodes: 1, requests: 600 }; "a smaller share")]
#[test_case(&Case { share: 0.4, nodes: 1, requests: 600 }; "a large share")]
fn drawn_requests_are_close_to_their_share(case: &Case) {
    let mut random = fastrand::Rng::with_seed(1);
    for _ in 0..200 {
        for _ in 0..case.nodes {
            let mut draw = ShareDraw::new(random.f64());
            let drawn = (0..case.requests).filter(|_| draw.draw(case.share, random.f64()));
            let expected = case.share * case.requests as f64;
            let drawn = drawn.count() as f64;
            assert!((drawn - expected).abs() <= 1.0, "{drawn} of {expected}");
        }
    }
}

/// Nodes with few requests each must together send the share too.
#[test]
fn nodes_with_few_requests_draw_the_share_together() {
    let mut random = fastrand::Rng::with_seed(1);
    let mut drawn = 0;
    for _ in 0..10_000 {
        let mut draw = ShareDraw::new(random.f64());
        drawn += (0..4).filter(|_| draw.draw(0.05, random.f64())).count();
    }
    assert!((1850..2150).contains(&drawn), "{drawn}");
}

/// Callers whose every twentieth request is of one kind must not have just these drawn.
#[test]
fn each_request_of_a_period_is_drawn() {
    let mut random = fastrand::Rng::with_seed(1);
    let mut draw = ShareDraw::new(random.f64());
    let mut by_place = [0; 20];
    for i in 0..20_000 {
        by_place[i % 20] += usize::from(draw.draw(0.05, random.f64()));
    }
    assert!(
        by_place.iter().all(|drawn| (25..=80).contains(drawn)),
        "{by_place:?}"
    );
}
