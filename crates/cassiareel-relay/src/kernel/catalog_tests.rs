//! Lookup of routes by host and longest prefix, and of client accounts by key.

use std::sync::Arc;

use test_case::test_case;

use super::{samples, Catalog, Lookup};
use crate::model::{Account, Policy, Route, RouteKind};

fn route(name: &str, host: &str, prefix: &str, public: bool) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        public,
        ..samples::route(RouteKind::Idempotent)
    }
}

fn catalog() -> Catalog {
    Catalog::new(Policy {
        version: 7,
        routes: vec![
            route("short", "a.example", "/x/", false),
            route("long", "a.example", "/x/y/", false),
            route("open", "a.example", "/open/", true),
            route("all", "b.example", "/", false),
        ],
        accounts: Some(vec![Account {
            name: Arc::from("t"),
            keys: vec!["k1".to_owned(), "k2".to_owned()],
            priority: Some(3),
        }]),
        ..Policy::default()
    })
}

struct Case {
    host: &'static str,
    path: &'static str,
    key: Option<&'static str>,
    want: &'static str,
}

#[test_case(&Case { host: "a.example", path: "/x/1", key: Some("k1"), want: "short" })]
#[test_case(&Case { host: "a.example", path: "/x/y/1", key: Some("k2"), want: "long" })]
#[test_case(&Case { host: "a.example", path: "/x/y", key: Some("k1"), want: "short" })]
#[test_case(&Case { host: "a.example", path: "/x", key: Some("k1"), want: "no route" }; "prefix without its slash")]
#[test_case(&Case { host: "a.example", path: "/open/1", key: None, want: "open" })]
#[test_case(&Case { host: "b.example", path: "/any/thing", key: Some("k1"), want: "all" })]
#[test_case(&Case { host: "c.example", path: "/x/1", key: Some("k1"), want: "no route" }; "unknown host")]
#[test_case(&Case { host: "a.example", path: "/x/1", key: None, want: "unknown key" }; "no key")]
#[test_case(&Case { host: "a.example", path: "/x/1", key: Some("k"), want: "unknown key" }; "part of a key")]
fn requests_find_their_routes(case: &Case) {
    let found = match catalog().find(case.host, case.path, case.key) {
        Lookup::Found { route, .. } => route.name.clone(),
        Lookup::NoRoute => "no route".to_owned(),
        Lookup::UnknownKey => "unknown key".to_owned(),
    };
    assert_eq!(found, case.want);
}

#[test]
fn the_priority_of_a_client_account_overrides_that_of_its_route() {
    let Lookup::Found {
        account, priority, ..
    } = catalog().find("a.example", "/x/1", Some("k1"))
    else {
        panic!("the route is known");
    };
    assert_eq!((account.as_deref(), priority), (Some("t"), 3));
}
