//! The table chooses by reported state, reserves memory, and keeps its state when it is replaced.

use std::{sync::Arc, time::Duration};

use super::{
    BackendTable, Options, Placement, PoolId, Reason, Request, Reservation, RouteId, SubsetConfig,
};
use crate::{
    backend::{CacheEvents, LoadReport},
    kernel::{
        health::Outcome,
        quota::Purpose,
        routing::{RoutingRequest, SkipReason},
        BackendId,
    },
};

const T0: Duration = Duration::from_secs(1);

fn subset(nodes: usize) -> SubsetConfig {
    SubsetConfig {
        nodes: (0..nodes).map(|i| format!("n{i}").into()).collect(),
        local: "n0".into(),
        size: 64,
    }
}

fn placement(servers: &[&str]) -> Placement {
    Placement {
        pool: "draft@v1".into(),
        model: true,
        servers: servers.iter().map(|&s| (s.into(), "d1".into())).collect(),
    }
}

fn build_table(servers: &[&str], nodes: usize) -> BackendTable {
    let table = BackendTable::new(Options::default()).expect("the default policy is registered");
    table.update(&[placement(servers)], &subset(nodes));
    for server in servers {
        table.on_load(T0, server, &report(100_000));
    }
    table
}

fn report(total: u64) -> LoadReport {
    LoadReport {
        total_tokens: total,
        token_ms: 20.0,
        versions: vec!["draft@v1".into()],
        ..LoadReport::default()
    }
}

fn routing_request() -> RoutingRequest {
    RoutingRequest {
        prompt_tokens: 100,
        output_tokens: 100,
        idempotent: true,
        ..RoutingRequest::default()
    }
}

fn choose(
    table: &BackendTable,
    now: Duration,
    routing: &RoutingRequest,
    exclude: &[BackendId],
) -> (Reason, Option<Reservation>) {
    let (pool, route): (PoolId, RouteId) = ("draft@v1".into(), "/v1/completions".into());
    let request = Request {
        pool: &pool,
        route: &route,
        routing,
        exclude,
    };
    let (decision, reservation) = table.choose(now, &request, 3);
    assert_eq!(decision.chosen.is_some(), reservation.is_some());
    (decision.reason, reservation)
}

#[test]
fn memory_is_reserved_until_drop_and_stays_within_the_share() {
    let table = build_table(&["e1", "e2"], 6);
    let mut reservations = Vec::new();
    let mut small = routing_request();
    small.prompt_tokens = 1;
    loop {
        let (reason, reservation) = choose(&table, T0, &small, &[]);
        let Some(mut reservation) = reservation else {
            assert_eq!(reason, Reason::NoneFit);
            break;
        };
        reservation.record_first_token(T0);
        reservations.push(reservation);
    }
    // A sixth of 85,000 tokens at each of two engines, 101 tokens a request.
    assert_eq!(reservations.len(), 2 * (85_000 / 6 / 101));
    for name in ["e1", "e2"] {
        assert!(table.reserved_tokens(name) * 6 <= 100_000);
    }
    drop(reservations);
    assert_eq!(
        (table.reserved_tokens("e1"), table.reserved_tokens("e2")),
        (0, 0)
    );
    assert!(choose(&table, T0, &small, &[]).1.is_some());
}

#[test]
fn prompt_tokens_that_wait_for_a_first_token_are_limited() {
    let table = build_table(&["e1"], 1);
    let mut routing = routing_request();
    routing.prompt_tokens = 5_000;
    let first = choose(&table, T0, &routing, &[]).1.expect("nothing waits");
    let mut second = choose(&table, T0, &routing, &[])
        .1
        .expect("5,000 of 8,192 tokens wait");
    assert!(choose(&table, T0, &routing, &[]).1.is_none());
    second.record_first_token(T0);
    assert!(choose(&table, T0, &routing, &[]).1.is_some());
    drop(first);
}

