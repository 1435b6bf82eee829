//! Moves between versions on six nodes over loopback: a bad version is detected and gets no more
//! requests, also during an outage of the object API.

use std::{
    thread,
    time::{Duration, Instant},
};

use cassiareel::{
    control::moves,
    kernel::moves::{Plan, Resources, Scope, State},
    store::HttpObjects,
};
use cassiareel_standins::{
    caller::Caller,
    engine::{Engine, EngineOptions, Failure, Fault, Faults},
    fleet::{Fleet, FleetOptions, CALLER_KEY},
    objects::{Faults as StoreFaults, Outage},
};
use serde_json::json;

const NODES: usize = 6;

/// Longest wait for the fleet to reach a state.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Time that a caller waits for an answer of four tokens.
const CALLER_TIMEOUT: Duration = Duration::from_millis(500);

/// Waits until the fleet has reached a state.
///
/// # Panics
///
/// Panics if the state is not reached within [`WAIT_TIMEOUT`].
fn wait<F>(condition: &str, reached: F)
where
    F: Fn() -> bool,
{
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !reached() {
        assert!(
            Instant::now() < deadline,
            "timed out waiting until {condition}"
        );
        thread::sleep(Duration::from_millis(5));
    }
}

/// Returns settings with placements of both versions, of which the first is in use.
fn tree(fleet: &Fleet, new: &[Engine]) -> String {
    let list = |engines: &[Engine]| {
        let addrs: Vec<String> = engines
            .iter()
            .map(|engine| format!("{:?}", engine.addr().to_string()))
            .collect();
        addrs.join(", ")
    };
    let base = fleet.settings_tree();
    let old = list(&fleet.engines);
    let from = format!("servers = [{old}]\n");
    assert!(base.contains(&from), "{base}");
    let to = format!(
        "{from}[services.draft.versions.v2.placements.d0]\nservers = [{}]\n",
        list(new)
    );
    base.replace(&from, &to)
}

/// Starts engines of the new version, each with a fault.
fn new_version_engines(failure: Failure) -> Vec<Engine> {
    (0..4)
        .map(|_| {
            let engine = Engine::start(EngineOptions::new("draft@v2")).expect("loopback has ports");
            let fault = Fault {
                failure,
                ..Fault::default()
            };
            engine.set_faults(Faults {
                versions: [("draft@v2".to_owned(), fault)].into(),
                ..Faults::default()
            });
            engine
        })
        .collect()
}

fn start_move(fleet: &Fleet) {
    let objects = HttpObjects::new(fleet.objects.addr());
    let plan = Plan {
        service: "draft".into(),
        from: "v1".into(),
        to: "v2".into(),
        scope: Scope::default(),
        within_secs: 600,
    };
    let resources = Resources {
        servers: 4,
        loaded: 4,
        ..Resources::default()
    };
    smol::block_on(moves::start(&objects, plan, resources, "ana")).expect("the move is accepted");
    wait("every node knows the move", || {
        (0..NODES).all(|i| {
            let node = fleet.node(i).expect("the node runs");
            node.moves().view.load().records().count() == 1
        })
    });
}

fn is_bad(fleet: &Fleet, node: usize) -> bool {
    let node = fleet.node(node).expect("the node runs");
    node.moves().view.load().verdicts.is_bad("draft", "v2", 1)
}

/// Sends a short request to a node; the caller gives up after [`CALLER_TIMEOUT`], as it may if the
/// request runs on the bad version.
fn send_request(fleet: &Fleet, node: usize) {
    let addr = fleet.addr(node).expect("the node serves");
    let body = json!({"model": "draft", "prompt": "A flask", "max_tokens": 4, "ignore_eos": true});
    let caller = Caller::new(CALLER_KEY);
    let answered = async {
        let sent = caller.post(addr, "/v1/completions", &[], body.to_string());
        if let Ok(mut res) = sent.await {
            let _ = res.body_bytes().await;
        }
    };
    smol::block_on(smol::future::or(answered, async {
        smol::Timer::after(CALLER_TIMEOUT).await;
    }));
}

/// Sends requests to all nodes concurrently until a node has judged the new version bad; returns
/// the number of requests that the new version received.
fn send_until_bad(fleet: &Fleet, new: &[Engine]) -> u64 {
    for _ in 0..400 {
        thread::scope(|scope| {
            for node in 0..NODES {
                scope.spawn(move || send_request(fleet, node));
            }
        });
        if (0..NODES).any(|node| is_bad(fleet, node)) {
            return new
                .iter()
                .map(|engine| {
                    let stats = engine.stats();
                    stats.starts + stats.refused
                })
                .sum();
        }
    }
    panic!("the new version was not judged bad after 2400 requests");
}

#[test]
fn bad_version_is_rolled_back_while_the_store_is_down() {
    let mut fleet = Fleet::start(&FleetOptions::new(2, NODES)).expect("loopback has ports");
    let new = new_version_engines(Failure::Refuse);
    let tree = tree(&fleet, &new);
    fleet.apply(&tree);
    start_move(&fleet);
    fleet.objects.set_faults(StoreFaults {
        outage: Some(Outage::Refuse),
        ..StoreFaults::default()
    });
    let received = send_until_bad(&fleet, &new);
    assert!(
        received < 200,
        "the bad version received {received} requests"
    );
    wait("all nodes know the verdict", || {
        (0..NODES).all(|node| is_bad(&fleet, node))
    });
    let before: u64 = new
        .iter()
        .map(|engine| {
            let stats = engine.stats();
            stats.starts + stats.refused
        })
        .sum();
    for node in 0..NODES {
        for _ in 0..20 {
            send_request(&fleet, node);
        }
    }
    let after: u64 = new
        .iter()
        .map(|engine| {
            let stats = engine.stats();
            stats.starts + stats.refused
        })
        .sum();
    assert_eq!(after, before, "a version judged bad receives no requests");
    // A node that is started during the outage gets the settings and the verdict from its peers.
    fleet.kill_node(3);
    fleet.replace_node(3).expect("loopback has ports");
    wait("the new node knows the verdict", || is_bad(&fleet, 3));
    fleet.objects.set_faults(StoreFaults::default());
    let objects = HttpObjects::new(fleet.objects.addr());
    wait("the stored move is reversed", || {
        let record = smol::block_on(moves::status(&objects, "draft"));
        let latest = record.ok().and_then(|record| record.latest);
        latest.is_some_and(|status| status.state == State::Reversed)
    });
}

#[test]
fn every_node_knows_all_members_and_their_revisions() {
    let mut fleet = Fleet::start(&FleetOptions::new(1, NODES)).expect("loopback has ports");
    let others = |fleet: &Fleet, node: usize| {
        let node = fleet.node(node).expect("the node runs");
        node.peers().expect("the node has peers").others()
    };
    wait("every node knows all others", || {
        (0..NODES).all(|node| others(&fleet, node).len() == NODES - 1)
    });
    let tree = fleet.settings_tree();
    fleet.apply(&tree);
    let revision = fleet.node(0).expect("the node runs").settings().revision;
    wait("every node knows the revision of all others", || {
        (0..NODES).all(|i| others(&fleet, i).iter().all(|m| m.revision == revision))
    });
    fleet.kill_node(2);
    wait("the killed node is removed", || {
        (0..NODES)
            .filter(|node| *node != 2)
            .all(|node| others(&fleet, node).iter().all(|m| &*m.name != "n2"))
    });
    fleet.replace_node(2).expect("loopback has ports");
    wait("every node knows the new node", || {
        (0..NODES).all(|node| others(&fleet, node).len() == NODES - 1)
    });
}
