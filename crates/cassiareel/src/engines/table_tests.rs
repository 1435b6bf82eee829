//! The table chooses by what it was told, holds memory, and keeps beliefs over its replacement.

use std::{sync::Arc, time::Duration};

use super::{
    BackendTable, Options, Placement, PoolId, Reason, Request, Reservation, RouteId, SubsetConfig,
};
use crate::{
    backend::{CacheEvents, LoadReport},
    kernel::{
        health::Outcome,
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

fn engines(servers: &[&str], nodes: usize) -> BackendTable {
    let engines = BackendTable::new(Options::default()).expect("the default policy is registered");
    engines.update(&[placement(servers)], &subset(nodes));
    for server in servers {
        engines.on_load(T0, server, &report(100_000));
    }
    engines
}

fn report(total: u64) -> LoadReport {
    LoadReport {
        total_tokens: total,
        token_ms: 20.0,
        versions: vec!["draft@v1".into()],
        ..LoadReport::default()
    }
}

fn ask() -> RoutingRequest {
    RoutingRequest {
        prompt_tokens: 100,
        output_tokens: 100,
        idempotent: true,
        ..RoutingRequest::default()
    }
}

fn choose(
    engines: &BackendTable,
    now: Duration,
    ask: &RoutingRequest,
    exclude: &[BackendId],
) -> (Reason, Option<Reservation>) {
    let (pool, route): (PoolId, RouteId) = ("draft@v1".into(), "/v1/completions".into());
    let request = Request {
        pool: &pool,
        route: &route,
        routing: ask,
        exclude,
    };
    let (decision, reservation) = engines.choose(now, &request, 3);
    assert_eq!(decision.chosen.is_some(), reservation.is_some());
    (decision.reason, reservation)
}

#[test]
fn memory_is_held_until_the_ticket_is_dropped_and_never_passes_the_share() {
    let engines = engines(&["e1", "e2"], 6);
    let mut reservations = Vec::new();
    let mut small = ask();
    small.prompt_tokens = 1;
    loop {
        let (reason, reservation) = choose(&engines, T0, &small, &[]);
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
        assert!(engines.reserved_tokens(name) * 6 <= 100_000);
    }
    drop(reservations);
    assert_eq!(
        (engines.reserved_tokens("e1"), engines.reserved_tokens("e2")),
        (0, 0)
    );
    assert!(choose(&engines, T0, &small, &[]).1.is_some());
}

#[test]
fn what_waits_for_a_first_token_is_bounded() {
    let engines = engines(&["e1"], 1);
    let mut ask = ask();
    ask.prompt_tokens = 5_000;
    let first = choose(&engines, T0, &ask, &[]).1.expect("nothing waits");
    let mut second = choose(&engines, T0, &ask, &[])
        .1
        .expect("5,000 of 8,192 tokens wait");
    assert!(choose(&engines, T0, &ask, &[]).1.is_none());
    second.record_first_token(T0);
    assert!(choose(&engines, T0, &ask, &[]).1.is_some());
    drop(first);
}

#[test]
fn own_sends_and_cache_events_draw_requests_with_the_same_prefix() {
    let engines = engines(&["e1", "e2", "e3"], 1);
    let mut ask = ask();
    ask.prompt_tokens = 700;
    ask.prefix = (1..=40).collect();
    let mut first = choose(&engines, T0, &ask, &[]).1.expect("all are fit");
    first.record_first_token(T0 + Duration::from_millis(100));
    let home = first.backend().clone();
    first.end(T0 + Duration::from_millis(200), Some(Outcome::Success));
    for _ in 0..5 {
        let mut reservation = choose(&engines, T0, &ask, &[]).1.expect("all are fit");
        assert_eq!(reservation.backend(), &home);
        reservation.record_first_token(T0 + Duration::from_millis(100));
    }
    // The engine's own word goes before the belief.
    let empty = CacheEvents {
        snapshot: Some(Vec::new()),
        next: 1,
        ..CacheEvents::default()
    };
    engines.on_cache(&home, &empty);
    let other = if &*home == "e1" { "e2" } else { "e1" };
    let held = CacheEvents {
        snapshot: Some(ask.prefix.clone()),
        next: 1,
        ..CacheEvents::default()
    };
    engines.on_cache(other, &held);
    assert_eq!(
        &**choose(&engines, T0, &ask, &[]).1.expect("fit").backend(),
        other
    );
}

#[test]
fn a_lost_server_is_ejected_on_every_route_and_tried_by_one_request() {
    let engines = engines(&["e1", "e2", "e3", "e4"], 1);
    for _ in 0..3 {
        engines.on_unreachable("e2");
    }
    assert_eq!(engines.tick(T0).len(), 1);
    for _ in 0..20 {
        let reservation = choose(&engines, T0, &ask(), &[]).1.expect("three are fit");
        assert_ne!(&**reservation.backend(), "e2");
    }
    let later = T0 + Duration::from_secs(6);
    engines.tick(later);
    let mut order = ask();
    order.idempotent = false;
    let (reason, _) = choose(&engines, later, &order, &[]);
    assert_eq!(reason, Reason::Policy, "a non-idempotent call was a trial");
    let (reason, reservation) = choose(&engines, later, &ask(), &[]);
    let reservation = reservation.expect("a trial");
    assert_eq!((reason, &**reservation.backend()), (Reason::Trial, "e2"));
    assert_eq!(
        choose(&engines, later, &ask(), &[]).0,
        Reason::Policy,
        "two trials at a time"
    );
    reservation.end(later, Some(Outcome::Success));
    engines.tick(later);
    let (reason, second) = choose(&engines, later, &ask(), &[]);
    assert_eq!(reason, Reason::Trial);
    second.expect("a trial").end(later, Some(Outcome::Success));
    engines.tick(later);
    assert_eq!(choose(&engines, later, &ask(), &[]).0, Reason::Policy);
}

#[test]
fn a_dropped_trial_is_offered_again() {
    let engines = engines(&["e1", "e2", "e3", "e4"], 1);
    for _ in 0..3 {
        engines.on_unreachable("e2");
    }
    engines.tick(T0);
    let later = T0 + Duration::from_secs(6);
    engines.tick(later);
    drop(choose(&engines, later, &ask(), &[]).1.expect("a trial"));
    engines.tick(later);
    assert_eq!(choose(&engines, later, &ask(), &[]).0, Reason::Trial);
}

#[test]
fn faults_on_one_route_leave_the_others() {
    let engines = engines(&["e1", "e2", "e3", "e4"], 1);
    let pool: PoolId = "draft@v1".into();
    let (bad, good): (RouteId, RouteId) = ("/bad".into(), "/good".into());
    let ask = ask();
    let request = |route| Request {
        pool: &pool,
        route,
        routing: &ask,
        exclude: &[],
    };
    for i in 0..200 {
        let reservation = engines.choose(T0, &request(&bad), i).1.expect("fit");
        let fault = &**reservation.backend() == "e1";
        reservation.end(
            T0,
            Some(if fault {
                Outcome::Fault
            } else {
                Outcome::Success
            }),
        );
        engines.tick(T0);
    }
    let skip_reason = |route| {
        let (decision, _) = engines.choose(T0, &request(route), 1);
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
fn leaving_unloaded_and_excluded_servers_are_passed_over() {
    let engines = engines(&["e1", "e2", "e3"], 1);
    let leaving = LoadReport {
        leaving: true,
        sequence: 1,
        ..report(100_000)
    };
    engines.on_load(T0, "e1", &leaving);
    let unloaded = LoadReport {
        versions: vec!["draft@v0".into()],
        sequence: 1,
        ..report(100_000)
    };
    engines.on_load(T0, "e2", &unloaded);
    engines.tick(T0);
    let reservation = choose(&engines, T0, &ask(), &[]).1.expect("e3 is fit");
    assert_eq!(&**reservation.backend(), "e3");
    let (reason, none) = choose(&engines, T0, &ask(), &["e3".into()]);
    assert_eq!((reason, none.is_none()), (Reason::NoneFit, true));
}

#[test]
fn a_replaced_table_keeps_what_is_known_and_tickets_outlive_it() {
    let engines = engines(&["e1", "e2"], 1);
    let reservation = choose(&engines, T0, &ask(), &["e1".into()])
        .1
        .expect("e2 is fit");
    engines.update(&[placement(&["e2", "e3"])], &subset(1));
    assert_eq!(engines.reserved_tokens("e2"), 200);
    assert!(engines.server("e1").is_none());
    engines.update(&[placement(&["e3"])], &subset(1));
    drop(reservation);
    let pool: PoolId = "other@v1".into();
    let route: RouteId = "/".into();
    let ask = ask();
    let request = Request {
        pool: &pool,
        route: &route,
        routing: &ask,
        exclude: &[],
    };
    let (decision, none) = engines.choose(T0, &request, 1);
    assert_eq!((decision.reason, none.is_none()), (Reason::Unplaced, true));
}

#[test]
fn threads_choose_while_the_table_is_replaced() {
    let engines = Arc::new(engines(&["e1", "e2", "e3"], 2));
    std::thread::scope(|scope| {
        for _ in 0..3 {
            let engines = engines.clone();
            scope.spawn(move || {
                for _ in 0..500 {
                    let (_, reservation) = choose(&engines, T0, &ask(), &[]);
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
            engines.update(&[placement(servers)], &subset(2));
            engines.tick(T0);
        }
    });
    assert_eq!(
        (engines.reserved_tokens("e1"), engines.reserved_tokens("e2")),
        (0, 0)
    );
}
