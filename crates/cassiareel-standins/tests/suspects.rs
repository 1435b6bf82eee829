//! A request that takes down each engine that runs it.

use cassiareel_standins::{
    caller::{Caller, Seen},
    engine::{truth, Faults},
    fleet::{Fleet, FleetOptions, KEY},
};
use serde_json::json;

/// Sends a prompt to the node and returns the code of the error, if the answer ended so.
fn send(fleet: &Fleet, prompt: &str) -> (Seen, Option<String>) {
    let addr = fleet.addr(0).expect("the node serves");
    let body = json!({"model": "draft", "prompt": prompt, "max_tokens": 20, "ignore_eos": true,
        "stream": true});
    let mut seen = Seen::default();
    smol::block_on(Caller::new(KEY).stream(addr, &body, &mut seen, |_| ()));
    let code = seen
        .error
        .as_ref()
        .and_then(|error| error["code"].as_str().map(str::to_owned));
    (seen, code)
}

#[test]
fn a_request_that_kills_engines_is_refused_under_every_name() {
    let fleet = Fleet::start(&FleetOptions::new(6, 1)).expect("loopback has ports");
    for engine in &fleet.engines {
        engine.set_faults(Faults {
            poison: Some("poison".to_owned()),
            ..Faults::default()
        });
    }
    let dead = || {
        fleet
            .engines
            .iter()
            .filter(|engine| engine.is_dead())
            .count()
    };
    for _ in 0..4 {
        // Each send has a name of its own.
        let (_, code) = send(&fleet, "a poison prompt");
        assert_eq!(code.as_deref(), Some("engines_lost"));
        assert_eq!(dead(), 2);
    }
    let (seen, _) = send(&fleet, "a plain prompt");
    assert_eq!(seen.text, truth("draft@v1", "a plain prompt", 20).1);
    assert!(seen.done, "{seen:?}");
}
