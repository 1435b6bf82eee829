//! The state that nodes share: moves, verdicts, request counts and lost runs.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        atomic::{AtomicBool, Ordering},
        Mutex, MutexGuard,
    },
    time::Instant,
};

use arc_swap::ArcSwap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::counted_request::Baseline;
use crate::kernel::{
    moves::{Counts, Key, Outcome, Record, Tally, Verdict, View},
    suspect::{ReportedLoss, Suspects},
    Incarnation, NodeId, Revision, ServiceId, Time,
};

/// The tally of one node.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct NodeTally {
    /// The node that counted the requests.
    pub node: NodeId,
    /// The incarnation of the node.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// The version, cell and backend server that the tally counts requests of.
    pub key: Key,
    /// The tally.
    pub tally: Tally,
}

/// The part of an exchange that is not about membership.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct StateUpdate {
    /// The revision in force on the sender.
    pub revision: Revision,
    /// The digest of the sender's moves and verdicts.
    pub digest: u64,
    /// Moves, if the receiver's last known digest differs.
    pub moves: Vec<(ServiceId, Record)>,
    /// Verdicts, if the receiver's last known digest differs.
    pub verdicts: Vec<Verdict>,
    /// Tallies that changed since the receiver's last successful exchange.
    pub tallies: Vec<NodeTally>,
    /// Crashes of engines during requests: recent ones, or all of them for a new receiver.
    pub losses: Vec<ReportedLoss>,
}

/// A tally as last published, with its position in the sequence of published changes.
#[derive(Clone, Debug)]
struct PublishedTally {
    sequence: u64,
    tally: Tally,
    published_at: Time,
}

/// Maximum number of tallies in one message.
const MAX_TALLIES_PER_MESSAGE: usize = 24;

/// Maximum time before a tally whose request count grew is published.
const MAX_PUBLISH_DELAY: Time = Time::from_secs(5);

/// Time for which every exchange repeats a loss: several times what a loss needs to reach all nodes.
const LOSS_REPEAT_TIME: Time = Time::from_secs(15);

/// State that a node shares with its peers.
///
/// Requests read the view without a lock. Counting a request holds a lock for a short time.
#[derive(Debug)]
pub struct SharedState {
    /// Moves, verdicts and freshness.
    pub view: ArcSwap<View>,
    start: Instant,
    suspects: Mutex<Suspects>,
    /// Whether this node is the one that tries parts of prompts again that were held.
    is_probing_node: AtomicBool,
    counts: Mutex<TallyTable>,
    pub(super) baselines: Mutex<HashMap<ServiceId, Baseline>>,
}

/// The counts, with the sequence of their published changes.
#[derive(Debug, Default)]
struct TallyTable {
    counts: Counts,
    own: BTreeMap<Key, Tally>,
    published: HashMap<(NodeId, Incarnation, Key), PublishedTally>,
    sequence: u64,
}

impl SharedState {
    /// Creates an empty state.
    pub fn new() -> SharedState {
        SharedState {
            view: ArcSwap::from_pointee(View::new()),
            start: Instant::now(),
            suspects: Mutex::default(),
            is_probing_node: AtomicBool::new(true),
            counts: Mutex::new(TallyTable::default()),
            baselines: Mutex::default(),
        }
    }

    /// Returns the monotonic time since this state was created.
    pub fn now(&self) -> Time {
        self.start.elapsed()
    }

    /// Replaces the view by a changed copy; readers see either the old or the new view.
    ///
    /// `change` may run several times if other threads change the view at the same time.
    pub fn update_view<F, T>(&self, change: F) -> T
    where
        F: Fn(&mut View) -> T,
    {
        let mut result = None;
        self.view.rcu(|view| {
            let mut view = View::clone(view);
            result = Some(change(&mut view));
            view
        });
        result.expect("`rcu` runs the change at least once")
    }