#[test]
fn own_sends_and_cache_events_attract_requests_with_the_same_prefix() {
    let table = build_table(&["e1", "e2", "e3"], 1);
    let mut routing = routing_request();
    routing.prompt_tokens = 700;
    routing.prefix = (1..=40).collect();
    let mut first = choose(&table, T0, &routing, &[]).1.expect("all are fit");
    first.record_first_token(T0 + Duration::from_millis(100));
    let home = first.backend().clone();
    first.end(T0 + Duration::from_millis(200), Some(Outcome::Success));
    for _ in 0..5 {
        let mut reservation = choose(&table, T0, &routing, &[]).1.expect("all are fit");
        assert_eq!(reservation.backend(), &home);
        reservation.record_first_token(T0 + Duration::from_millis(100));
    }
    // The engine's own report takes precedence over the estimate from this node's sends.
    let empty = CacheEvents {
        snapshot: Some(Vec::new()),
        next: 1,
        ..CacheEvents::default()
    };
    table.on_cache(&home, &empty);
    let other = if &*home == "e1" { "e2" } else { "e1" };
    let held = CacheEvents {
        snapshot: Some(routing.prefix.clone()),
        next: 1,
        ..CacheEvents::default()
    };
    table.on_cache(other, &held);
    assert_eq!(
        &**choose(&table, T0, &routing, &[]).1.expect("fit").backend(),
        other
    );
}

#[test]
fn a_lost_server_is_ejected_on_every_route_and_tried_by_one_request() {
    let table = build_table(&["e1", "e2", "e3", "e4"], 1);
    for _ in 0..3 {
        table.on_unreachable("e2");
    }
    assert_eq!(table.tick(T0).len(), 1);
    for _ in 0..20 {
        let reservation = choose(&table, T0, &routing_request(), &[])
            .1
            .expect("three are fit");
        assert_ne!(&**reservation.backend(), "e2");
    }
    let later = T0 + Duration::from_secs(6);
    table.tick(later);
    let mut order = routing_request();
    order.idempotent = false;
    let (reason, _) = choose(&table, later, &order, &[]);
    assert_eq!(reason, Reason::Policy, "a non-idempotent call was a trial");
    let (reason, reservation) = choose(&table, later, &routing_request(), &[]);
    let reservation = reservation.expect("a trial");
    assert_eq!((reason, &**reservation.backend()), (Reason::Trial, "e2"));
    assert_eq!(
        choose(&table, later, &routing_request(), &[]).0,
        Reason::Policy,
        "two trials at a time"
    );
    reservation.end(later, Some(Outcome::Success));
    table.tick(later);
    let (reason, second) = choose(&table, later, &routing_request(), &[]);
    assert_eq!(reason, Reason::Trial);
    second.expect("a trial").end(later, Some(Outcome::Success));
    table.tick(later);
    assert_eq!(
        choose(&table, later, &routing_request(), &[]).0,
        Reason::Policy
    );
}

#[test]
fn a_dropped_trial_is_offered_again() {
    let table = build_table(&["e1", "e2", "e3", "e4"], 1);
    for _ in 0..3 {
        table.on_unreachable("e2");
    }
    table.tick(T0);
    let later = T0 + Duration::from_secs(6);
    table.tick(later);
    drop(
        choose(&table, later, &routing_request(), &[])
            .1
            .expect("a trial"),
    );
    table.tick(later);
    assert_eq!(
        choose(&table, later, &routing_request(), &[]).0,
        Reason::Trial
    );
}

#[test]
fn faults_on_one_route_do_not_affect_other_routes() {
    let table = build_table(&["e1", "e2", "e3", "e4"], 1);
    let pool: PoolId = "draft@v1".into();
    let (bad, good): (RouteId, RouteId) = ("/bad".into(), "/good".into());
    let routing = routing_request();
    let request = |route| Request {
        pool: &pool,
        route,
        routing: &routing,
        exclude: &[],
    };
    for i in 0..200 {
        let reservation = table.choose(T0, &request(&bad), i).1.expect("fit");
        let fault = &**reservation.backend() == "e1";
        reservation.end(
            T0,
            Some(if fault {
                Outcome::Fault
            } else {
                Outcome::Success
            }),
        );
        table.tick(T0);
    }
    let skip_reason = |route| {
        let (decision, _) = table.choose(T0, &request(route), 1);
        let listed = decision
            .listed
            .iter()
            .find(|c| &*c.backend == "e1")
            .expect("named");
        listed.skip_reason
    };
    assert_eq!(skip_reason(&bad), Some(SkipReason::Ejected));
    assert_ne!(skip_reason(&good), Some(SkipReason::Ejected));
}

