//! What goes wrong with an engine, as its control interface sets it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The faults of an engine.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Faults of versions, by their names.
    pub versions: BTreeMap<String, Fault>,
    /// A request whose prompt contains this text kills the engine.
    pub poison: Option<String>,
    /// The engine says that it leaves, and refuses new requests.
    pub leaving: bool,
}

/// A version's fault: what happens, and to which requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// What happens.
    pub failure: Failure,
    /// Requests that the version serves well before the fault shows.
    pub after_requests: u64,
    /// The fault shows only while more requests than this run.
    pub above_running: usize,
    /// The fault shows only on this path.
    pub path: Option<String>,
    /// The chance of a request to be hit, from 0 to 1.
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

/// What happens to a request.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Failure {
    /// It is answered with status 500.
    Refuse,
    /// Its connection is reset after a count of tokens.
    Reset(u32),
    /// Its stream ends cleanly after a count of tokens, without its last event.
    EndEarly(u32),
    /// It gets a token only each so many steps.
    Slow(u32),
    /// It gets no token after a count of tokens, and its connection stays open.
    Stall(u32),
    /// It kills the engine after a count of tokens.
    Crash(u32),
}

/// What a fault is matched against.
#[derive(Clone, Copy, Debug)]
pub(super) struct Seen<'a> {
    pub(super) path: &'a str,
    pub(super) running: usize,
    pub(super) requests: u64,
    /// A random number from 0 to 1.
    pub(super) draw: f64,
}

impl Fault {
    /// Reports whether the fault hits a request.
    pub(super) fn hits(&self, seen: &Seen<'_>) -> bool {
        seen.requests > self.after_requests
            && seen.running >= self.above_running
            && self.path.as_deref().is_none_or(|path| path == seen.path)
            && seen.draw < self.chance
    }
}
