//! Admission over loopback: an engine's memory, and the limits of a client account.

use std::net::SocketAddr;

use cassiareel_standins::{
    caller::Caller,
    engine::{expected_answer, Engine, EngineOptions},
    fleet::{Fleet, FleetOptions, CALLER_KEY},
};
use serde_json::{json, Value};

/// Requests at one time.
const REQUESTS: usize = 40;
/// Tokens of each answer.
const TOKENS: u32 = 40;

/// An engine whose memory holds a few requests of [`prompt`], and dies when they outgrow it.
fn small_engine() -> Engine {
    let mut options = EngineOptions::new("draft@v1");
    options.capacity.memory_tokens = 1_200;
    Engine::start(options).expect("loopback has ports")
}

/// A prompt of about a hundred tokens.
fn prompt(i: usize) -> String {
    format!("{i:04} ").repeat(80)
}

fn body(model: &str, i: usize) -> Value {
    json!({"model": model, "prompt": prompt(i), "max_tokens": TOKENS, "ignore_eos": true})
}

/// An answer's status, what it says of the work, the time to come back and its body.
#[derive(Debug)]
struct Answer {
    status: u16,
    outcome: Option<String>,
    retry: Option<String>,
    body: Value,
}

async fn ask(addr: SocketAddr, body: Value) -> Option<Answer> {
    let caller = Caller::new(CALLER_KEY);
    let sent = caller.post(addr, "/v1/completions", &[], body.to_string());
    let mut res = sent.await.ok()?;
    let header = |name: &str| res.header(name).map(|value| value.as_str().to_owned());
    let (outcome, retry) = (header("x-outcome"), header("retry-after"));
    let bytes = res.body_bytes().await.ok()?;
    Some(Answer {
        status: res.status().into(),
        outcome,
        retry,
        body: serde_json::from_slice(&bytes).unwrap_or_default(),
    })
}

/// Asks for every answer at once.
fn ask_all(addr: SocketAddr, model: &str) -> Vec<Option<Answer>> {
    let executor = smol::Executor::new();
    let tasks: Vec<_> = (0..REQUESTS)
        .map(|i| executor.spawn(ask(addr, body(model, i))))
        .collect();
    smol::block_on(executor.run(async {
        let mut answers = Vec::new();
        for task in tasks {
            answers.push(task.await);
        }
        answers
    }))
}

#[test]
fn requests_beyond_an_engines_memory_wait_at_the_node() {
    let bare = small_engine();
    ask_all(bare.addr(), "draft@v1");
    assert!(
        bare.is_dead(),
        "the engine holds all at once: the test shows nothing"
    );

    let mut fleet = Fleet::start(&FleetOptions::new(1, 1)).expect("loopback has ports");
    fleet.engines[0] = small_engine();
    let tree = fleet.settings_tree();
    fleet.apply(&tree);
    // The node's first report of the engine says how much memory it has.
    std::thread::sleep(std::time::Duration::from_millis(500));
    let answers = ask_all(fleet.addr(0).expect("the node serves"), "draft");
    assert!(
        !fleet.engines[0].is_dead(),
        "the node's sum of admissions overflowed the engine"
    );
    let mut whole = 0;
    for (i, answer) in answers.into_iter().enumerate() {
        let answer = answer.expect("the node answers");
        if answer.status == 200 {
            let (_, text) = expected_answer("draft@v1", &prompt(i), TOKENS);
            assert_eq!(answer.body["choices"][0]["text"], json!(text));
            whole += 1;
        } else {
            assert_eq!(answer.status, 503, "{answer:?}");
            assert_eq!(answer.outcome.as_deref(), Some("not_run"));
            assert!(answer.retry.is_some(), "{answer:?}");
        }
    }
    println!("{whole} of {REQUESTS} whole, the others refused as not run");
    assert!(whole >= REQUESTS / 4, "{whole}");
}

#[test]
fn two_nodes_together_do_not_overflow_an_engine() {
    let mut fleet = Fleet::start(&FleetOptions::new(1, 2)).expect("loopback has ports");
    fleet.engines[0] = small_engine();
    let tree = fleet.settings_tree();
    fleet.apply(&tree);
    wait_for_peers(&fleet, 2);
    // The nodes' first reports of the engine say how much memory it has.
    std::thread::sleep(std::time::Duration::from_millis(1_500));
    let addrs: Vec<SocketAddr> = (0..2).filter_map(|i| fleet.addr(i)).collect();
    let answers: Vec<Option<Answer>> = std::thread::scope(|scope| {
        let ask = |addr: SocketAddr| scope.spawn(move || ask_all(addr, "draft"));
        let asking: Vec<_> = addrs.into_iter().map(ask).collect();
        let joined = asking.into_iter().map(|asked| asked.join());
        joined
            .flat_map(|all| all.expect("no caller panics"))
            .collect()
    });
    assert!(
        !fleet.engines[0].is_dead(),
        "the nodes' sums of admissions overflowed the engine"
    );
    let whole = answers.iter().flatten().filter(|a| a.status == 200).count();
    println!("{whole} of {} whole", answers.len());
    assert!(whole > 0);
}

/// Waits until each of `count` nodes has heard all others.
fn wait_for_peers(fleet: &Fleet, count: usize) {
    let heard = |i: usize| {
        let peers = fleet.node(i).and_then(|node| node.peers().cloned());
        peers.map_or(0, |peers| peers.others().len())
    };
    let until = std::time::Instant::now() + std::time::Duration::from_secs(30);
    while (0..count).any(|i| heard(i) + 1 < count) {
        assert!(std::time::Instant::now() < until, "the nodes do not meet");
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
}

#[test]
fn a_request_over_the_accounts_limit_is_refused_with_a_time_to_come_back() {
    let mut fleet = Fleet::start(&FleetOptions::new(1, 1)).expect("loopback has ports");
    let limit = "[accounts.shops.policy.limits]\nrequests = \"2/min\"\n";
    let tree = format!("{}{limit}", fleet.settings_tree());
    fleet.apply(&tree);
    let addr = fleet.addr(0).expect("the node serves");
    let first = smol::block_on(ask(addr, body("draft", 0))).expect("the node answers");
    assert_eq!(first.status, 200, "{first:?}");
    let second = smol::block_on(ask(addr, body("draft", 1))).expect("the node answers");
    assert_eq!(second.status, 429, "{second:?}");
    assert_eq!(second.outcome.as_deref(), Some("not_run"));
    let retry: u64 = second
        .retry
        .expect("it says when")
        .parse()
        .expect("whole seconds");
    assert!((20..=30).contains(&retry), "{retry} s for two a minute");
    assert_eq!(second.body["error"]["type"], json!("rate_limit_error"));
}