#[test]
fn leaving_unloaded_and_excluded_servers_are_skipped() {
    let table = build_table(&["e1", "e2", "e3"], 1);
    let leaving = LoadReport {
        leaving: true,
        sequence: 1,
        ..report(100_000)
    };
    table.on_load(T0, "e1", &leaving);
    let unloaded = LoadReport {
        versions: vec!["draft@v0".into()],
        sequence: 1,
        ..report(100_000)
    };
    table.on_load(T0, "e2", &unloaded);
    table.tick(T0);
    let reservation = choose(&table, T0, &routing_request(), &[])
        .1
        .expect("e3 is fit");
    assert_eq!(&**reservation.backend(), "e3");
    let (reason, none) = choose(&table, T0, &routing_request(), &["e3".into()]);
    assert_eq!((reason, none.is_none()), (Reason::NoneFit, true));
}

/// A stream that callers already have part of must not wait behind new ones.
#[test]
fn the_last_permit_of_a_limit_is_not_for_a_repeat_but_for_a_resumed_stream() {
    let table = build_table(&["e1"], 1);
    let limits = table.limits();
    let named = 10 * T0;
    limits.record("e1", Some(2.0), named, named);
    let request = |purpose| RoutingRequest {
        purpose,
        ..routing_request()
    };
    let chosen = |purpose, now| choose(&table, now, &request(purpose), &[]).1.is_some();
    assert!(!chosen(Purpose::New, named));
    limits.fleet.due_calls(named);
    let later = named + T0 / 2;
    limits.fleet.due_calls(later);
    assert!(!chosen(Purpose::Repeat, later));
    assert!(chosen(Purpose::Ongoing, later));
    assert!(!chosen(Purpose::New, later));
}

#[test]
fn a_replaced_table_keeps_its_state_and_reservations_outlive_it() {
    let table = build_table(&["e1", "e2"], 1);
    let reservation = choose(&table, T0, &routing_request(), &["e1".into()])
        .1
        .expect("e2 is fit");
    table.update(&[placement(&["e2", "e3"])], &subset(1));
    assert_eq!(table.reserved_tokens("e2"), 200);
    assert!(table.server("e1").is_none());
    table.update(&[placement(&["e3"])], &subset(1));
    drop(reservation);
    let pool: PoolId = "other@v1".into();
    let route: RouteId = "/".into();
    let routing = routing_request();
    let request = Request {
        pool: &pool,
        route: &route,
        routing: &routing,
        exclude: &[],
    };
    let (decision, none) = table.choose(T0, &request, 1);
    assert_eq!((decision.reason, none.is_none()), (Reason::Unplaced, true));
}

#[test]
fn threads_choose_while_the_table_is_replaced() {
    let table = Arc::new(build_table(&["e1", "e2", "e3"], 2));
    std::thread::scope(|scope| {
        for _ in 0..3 {
            let table = table.clone();
            scope.spawn(move || {
                for _ in 0..500 {
                    let (_, reservation) = choose(&table, T0, &routing_request(), &[]);
                    if let Some(mut reservation) = reservation {
                        reservation.record_first_token(T0);
                    }
                }
            });
        }
        for i in 0..100 {
            let servers: &[&str] = if i % 2 == 0 {
                &["e1", "e2"]
            } else {
                &["e1", "e2", "e3"]
            };
            table.update(&[placement(servers)], &subset(2));
            table.tick(T0);
        }
    });
    assert_eq!(
        (table.reserved_tokens("e1"), table.reserved_tokens("e2")),
        (0, 0)
    );
}
