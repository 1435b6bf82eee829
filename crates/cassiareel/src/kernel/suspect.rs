/*!
Requests that take their engines down.

A request is known by a digest of its content beneath its caller, so that it is the same under a
new name. Each engine that dies under an attempt counts against every request that ran there, as
nothing tells which of them did it. A request that completes is cleared at once, and what is held
against one that does not come again is forgotten with time; so the innocent are not blamed for
long, while the guilty one never completes.

What is known merges by union, without order, so that nodes can tell each other. With a bound of two
engines and the facts of other nodes at hand, a request that is sent again and again takes two
engines down in the whole fleet. Nodes that have not heard of each other's losses each lose up to
the bound, so that six nodes which all get the request at one moment lose twelve at most.
*/

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::{ticket::Short, Attempt, RequestId};

/// Time after which a loss is not held against a request any more.
const MEMORY: Duration = Duration::from_secs(600);

/// Requests of which something is held; the ones blamed longest ago are forgotten first.
const MOST_REQUESTS: usize = 4096;

/// Losses kept of one request, above any bound that is of use.
const MOST_LOSSES: usize = 16;

/// An engine that died under an attempt.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Loss {
    /// When, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The generation.
    pub generation: RequestId,
    /// The attempt.
    pub attempt: Attempt,
}

/// What is held against one request.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// The engines that died under it.
    pub losses: BTreeSet<Loss>,
    /// When it last completed, in milliseconds since the Unix epoch; older losses don't count.
    pub cleared_ms: u64,
}

/// What is held against requests.
///
/// # Examples
///
/// ```
/// use cassiareel::kernel::suspect::{Loss, Suspects};
///
/// let request = [7; 16];
/// let mut here = Suspects::default();
/// let mut there = Suspects::default();
/// here.lost(request, Loss { at_ms: 1_000, generation: "g-1".into(), attempt: 1 });
/// there.lost(request, Loss { at_ms: 1_200, generation: "g-2".into(), attempt: 1 });
/// here.merge(&there);
/// assert_eq!(here.losses(&request, 1_300), 2);
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Suspects {
    requests: BTreeMap<Short, Record>,
}

impl Suspects {
    /// Notes an engine that died under a request.
    pub fn lost(&mut self, request: Short, loss: Loss) {
        let record = self.requests.entry(request).or_default();
        record.losses.insert(loss);
        record.trim();
        self.trim();
    }

    /// Notes that a request completed.
    pub fn cleared(&mut self, request: &Short, now_ms: u64) {
        if let Some(record) = self.requests.get_mut(request) {
            record.cleared_ms = record.cleared_ms.max(now_ms);
        }
    }

    /// Counts the engines that a request is blamed for.
    pub fn losses(&self, request: &Short, now_ms: u64) -> u32 {
        let Some(record) = self.requests.get(request) else {
            return 0;
        };
        record
            .losses
            .iter()
            .filter(|loss| record.counts(loss, now_ms))
            .count() as u32
    }

    /// Takes over what another node holds.
    pub fn merge(&mut self, other: &Suspects) {
        for (request, theirs) in &other.requests {
            let ours = self.requests.entry(*request).or_default();
            ours.losses.extend(theirs.losses.iter().cloned());
            ours.cleared_ms = ours.cleared_ms.max(theirs.cleared_ms);
            ours.trim();
        }
        self.trim();
    }

    /// Drops what does not count any more.
    pub fn forget(&mut self, now_ms: u64) {
        self.requests
            .retain(|_, record| record.losses.iter().any(|loss| record.counts(loss, now_ms)));
    }

    /// Reports whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Keeps the requests blamed last.
    fn trim(&mut self) {
        while self.requests.len() > MOST_REQUESTS {
            let last = |record: &Record| record.losses.last().map(|loss| loss.at_ms);
            let oldest = self
                .requests
                .iter()
                .min_by_key(|(_, record)| last(record))
                .map(|(request, _)| *request);
            oldest.map(|request| self.requests.remove(&request));
        }
    }
}

impl Record {
    /// Reports whether a loss still counts.
    fn counts(&self, loss: &Loss, now_ms: u64) -> bool {
        let age = Duration::from_millis(now_ms.saturating_sub(loss.at_ms));
        loss.at_ms > self.cleared_ms && age < MEMORY
    }

    /// Keeps the latest losses.
    fn trim(&mut self) {
        while self.losses.len() > MOST_LOSSES {
            self.losses.pop_first();
        }
    }
}
