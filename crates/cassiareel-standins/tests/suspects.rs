//! Requests that crash every engine that runs them.

use std::{
    thread,
    time::{Duration, Instant},
};

use cassiareel_standins::{
    caller::{Caller, ReceivedStream},
    engine::{expected_answer, Faults},
    fleet::{Fleet, FleetOptions, CALLER_KEY},
};
use serde_json::{json, Value};

/// Time within which a node's evidence against a request reaches all other nodes.
const SHARE_TIME: Duration = Duration::from_secs(3);

/// Sends a prompt to a node; returns the stream, and the code of the error if it ended with one.
fn send(fleet: &Fleet, node: usize, prompt: &str) -> (ReceivedStream, Option<String>) {
    let addr = fleet.addr(node).expect("the node serves");
    let body = json!({"model": "draft", "prompt": prompt, "max_tokens": 20, "ignore_eos": true,
        "stream": true});
    let mut received = ReceivedStream::default();
    smol::block_on(Caller::new(CALLER_KEY).stream(addr, &body, &mut received, |_| ()));
    let code = received
        .error
        .as_ref()
        .and_then(|error| error["code"].as_str().map(str::to_owned));
    (received, code)
}

fn start_fleet(engines: usize, nodes: usize) -> Fleet {
    let fleet = Fleet::start(&FleetOptions::new(engines, nodes)).expect("loopback has ports");
    for engine in &fleet.engines {
        engine.set_faults(Faults {
            poison: Some("poison".to_owned()),
            ..Faults::default()
        });
    }
    fleet
}

fn crashed_engines(fleet: &Fleet) -> usize {
    let engines = fleet.engines.iter();
    engines.filter(|engine| engine.is_dead()).count()
}

/// The evidence of one node must reach the others, which would otherwise each lose engines of their
/// own to the same request.
#[test]
fn a_request_that_crashes_engines_is_rejected_at_every_node() {
    let fleet = start_fleet(6, 3);
    send(&fleet, 0, "a poison prompt");
    assert_eq!(crashed_engines(&fleet), 2);
    thread::sleep(SHARE_TIME);
    for node in [1, 2, 0] {
        let (_, code) = send(&fleet, node, "a poison prompt");
        assert_eq!(code.as_deref(), Some("engines_lost"), "node {node}");
    }
    assert_eq!(crashed_engines(&fleet), 2);
}

/// The engines that one of the requests crashes must not excuse the other.
#[test]
fn requests_that_crash_engines_at_the_same_time_are_both_rejected() {
    const NODES: usize = 3;
    const ENGINES: usize = 30;
    const INTERVAL: Duration = Duration::from_millis(300);
    let fleet = start_fleet(ENGINES, NODES);
    let began = Instant::now();
    thread::scope(|scope| {
        for prompt in ["a poison prompt", "another poison prompt"] {
            let fleet = &fleet;
            scope.spawn(move || {
                for attempt in 0.. {
                    if began.elapsed() >= SHARE_TIME * 2 {
                        break;
                    }
                    send(fleet, attempt % NODES, prompt);
                    thread::sleep(INTERVAL);
                }
            });
        }
    });
    let crashed = crashed_engines(&fleet);
    assert!(crashed < ENGINES, "all engines crashed");
    for node in 0..NODES {
        for prompt in ["a poison prompt", "another poison prompt"] {
            let (_, code) = send(&fleet, node, prompt);
            assert_eq!(code.as_deref(), Some("engines_lost"), "node {node}");
        }
    }
    assert_eq!(crashed_engines(&fleet), crashed);
    println!("{crashed} engines crashed");
}

#[test]
fn a_request_that_crashes_engines_is_rejected_under_every_request_id() {
    let fleet = start_fleet(6, 1);
    let crashed = || crashed_engines(&fleet);
    for _ in 0..4 {
        // Each call gets its own request id.
        let (_, code) = send(&fleet, 0, "a poison prompt");
        assert_eq!(code.as_deref(), Some("engines_lost"));
        assert_eq!(crashed(), 2);
    }
    let (received, _) = send(&fleet, 0, "a plain prompt");
    assert_eq!(
        received.text,
        expected_answer("draft@v1", "a plain prompt", 20).1
    );
    assert!(received.done, "{received:?}");
}

/// Number of engines that crash on a message before it has to be held.
const PART_CRASHES: usize = 5;

/// Number of sends that may follow after every node knows of these crashes.
const MAX_LATER_CRASHES: usize = 3;

/// Sends a chat whose second message is `context` to a node; returns the status and the code of the
/// error, if any.
fn chat(fleet: &Fleet, node: usize, context: &str, number: usize) -> (u16, Option<String>) {
    let addr = fleet.addr(node).expect("the node serves");
    let message = |text: String| json!({"role": "user", "content": text});
    let messages = [
        message("a shared message".to_owned()),
        message(context.to_owned()),
        message(format!("question {number}")),
    ];
    let body = json!({"model": "draft", "messages": messages, "max_tokens": 20,
        "ignore_eos": true});
    smol::block_on(async {
        let caller = Caller::new(CALLER_KEY);
        let sent = caller.post(addr, "/v1/chat/completions", &[], body.to_string());
        let mut response = sent.await.expect("the node answers");
        let answer: Value = response.body_json().await.unwrap_or_default();
        let code = answer["error"]["code"].as_str().map(str::to_owned);
        (response.status().into(), code)
    })
}

/// Each request differs from the others in its last message, and crashes engines of its own until the
/// message that they share is found.
#[test]
fn a_message_that_crashes_engines_is_rejected_in_every_prompt() {
    const NODES: usize = 3;
    const ENGINES: usize = 30;
    const DEADLY: &str = "a poison message";
    let fleet = start_fleet(ENGINES, NODES);
    let mut number = 0;
    while crashed_engines(&fleet) < PART_CRASHES && number < ENGINES {
        chat(&fleet, number % NODES, DEADLY, number);
        chat(&fleet, number % NODES, "a plain message", number);
        number += 1;
    }
    thread::sleep(SHARE_TIME);
    let before = crashed_engines(&fleet);
    for number in number..number + ENGINES {
        let node = number % NODES;
        let (_, code) = chat(&fleet, node, DEADLY, number);
        let crashed = crashed_engines(&fleet) - before;
        assert!(
            crashed <= MAX_LATER_CRASHES,
            "{crashed} engines crashed later"
        );
        assert_eq!(code.as_deref(), Some("engines_lost"), "node {node}");
        assert_eq!(chat(&fleet, node, "a plain message", number), (200, None));
    }
    println!(
        "{before} engines crashed, {} later",
        crashed_engines(&fleet) - before
    );
}
