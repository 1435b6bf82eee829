//! Sample values for several tests.

use std::{sync::Arc, time::Duration};

use crate::model::{Route, RouteKind, Target};

/// Returns a route to one service for requests of a kind, which need a key.
pub(super) fn route(kind: RouteKind) -> Route {
    Route {
        name: String::new(),
        host: String::new(),
        prefix: "/".to_owned(),
        kind,
        timeout: Duration::from_secs(1),
        objective: Duration::from_secs(1),
        priority: 1,
        targets: vec![Target {
            service: Arc::from("s"),
            weight: 1,
        }],
        attempts: 2,
        public: false,
    }
}
