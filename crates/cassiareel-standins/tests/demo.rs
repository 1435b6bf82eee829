//! The demo's story on a small scale.

use cassiareel_standins::demo::{story, Deployment, Ports, Sizes};
use slog::Logger;

#[test]
fn the_story_ends_with_every_token_and_order_right() {
    let tree = toml::from_str(include_str!("../src/demo/demo.toml")).unwrap();
    let log = Logger::root(slog::Discard, slog::o!());
    let mut deployment = Deployment::start(tree, Ports::default(), &log).unwrap();
    let sizes = Sizes {
        streams: 6,
        tokens: 80,
        orders: 12,
    };
    let mut parts = Vec::new();
    let report = story(&mut deployment, sizes, |part| parts.push(part.to_owned())).unwrap();
    assert!(report.is_good(), "{report}");
    assert_eq!(report.streams_whole, 18);
    assert_eq!(report.orders, 12);
    assert_eq!(parts.len(), 5);
}
