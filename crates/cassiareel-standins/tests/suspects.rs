//! A request that takes down each engine that runs it.

use std::{thread, time::Duration};

use cassiareel_standins::{
    caller::{Caller, ReceivedStream},
    engine::{expected_answer, Faults},
    fleet::{Fleet, FleetOptions, CALLER_KEY},
};
use serde_json::json;

/// The longest time until all nodes know what one of them found.
const KNOWN: Duration = Duration::from_secs(3);

/// Sends a prompt to a node and returns the code of the error, if the answer ended so.
fn send(fleet: &Fleet, node: usize, prompt: &str) -> (ReceivedStream, Option<String>) {
    let addr = fleet.addr(node).expect("the node serves");
    let body = json!({"model": "draft", "prompt": prompt, "max_tokens": 20, "ignore_eos": true,
        "stream": true});
    let mut seen = ReceivedStream::default();
    smol::block_on(Caller::new(CALLER_KEY).stream(addr, &body, &mut seen, |_| ()));
    let code = seen
        .error
        .as_ref()
        .and_then(|error| error["code"].as_str().map(str::to_owned));
    (seen, code)
}

fn start(nodes: usize) -> Fleet {
    let fleet = Fleet::start(&FleetOptions::new(6, nodes)).expect("loopback has ports");
    for engine in &fleet.engines {
        engine.set_faults(Faults {
            poison: Some("poison".to_owned()),
            ..Faults::default()
        });
    }
    fleet
}

fn dead(fleet: &Fleet) -> usize {
    let engines = fleet.engines.iter();
    engines.filter(|engine| engine.is_dead()).count()
}

/// What one node found holds on the others, which would each lose engines of their own otherwise.
#[test]
fn a_request_that_kills_engines_is_refused_at_every_node() {
    let fleet = start(3);
    send(&fleet, 0, "a poison prompt");
    assert_eq!(dead(&fleet), 2);
    thread::sleep(KNOWN);
    for node in [1, 2, 0] {
        let (_, code) = send(&fleet, node, "a poison prompt");
        assert_eq!(code.as_deref(), Some("engines_lost"), "node {node}");
    }
    assert_eq!(dead(&fleet), 2);
}

#[test]
fn a_request_that_kills_engines_is_refused_under_every_name() {
    let fleet = start(1);
    let dead = || dead(&fleet);
    for _ in 0..4 {
        // Each send has a name of its own.
        let (_, code) = send(&fleet, 0, "a poison prompt");
        assert_eq!(code.as_deref(), Some("engines_lost"));
        assert_eq!(dead(), 2);
    }
    let (seen, _) = send(&fleet, 0, "a plain prompt");
    assert_eq!(
        seen.text,
        expected_answer("draft@v1", "a plain prompt", 20).1
    );
    assert!(seen.done, "{seen:?}");
}