    /// Returns the record of requests during which engines crashed.
    ///
    /// # Panics
    ///
    /// Panics if a thread panicked while it held the lock.
    pub fn suspects(&self) -> MutexGuard<'_, Suspects> {
        self.suspects.lock().expect("the lock is not poisoned")
    }

    /// Reports whether this node is the one that tries parts of prompts again that were held.
    pub fn is_probing_node(&self) -> bool {
        self.is_probing_node.load(Ordering::Relaxed)
    }

    /// Sets whether this node is the one that tries parts of prompts again that were held.
    pub fn set_probing_node(&self, is_probing_node: bool) {
        self.is_probing_node
            .store(is_probing_node, Ordering::Relaxed);
    }

    /// Counts the start of a request on this node.
    pub fn record_start(&self, key: Key) {
        self.lock().own.entry(key).or_default().begin();
    }

    /// Counts the outcome of a request on this node.
    pub fn record_end(&self, key: Key, outcome: Outcome) {
        self.lock().own.entry(key).or_default().end(outcome);
    }

    /// Returns the sum of the counts of all nodes.
    pub fn total_counts(&self) -> BTreeMap<Key, Tally> {
        self.lock().counts.sum()
    }

    /// Publishes the node's own counts that have changed enough since they were last published.
    pub fn publish_counts(&self, node: &NodeId, incarnation: Incarnation) {
        let now = self.now();
        let mut table = self.lock();
        let own: Vec<(Key, Tally)> = table.own.iter().map(|(k, t)| (k.clone(), *t)).collect();
        for (key, tally) in own {
            let tally_id = (node.clone(), incarnation, key);
            if table
                .published
                .get(&tally_id)
                .is_none_or(|published| should_publish(published, tally, now))
            {
                table.publish(now, tally_id, tally);
            }
        }
    }

    /// Merges a peer's update; returns true if a move, a verdict or a loss in it was new.
    pub fn merge(&self, update: &StateUpdate) -> bool {
        let now = self.now();
        let has_new_losses = !self.suspects().merge(&update.losses, now).is_empty();
        {
            let mut table = self.lock();
            for received in &update.tallies {
                let tally_id = (
                    received.node.clone(),
                    received.incarnation,
                    received.key.clone(),
                );
                let known = table
                    .published
                    .get(&tally_id)
                    .map(|published| published.tally);
                let merged = known.unwrap_or_default().max(received.tally);
                if known != Some(merged) {
                    table.publish(now, tally_id, merged);
                }
            }
        }
        if update.moves.is_empty() && update.verdicts.is_empty() {
            return has_new_losses;
        }
        let wall_now = crate::control::wall_seconds();
        self.update_view(|view| {
            let mut has_changed = has_new_losses;
            for (service, record) in &update.moves {
                let started = record.latest.as_ref().map_or(wall_now, |s| s.started);
                let age = Time::from_secs(wall_now.saturating_sub(started));
                has_changed |= view.merge_record(now, service, record.clone(), age);
            }
            for verdict in &update.verdicts {
                has_changed |= view.verdicts.add(verdict.clone());
            }
            has_changed
        })
    }

    /// Returns the update for a peer that has the tallies up to sequence number `after` and whose
    /// moves and verdicts have `digest`, and the sequence number that the peer reaches with it.
    pub fn update_for_peer(
        &self,
        revision: Revision,
        after: u64,
        digest: Option<u64>,
    ) -> (StateUpdate, u64) {
        let view = self.view.load();
        let own_digest = self.digest();
        let mut update = StateUpdate {
            revision,
            digest: own_digest,
            losses: self.recent_losses(digest.is_none()),
            ..StateUpdate::default()
        };
        if digest.is_some_and(|digest| digest != own_digest) {
            let records = view.records();
            update.moves = records.map(|(s, r)| (s.clone(), r.clone())).collect();
            update.verdicts = view.verdicts.iter().cloned().collect();
        }
        let table = self.lock();
        let mut changed: Vec<_> = table
            .published
            .iter()
            .filter(|(_, published)| published.sequence > after)
            .collect();
        changed.sort_by_key(|(_, published)| published.sequence);
        changed.truncate(MAX_TALLIES_PER_MESSAGE);
        let last = changed
            .last()
            .map_or(after, |(_, published)| published.sequence);
        update.tallies = changed
            .into_iter()
            .map(|((node, incarnation, key), published)| NodeTally {
                node: node.clone(),
                incarnation: *incarnation,
                key: key.clone(),
                tally: published.tally,
            })
            .collect();
        (update, last)
    }

    /// Returns the losses to send to a peer: recent ones, or all of them for a new peer.
    fn recent_losses(&self, is_new: bool) -> Vec<ReportedLoss> {
        let age = if is_new { Time::MAX } else { LOSS_REPEAT_TIME };
        self.suspects().recent_losses(age, self.now())
    }

    /// Returns a digest of the moves and verdicts.
    pub fn digest(&self) -> u64 {
        let view = self.view.load();
        let moves = view.records().map(|(service, record)| {
            let latest = record.latest.as_ref().map(|s| (s.id, s.change));
            format!("{service} {latest:?}")
        });
        let verdicts = view
            .verdicts
            .iter()
            .map(|v| format!("{} {} {}", v.service, v.version, v.id));
        moves
            .chain(verdicts)
            .fold(0, |digest, text| digest ^ xxh3_64(text.as_bytes()))
    }

    /// Removes the counts whose key does not satisfy `keep`.
    pub fn retain_counts<F>(&self, keep: F)
    where
        F: Fn(&Key) -> bool,
    {
        let mut table = self.lock();
        table.counts.retain(&keep);
        table.own.retain(|key, _| keep(key));
        table.published.retain(|(.., key), _| keep(key));
    }

    fn lock(&self) -> MutexGuard<'_, TallyTable> {
        self.counts.lock().expect("the lock is not poisoned")
    }
}

impl Default for SharedState {
    fn default() -> SharedState {
        SharedState::new()
    }
}

impl TallyTable {
    fn publish(&mut self, now: Time, tally_id: (NodeId, Incarnation, Key), tally: Tally) {
        self.sequence += 1;
        self.counts
            .merge(&tally_id.0, tally_id.1, tally_id.2.clone(), tally);
        let published = PublishedTally {
            sequence: self.sequence,
            tally,
            published_at: now,
        };
        self.published.insert(tally_id, published);
    }
}

/// Reports whether a tally is to be published.
///
/// A changed count of faults is published at once. A growing count of requests is published once it
/// has grown by more than an eighth, or after [`MAX_PUBLISH_DELAY`].
fn should_publish(last: &PublishedTally, tally: Tally, now: Time) -> bool {
    let growth = tally.requests - last.tally.requests.min(tally.requests);
    tally.faults() != last.tally.faults()
        || growth * 8 > last.tally.requests
        || growth > 0 && now >= last.published_at + MAX_PUBLISH_DELAY
}
