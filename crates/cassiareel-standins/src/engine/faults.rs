//! Injected faults of an engine, as its control interface reads and writes them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The injected faults of an engine.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The faults of versions, by version name.
    pub versions: BTreeMap<String, Fault>,
    /// A request whose prompt contains this text crashes the engine.
    pub poison: Option<String>,
    /// The engine reports that it is leaving, and refuses new requests.
    pub leaving: bool,
    /// The limit that the engine names in its reports, in requests a second from all nodes.
    pub request_limit: Option<f64>,
}

/// A fault of a version: the failure, and the conditions under which a request fails.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// How an affected request fails.
    pub failure: Failure,
    /// The number of requests that the version serves correctly before the fault takes effect.
    pub after_requests: u64,
    /// The fault affects a request only if at least this many requests already run.
    pub above_running: usize,
    /// The fault affects only requests to this path.
    pub path: Option<String>,
    /// The probability, from 0 to 1, that a request is affected.
    pub chance: f64,
}

impl Default for Fault {
    fn default() -> Fault {
        Fault {
            failure: Failure::Refuse,
            after_requests: 0,
            above_running: 0,
            path: None,
            chance: 1.0,
        }
    }
}

/// How a request fails.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Failure {
    /// The request is answered with status 500.
    Refuse,
    /// The connection is reset after this many tokens.
    Reset(u32),
    /// The stream ends cleanly after this many tokens, without its last event.
    EndEarly(u32),
    /// A token is generated only every this many steps.
    Slow(u32),
    /// No token is generated after this many tokens, and the connection stays open.
    Stall(u32),
    /// The engine crashes after this many tokens.
    Crash(u32),
}

/// The facts about a request that decide whether a fault affects it.
#[derive(Clone, Copy, Debug)]
pub(super) struct FaultContext<'a> {
    pub(super) path: &'a str,
    pub(super) running: usize,
    pub(super) requests: u64,
    /// A random number from 0 to 1 that is compared with the fault's probability.
    pub(super) draw: f64,
}

impl Fault {
    /// Reports whether the fault affects a request.
    pub(super) fn applies_to(&self, context: &FaultContext<'_>) -> bool {
        context.requests > self.after_requests
            && context.running >= self.above_running
            && self.path.as_deref().is_none_or(|path| path == context.path)
            && context.draw < self.chance
    }
}
