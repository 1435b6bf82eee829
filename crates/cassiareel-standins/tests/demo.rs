//! The demo's scenario with few requests.

use cassiareel_standins::demo::{run_scenario, Deployment, Ports, ScenarioSize};
use slog::Logger;

#[test]
fn every_token_and_order_of_the_scenario_is_correct() {
    let tree = toml::from_str(include_str!("../src/demo/demo.toml")).unwrap();
    let log = Logger::root(slog::Discard, slog::o!());
    let mut deployment = Deployment::start(tree, Ports::default(), &log).unwrap();
    let size = ScenarioSize {
        streams: 6,
        tokens: 80,
        orders: 12,
    };
    let mut phases = Vec::new();
    let report =
        run_scenario(&mut deployment, size, |phase| phases.push(phase.to_owned())).unwrap();
    assert!(report.passed(), "{report}");
    assert_eq!(report.streams_whole, 18);
    assert_eq!(report.orders, 12);
    assert_eq!(phases.len(), 5);
}
