//! Commands on moves, against an object API in memory.

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

/// Settings with a plain service of two versions, and a model whose next version two engines run.
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
    Draft::parse(&text).expect("the tree is right").tree
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
fn a_move_is_started_paused_and_cancelled() {
    smol::block_on(async {
        let store = MemoryObjects::new(1);
        let tree = tree(&[]);
        let told = move_status(&store, "orders").await.unwrap();
        assert!(told.text.contains("no move"), "{}", told.text);
        let started = start_move(&store, &tree, "ana", &options("orders", "v2"))
            .await
            .unwrap();
        assert!(started.text.contains("from v1 to v2"), "{}", started.text);
        let mut other = options("orders", "v2");
        other.scope.account = Some("shops".into());
        other.from = Some("v1".into());
        let again = start_move(&store, &tree, "rex", &other).await;
        assert_eq!(again.unwrap_err().code, Code::Refused);
        let paused = change_move(&store, "orders", "ana", MoveChange::Pause)
            .await
            .unwrap();
        assert!(paused.text.contains("paused"), "{}", paused.text);
        change_move(&store, "orders", "ana", MoveChange::Resume)
            .await
            .unwrap();
        let late = wait_move(&store, "orders", Duration::ZERO).await.unwrap();
        assert_eq!(late.code, Code::Pending);
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
    says: &'static str,
}

#[test_case(Case { service: "nothing", to: "v2", by: 600, says: "there is no service nothing" })]
#[test_case(Case { service: "orders", to: "v9", by: 600, says: "has no version v9" })]
#[test_case(Case { service: "orders", to: "v1", by: 600, says: "already in use" })]
#[test_case(Case { service: "orders", to: "v3", by: 600, says: "no placement" })]
#[test_case(Case { service: "orders", to: "v2", by: 1, says: "too short" })]
fn a_move_that_can_not_be_done_is_refused_at_the_start(case: Case) {
    smol::block_on(async {
        let store = MemoryObjects::new(1);
        let wanted = MoveOptions {
            within: Duration::from_secs(case.by),
            ..options(case.service, case.to)
        };
        let err = start_move(&store, &tree(&[]), "ana", &wanted)
            .await
            .unwrap_err();
        assert_eq!(err.code, Code::Refused);
        assert!(err.message.contains(case.says), "{err}");
        assert_eq!(store.call_counts().writes, 0);
    });
}

#[test]
fn loads_that_are_still_to_be_made_count_against_the_time() {
    let ready = Engine::start(EngineOptions::new("draft@v2")).expect("loopback has ports");
    let other = Engine::start(EngineOptions::new("draft@v1")).expect("loopback has ports");
    smol::block_on(async {
        let store = MemoryObjects::new(1);
        // One load of 60 s and the 60 s of the steps do not fit 100 s.
        let tight = MoveOptions {
            within: Duration::from_secs(100),
            ..options("draft", "v2")
        };
        let tree = tree(&[&ready, &other]);
        let err = start_move(&store, &tree, "ana", &tight).await.unwrap_err();
        assert!(err.message.contains("1 loads of v2"), "{err}");
        let mut loaded = tree;
        let version = loaded
            .services
            .get_mut("draft")
            .and_then(|s| s.versions.get_mut("v2"));
        let placement = version.and_then(|v| v.placements.get_mut("d1"));
        placement
            .expect("the version is placed")
            .servers
            .truncate(1);
        start_move(&store, &loaded, "ana", &tight).await.unwrap();
    });
}

#[test]
fn the_proven_version_is_the_one_that_the_traffic_has() {
    smol::block_on(async {
        let store = MemoryObjects::new(1);
        let mut wanted = options("orders", "v1");
        wanted.scope.account = Some("shops".into());
        let started = start_move(&store, &tree(&[]), "ana", &wanted)
            .await
            .unwrap();
        assert!(started.text.contains("from v2 to v1"), "{}", started.text);
    });
}
