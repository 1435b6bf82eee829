//! The version of a request, and the count of how it ends.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use super::Shared;
use crate::{
    kernel::{
        moves::{Caller, Cell, Key, Outcome, VersionQuery},
        ServiceId, Time,
    },
    settings::{Identity, Route, Snapshot},
};

/// Whole answers of the proven version before others are compared with them.
const KNOWN: u32 = 20;

/// The part of the usual length under which an answer ended early.
const EARLY: f64 = 0.125;

/// How many times the usual time for a token an answer takes to be slow.
const SLOW: f64 = 2.0;

/// Whole answers that the usual length and pace are taken over.
const MEMORY: f64 = 100.0;

/// The usual length and pace of the proven version's whole answers, on this node.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Usual {
    answers: u32,
    tokens: f64,
    token_time: f64,
}

impl Usual {
    fn learn(&mut self, tokens: f64, token_time: f64) {
        self.answers = self.answers.saturating_add(1);
        let weight = 1.0 / f64::from(self.answers).min(MEMORY);
        self.tokens += (tokens - self.tokens) * weight;
        self.token_time += (token_time - self.token_time) * weight;
    }

    fn judge(&self, tokens: f64, token_time: f64) -> Outcome {
        if self.answers < KNOWN {
            return Outcome::Good;
        }
        if tokens < self.tokens * EARLY {
            return Outcome::Early;
        }
        if token_time > self.token_time * SLOW {
            return Outcome::Slow;
        }
        Outcome::Good
    }
}

/// A request that the judges see; dropping it counts nothing more.
#[derive(Debug)]
pub struct Watch {
    shared: Arc<Shared>,
    key: Option<Key>,
    service: ServiceId,
    began: Time,
    proven: bool,
}

impl Watch {
    /// Counts a whole answer of so many tokens; one of a plain service has one.
    pub fn whole(&self, tokens: u32, server: &str) {
        let tokens = f64::from(tokens);
        let took = self.shared.now().saturating_sub(self.began).as_secs_f64();
        let token_time = took / tokens.max(1.0);
        let outcome = {
            let mut usual = self.shared.usual.lock().expect("no holder panics");
            let usual = usual.entry(self.service.clone()).or_default();
            let outcome = usual.judge(tokens, token_time);
            if self.proven {
                usual.learn(tokens, token_time);
            }
            outcome
        };
        self.end(outcome, server);
    }

    /// Counts how the request ended, on the backend server at fault if there was one.
    pub fn end(&self, outcome: Outcome, server: &str) {
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
        self.shared.end(key, outcome);
    }
}

impl Shared {
    /// A watch that counts nothing, for a request that is counted elsewhere.
    pub fn unwatched(self: &Arc<Shared>, service: &ServiceId) -> Watch {
        Watch {
            shared: self.clone(),
            key: None,
            service: service.clone(),
            began: self.now(),
            proven: false,
        }
    }

    /// Gives a request its version by the moves in force, and counts it where a judge looks on.
    pub fn watch(
        self: &Arc<Shared>,
        snapshot: &Snapshot,
        identity: &Identity,
        route: Route,
        path: &str,
        request: &str,
        data_centre: &str,
    ) -> (Route, Watch) {
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
        let question = VersionQuery {
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
        let version = view.version(now, question);
        let moves = view.open_move(now, &route.service);
        let proven = moves.is_none_or(|(status, _)| status.plan.to != version);
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
            self.begin(key.clone());
        }
        let watch = Watch {
            shared: self.clone(),
            key,
            service: route.service.clone(),
            began: now,
            proven,
        };
        (route, watch)
    }
}
