//! Tests of the commands on moves, against an object API in memory.

use std::time::Duration;

use cassiareel::{
    kernel::moves::Scope,
    settings::{Draft, Tree},
    store::MemoryObjects,
};
use cassiareel_cli::{
    change_move, move_history, move_status, start_move, wait_move, Code, MoveChange, MoveOptions,
};
use cassiareel_standins::engine::{Engine, EngineOptions};
use test_case::test_case;

/// Returns settings with a plain service, of which versions v1 and v2 are placed and v3 is not, and a
/// model whose version v2 is placed on the given engines.
fn tree(engines: &[&Engine]) -> Tree {
    let servers: Vec<String> = engines
        .iter()
        .map(|e| format!("\"{}\"", e.addr()))
        .collect();
    let text = format!(
        r#"
[regions.r.data_centres.d1]
[services.orders]
kind = "plain"
version = "v1"
versions.v1.placements.d1.servers = ["10.0.0.1:80"]
versions.v2.placements.d1.servers = ["10.0.0.2:80"]
versions.v3 = {{}}
[services.draft]
version = "v1"
versions.v1.placements.d1.servers = ["10.0.1.1:80"]
versions.v2.placements.d1.servers = [{}]
[accounts.shops]
services = ["orders"]
versions.orders = "v2"
"#,
        servers.join(", ")
    );
    Draft::parse(&text).expect("the tree is valid").tree
}

fn options(service: &str, to: &str) -> MoveOptions {
    MoveOptions {
        service: service.into(),
        to: to.into(),
        from: None,
        within: Duration::from_secs(600),
        load_time: Duration::from_secs(60),
        scope: Scope::default(),
    }
}

#[test]
fn move_is_started_paused_and_cancelled() {
    smol::block_on(async {
        let store = MemoryObjects::new(1);
        let tree = tree(&[]);
        let no_move = move_status(&store, "orders").await.unwrap();
        assert!(no_move.text.contains("no move"), "{}", no_move.text);
        let started = start_move(&store, &tree, "ana", &options("orders", "v2"))
            .await
            .unwrap();
        assert!(started.text.contains("from v1 to v2"), "{}", started.text);
        let mut other = options("orders", "v2");
        other.scope.account = Some("shops".into());
        other.from = Some("v1".into());
        let second = start_move(&store, &tree, "rex", &other).await;
        assert_eq!(second.unwrap_err().code, Code::Refused);
        let paused = change_move(&store, "orders", "ana", MoveChange::Pause)
            .await
            .unwrap();
        assert!(paused.text.contains("paused"), "{}", paused.text);
        change_move(&store, "orders", "ana", MoveChange::Resume)
            .await
            .unwrap();
        let unfinished = wait_move(&store, "orders", Duration::ZERO).await.unwrap();
        assert_eq!(unfinished.code, Code::Pending);
        change_move(&store, "orders", "ana", MoveChange::Cancel)
            .await
            .unwrap();
        let ended = wait_move(&store, "orders", Duration::ZERO).await.unwrap();
        assert_eq!(ended.code, Code::Refused);
        let err = change_move(&store, "orders", "ana", MoveChange::Pause)
            .await
            .unwrap_err();
        assert!(err.message.contains("has ended"), "{err}");
        let history = move_history(&store, "orders").await.unwrap();
        assert_eq!(history.text.lines().count(), 1 + 4, "{}", history.text);
    });
}

#[derive(Clone, Copy)]
struct Case {
    service: &'static str,
    to: &'static str,
    by: u64,
    message: &'static str,
}

#[test_case(Case { service: "nothing", to: "v2", by: 600, message: "there is no service nothing" })]
#[test_case(Case { service: "orders", to: "v9", by: 600, message: "has no version v9" })]
#[test_case(Case { service: "orders", to: "v1", by: 600, message: "already in use" })]
#[test_case(Case { service: "orders", to: "v3", by: 600, message: "no placement" })]
#[test_case(Case { service: "orders", to: "v2", by: 1, message: "too short" })]
fn impossible_move_is_refused_before_anything_is_written(case: Case) {
    smol::block_on(async {
        let store = MemoryObjects::new(1);
        let move_options = MoveOptions {
            within: Duration::from_secs(case.by),
            ..options(case.service, case.to)
        };
        let err = start_move(&store, &tree(&[]), "ana", &move_options)
            .await
            .unwrap_err();
        assert_eq!(err.code, Code::Refused);
        assert!(err.message.contains(case.message), "{err}");
        assert_eq!(store.call_counts().writes, 0);
    });
}

#[test]
fn versions_still_to_load_count_against_the_time_limit() {
    let ready = Engine::start(EngineOptions::new("draft@v2")).expect("loopback has ports");
    let other = Engine::start(EngineOptions::new("draft@v1")).expect("loopback has ports");
    smol::block_on(async {
        let store = MemoryObjects::new(1);
        // One load of 60 s and the 60 s of the traffic steps do not fit into 100 s.
        let short_limit = MoveOptions {
            within: Duration::from_secs(100),
            ..options("draft", "v2")
        };
        let tree = tree(&[&ready, &other]);
        let err = start_move(&store, &tree, "ana", &short_limit)
            .await
            .unwrap_err();
        assert!(err.message.contains("1 loads of v2"), "{err}");
        let mut loaded_only = tree;
        let version = loaded_only
            .services
            .get_mut("draft")
            .and_then(|s| s.versions.get_mut("v2"));
        let placement = version.and_then(|v| v.placements.get_mut("d1"));
        placement
            .expect("the version is placed")
            .servers
            .truncate(1);
        start_move(&store, &loaded_only, "ana", &short_limit)
            .await
            .unwrap();
    });
}

#[test]
fn proven_version_defaults_to_the_one_that_the_traffic_uses() {
    smol::block_on(async {
        let store = MemoryObjects::new(1);
        let mut move_options = options("orders", "v1");
        move_options.scope.account = Some("shops".into());
        let started = start_move(&store, &tree(&[]), "ana", &move_options)
            .await
            .unwrap();
        assert!(started.text.contains("from v2 to v1"), "{}", started.text);
    });
}
