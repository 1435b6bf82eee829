//! The choice of a request's version, and the count of its outcome.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use super::SharedState;
use crate::{
    kernel::{
        moves::{Caller, Cell, Key, Outcome, VersionQuery},
        ServiceId, Time,
    },
    settings::{Identity, Route, Snapshot},
};

/// Complete answers of the proven version that are needed before answers are compared with them.
const MIN_BASELINE_ANSWERS: u32 = 20;

/// Fraction of the baseline length below which an answer counts as ended early.
const EARLY_LENGTH_FRACTION: f64 = 0.125;

/// Multiple of the baseline time per token above which an answer counts as slow.
const SLOW_TIME_FACTOR: f64 = 2.0;

/// Number of answers that the moving averages of the baseline extend over.
const BASELINE_WINDOW_ANSWERS: f64 = 100.0;

/// The mean length and time per token of the proven version's complete answers on this node.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Baseline {
    answers: u32,
    tokens: f64,
    token_time: f64,
}

impl Baseline {
    fn record(&mut self, tokens: f64, token_time: f64) {
        self.answers = self.answers.saturating_add(1);
        let weight = 1.0 / f64::from(self.answers).min(BASELINE_WINDOW_ANSWERS);
        self.tokens += (tokens - self.tokens) * weight;
        self.token_time += (token_time - self.token_time) * weight;
    }

    fn classify(&self, tokens: f64, token_time: f64) -> Outcome {
        if self.answers < MIN_BASELINE_ANSWERS {
            return Outcome::Good;
        }
        if tokens < self.tokens * EARLY_LENGTH_FRACTION {
            return Outcome::Early;
        }
        if token_time > self.token_time * SLOW_TIME_FACTOR {
            return Outcome::Slow;
        }
        Outcome::Good
    }
}

/// A request whose outcome is counted for the judge. Dropping it counts nothing more.
#[derive(Debug)]
pub struct CountedRequest {
    shared: Arc<SharedState>,
    key: Option<Key>,
    service: ServiceId,
    start: Time,
    is_proven: bool,
}

impl CountedRequest {
    /// Counts a complete answer with its number of tokens; an answer of a plain service counts as one
    /// token.
    pub fn record_answer(&self, tokens: u32, server: &str) {
        let tokens = f64::from(tokens);
        let took = self.shared.now().saturating_sub(self.start).as_secs_f64();
        let token_time = took / tokens.max(1.0);
        let outcome = {
            let mut baselines = self
                .shared
                .baselines
                .lock()
                .expect("the lock is not poisoned");
            let baseline = baselines.entry(self.service.clone()).or_default();
            let outcome = baseline.classify(tokens, token_time);
            if self.is_proven {
                baseline.record(tokens, token_time);
            }
            outcome
        };
        self.record_outcome(outcome, server);
    }

    /// Counts the outcome of the request, for the backend server at fault if it is a fault.
    pub fn record_outcome(&self, outcome: Outcome, server: &str) {
        let Some(key) = &self.key else {
            return;
        };
        let server = match outcome {
            Outcome::Good => 0,
            _ => xxh3_64(server.as_bytes()) as u16,
        };
        let key = Key {
            server,
            ..key.clone()
        };
        self.shared.record_end(key, outcome);
    }
}

impl SharedState {
    /// Returns a request whose outcome is not counted, since it is counted elsewhere.
    pub fn uncounted(self: &Arc<SharedState>, service: &ServiceId) -> CountedRequest {
        CountedRequest {
            shared: self.clone(),
            key: None,
            service: service.clone(),
            start: self.now(),
            is_proven: false,
        }
    }

    /// Chooses the version of a request by the moves in force, and counts the request if it is in the
    /// scope of an open move.
    pub fn assign_version(
        self: &Arc<SharedState>,
        snapshot: &Snapshot,
        identity: &Identity,
        route: Route,
        path: &str,
        request: &str,
        data_centre: &str,
    ) -> (Route, CountedRequest) {
        let now = self.now();
        let view = self.view.load();
        let cell = Cell {
            account: identity.account.clone(),
            route: path.into(),
        };
        let name = format!("{}/{}", identity.account, identity.caller);
        let accounts = &snapshot.tree.accounts;
        let callers = accounts
            .get(&identity.account)
            .map_or(1, |account| account.callers.len());
        let query = VersionQuery {
            service: &route.service,
            version: &route.version,
            cell: &cell,
            caller_name: &identity.caller,
            caller: Caller {
                name: &name,
                request,
                callers,
            },
            data_centre,
        };
        let version = view.version(now, query);
        let open_move = view.open_move(now, &route.service);
        let is_proven = open_move.is_none_or(|(status, _)| status.plan.to != version);
        let route = snapshot.route_with_version(route, version);
        let judged = view
            .open_move(now, &route.service)
            .is_some_and(|(status, _)| {
                let scope = &status.plan.scope;
                scope.contains(&cell, &identity.caller, data_centre)
            });
        let key = judged.then(|| Key {
            version: route.version.clone(),
            cell,
            server: 0,
        });
        if let Some(key) = &key {
            self.record_start(key.clone());
        }
        let counted = CountedRequest {
            shared: self.clone(),
            key,
            service: route.service.clone(),
            start: now,
            is_proven,
        };
        (route, counted)
    }
}
