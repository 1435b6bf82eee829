//! Moves on six nodes over loopback: a bad version is shown and stays out, also in an outage.

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

/// Bound on waiting, past which a node does not come to a state.
const HANG: Duration = Duration::from_secs(30);

/// How long a caller waits for an answer of four tokens.
const PATIENCE: Duration = Duration::from_millis(500);

/// Waits for a state of the fleet.
fn wait<F>(what: &str, reached: F)
where
    F: Fn() -> bool,
{
    let until = Instant::now() + HANG;
    while !reached() {
        assert!(Instant::now() < until, "the fleet does not come to: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Settings that place both versions, the first in use.
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

/// Engines of the new version, each with a fault.
fn engines(failure: Failure) -> Vec<Engine> {
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

fn start(fleet: &Fleet) {
    let objects = HttpObjects::new(fleet.objects.addr());
    let plan = Plan {
        service: "draft".into(),
        from: "v1".into(),
        to: "v2".into(),
        scope: Scope::default(),
        within_secs: 600,
    };
    let means = Resources {
        servers: 4,
        loaded: 4,
        ..Resources::default()
    };
    smol::block_on(moves::start(&objects, plan, means, "ana")).expect("the move can be done");
    wait("the move is known to all", || {
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

/// Sends a short request to a node; a caller that meets the bad version gives up after a while.
fn ask(fleet: &Fleet, node: usize) {
    let addr = fleet.addr(node).expect("the node serves");
    let body = json!({"model": "draft", "prompt": "A flask", "max_tokens": 4, "ignore_eos": true});
    let caller = Caller::new(CALLER_KEY);
    let asked = async {
        let sent = caller.post(addr, "/v1/completions", &[], body.to_string());
        if let Ok(mut res) = sent.await {
            let _ = res.body_bytes().await;
        }
    };
    smol::block_on(smol::future::or(asked, async {
        smol::Timer::after(PATIENCE).await;
    }));
}

/// Sends requests over all nodes at once until the version is shown bad; the new version's requests.
fn ask_until_bad(fleet: &Fleet, new: &[Engine]) -> u64 {
    for _ in 0..400 {
        thread::scope(|scope| {
            for node in 0..NODES {
                scope.spawn(move || ask(fleet, node));
            }
        });
        if (0..NODES).any(|node| is_bad(fleet, node)) {
            return new
                .iter()
                .map(|engine| {
                    let s = engine.stats();
                    s.starts + s.refused
                })
                .sum();
        }
    }
    panic!("2400 requests do not show the version bad");
}

#[test]
fn bad_version_is_taken_back_while_the_store_is_away() {
    let mut fleet = Fleet::start(&FleetOptions::new(2, NODES)).expect("loopback has ports");
    let new = engines(Failure::Refuse);
    let tree = tree(&fleet, &new);
    fleet.apply(&tree);
    start(&fleet);
    fleet.objects.set_faults(StoreFaults {
        outage: Some(Outage::Refuse),
        ..StoreFaults::default()
    });
    let met = ask_until_bad(&fleet, &new);
    assert!(met < 200, "the bad version met {met} requests");
    wait("all nodes know the verdict", || {
        (0..NODES).all(|node| is_bad(&fleet, node))
    });
    let before: u64 = new
        .iter()
        .map(|engine| {
            let s = engine.stats();
            s.starts + s.refused
        })
        .sum();
    for node in 0..NODES {
        for _ in 0..20 {
            ask(&fleet, node);
        }
    }
    let after: u64 = new
        .iter()
        .map(|engine| {
            let s = engine.stats();
            s.starts + s.refused
        })
        .sum();
    assert_eq!(after, before, "a version shown bad gets nothing");
    // A node that is replaced in the outage has the settings and the verdict from its peers.
    fleet.kill_node(3);
    fleet.replace_node(3).expect("loopback has ports");
    wait("the new node knows the verdict", || is_bad(&fleet, 3));
    fleet.objects.set_faults(StoreFaults::default());
    let objects = HttpObjects::new(fleet.objects.addr());
    wait("the record says reversed", || {
        let record = smol::block_on(moves::status(&objects, "draft"));
        let latest = record.ok().and_then(|record| record.latest);
        latest.is_some_and(|status| status.state == State::Reversed)
    });
}

#[test]
fn members_and_revisions_are_known_to_all() {
    let mut fleet = Fleet::start(&FleetOptions::new(1, NODES)).expect("loopback has ports");
    let others = |fleet: &Fleet, node: usize| {
        let node = fleet.node(node).expect("the node runs");
        node.peers().expect("it has peers").others()
    };
    wait("six members", || {
        (0..NODES).all(|node| others(&fleet, node).len() == NODES - 1)
    });
    let tree = fleet.settings_tree();
    fleet.apply(&tree);
    let revision = fleet.node(0).expect("the node runs").settings().revision;
    wait("each node knows each other's revision", || {
        (0..NODES).all(|i| others(&fleet, i).iter().all(|m| m.revision == revision))
    });
    fleet.kill_node(2);
    wait("the dead node is out", || {
        (0..NODES)
            .filter(|node| *node != 2)
            .all(|node| others(&fleet, node).iter().all(|m| &*m.name != "n2"))
    });
    fleet.replace_node(2).expect("loopback has ports");
    wait("its successor is in", || {
        (0..NODES).all(|node| others(&fleet, node).len() == NODES - 1)
    });
}
