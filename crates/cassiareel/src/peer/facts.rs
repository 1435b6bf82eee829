//! Facts that spread between nodes, and the node's own copy of them.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Mutex, MutexGuard},
    time::Instant,
};

use arc_swap::ArcSwap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::watch::Usual;
use crate::kernel::{
    moves::{Counts, Key, Outcome, Record, Tally, Verdict, View},
    suspect::{ReportedLoss, Suspects},
    Incarnation, NodeId, Revision, ServiceId, Time,
};

/// A tally with its node.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TallyOf {
    /// The node that counts.
    pub node: NodeId,
    /// Its life.
    pub life: Incarnation,
    /// What is counted.
    pub key: Key,
    /// The count.
    pub tally: Tally,
}

/// What an exchange carries besides membership.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Facts {
    /// The revision in force on the sender.
    pub revision: Revision,
    /// A digest of the sender's moves and verdicts.
    pub digest: u64,
    /// Moves, when the receiver's digest was another.
    pub moves: Vec<(ServiceId, Record)>,
    /// Verdicts, when the receiver's digest was another.
    pub verdicts: Vec<Verdict>,
    /// Tallies that changed since the last exchange with the receiver.
    pub tallies: Vec<TallyOf>,
    /// Engines that died under requests: of late, or all where the receiver is new.
    pub losses: Vec<ReportedLoss>,
}

/// A tally on its way, and its place in the order of changes.
#[derive(Clone, Debug)]
struct Change {
    order: u64,
    told: Tally,
    at: Time,
}

/// Tallies in one message at most.
const TALLIES_AT_ONCE: usize = 24;

/// The longest that a changed tally waits to be told.
const TELL_AFTER: Time = Time::from_secs(5);

/// How long a loss is told in each exchange: several times what it takes to reach all nodes.
const TELL_LOSSES: Time = Time::from_secs(15);

/// What a node shares with its peers.
///
/// The path of a request reads the view without a lock; counting takes a short one.
#[derive(Debug)]
pub struct SharedState {
    /// Moves, verdicts and freshness.
    pub view: ArcSwap<View>,
    origin: Instant,
    suspects: Mutex<Suspects>,
    counts: Mutex<Table>,
    pub(super) usual: Mutex<HashMap<ServiceId, Usual>>,
}

/// The counts with the order of their changes.
#[derive(Debug, Default)]
struct Table {
    counts: Counts,
    own: BTreeMap<Key, Tally>,
    changes: HashMap<(NodeId, Incarnation, Key), Change>,
    order: u64,
}

impl SharedState {
    /// Nothing yet.
    pub fn new() -> SharedState {
        SharedState {
            view: ArcSwap::from_pointee(View::new()),
            origin: Instant::now(),
            suspects: Mutex::default(),
            counts: Mutex::new(Table::default()),
            usual: Mutex::default(),
        }
    }

    /// The node's monotonic time.
    pub fn now(&self) -> Time {
        self.origin.elapsed()
    }

    /// Changes the view; readers see the old or the new one whole.
    pub fn change<F, T>(&self, change: F) -> T
    where
        F: Fn(&mut View) -> T,
    {
        let mut result = None;
        self.view.rcu(|view| {
            let mut view = View::clone(view);
            result = Some(change(&mut view));
            view
        });
        result.expect("the change ran")
    }

    /// Requests under which engines died.
    ///
    /// # Panics
    ///
    /// Panics if a thread panicked while it held them.
    pub fn suspects(&self) -> MutexGuard<'_, Suspects> {
        self.suspects.lock().expect("no holder panics")
    }

    /// Counts a request of this node's that begins.
    pub fn begin(&self, key: Key) {
        self.lock().own.entry(key).or_default().begin();
    }

    /// Counts how a request of this node's ended.
    pub fn end(&self, key: Key, outcome: Outcome) {
        self.lock().own.entry(key).or_default().end(outcome);
    }

    /// The sum of every node's counts.
    pub fn sum(&self) -> BTreeMap<Key, Tally> {
        self.lock().counts.sum()
    }

    /// Takes the node's own counts into the merged ones, as far as they are worth telling.
    pub fn publish(&self, node: &NodeId, life: Incarnation) {
        let now = self.now();
        let mut table = self.lock();
        let own: Vec<(Key, Tally)> = table.own.iter().map(|(k, t)| (k.clone(), *t)).collect();
        for (key, tally) in own {
            let name = (node.clone(), life, key);
            if table
                .changes
                .get(&name)
                .is_none_or(|change| is_worth_telling(change, tally, now))
            {
                table.take(now, name, tally);
            }
        }
    }

    /// Takes a peer's facts; true if a move, a verdict or a loss was news.
    pub fn merge(&self, facts: &Facts) -> bool {
        let now = self.now();
        let lost = !self.suspects().merge(&facts.losses, now).is_empty();
        {
            let mut table = self.lock();
            for of in &facts.tallies {
                let name = (of.node.clone(), of.life, of.key.clone());
                let kept = table.changes.get(&name).map(|change| change.told);
                let merged = kept.unwrap_or_default().max(of.tally);
                if kept != Some(merged) {
                    table.take(now, name, merged);
                }
            }
        }
        if facts.moves.is_empty() && facts.verdicts.is_empty() {
            return lost;
        }
        let wall = crate::control::wall_seconds();
        self.change(|view| {
            let mut news = lost;
            for (service, record) in &facts.moves {
                let started = record.latest.as_ref().map_or(wall, |s| s.started);
                let age = Time::from_secs(wall.saturating_sub(started));
                news |= view.merge_record(now, service, record.clone(), age);
            }
            for verdict in &facts.verdicts {
                news |= view.verdicts.add(verdict.clone());
            }
            news
        })
    }

    /// The facts for a peer that has tallies up to `since` and moves of `digest`; with the place in
    /// the order of changes that it has once it took them.
    pub fn facts(&self, revision: Revision, since: u64, digest: Option<u64>) -> (Facts, u64) {
        let view = self.view.load();
        let own = self.digest();
        let mut facts = Facts {
            revision,
            digest: own,
            losses: self.losses(digest.is_none()),
            ..Facts::default()
        };
        if digest.is_some_and(|digest| digest != own) {
            let records = view.records();
            facts.moves = records.map(|(s, r)| (s.clone(), r.clone())).collect();
            facts.verdicts = view.verdicts.iter().cloned().collect();
        }
        let table = self.lock();
        let mut changed: Vec<_> = table
            .changes
            .iter()
            .filter(|(_, change)| change.order > since)
            .collect();
        changed.sort_by_key(|(_, change)| change.order);
        changed.truncate(TALLIES_AT_ONCE);
        let upto = changed.last().map_or(since, |(_, change)| change.order);
        facts.tallies = changed
            .into_iter()
            .map(|((node, life, key), change)| TallyOf {
                node: node.clone(),
                life: *life,
                key: key.clone(),
                tally: change.told,
            })
            .collect();
        (facts, upto)
    }

    /// Losses for a peer: those that it may not have heard yet, or all for one that is new.
    fn losses(&self, is_new: bool) -> Vec<ReportedLoss> {
        let age = if is_new { Time::MAX } else { TELL_LOSSES };
        self.suspects().recent_losses(age, self.now())
    }

    /// A digest of moves and verdicts.
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
            .fold(0, |sum, words| sum ^ xxh3_64(words.as_bytes()))
    }

    /// Forgets the counts of services without an open move.
    pub fn forget<F>(&self, keep: F)
    where
        F: Fn(&Key) -> bool,
    {
        let mut table = self.lock();
        table.counts.retain(&keep);
        table.own.retain(|key, _| keep(key));
        table.changes.retain(|(.., key), _| keep(key));
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.counts.lock().expect("no holder panics")
    }
}

impl Default for SharedState {
    fn default() -> SharedState {
        SharedState::new()
    }
}

impl Table {
    fn take(&mut self, now: Time, name: (NodeId, Incarnation, Key), tally: Tally) {
        self.order += 1;
        self.counts.merge(&name.0, name.1, name.2.clone(), tally);
        let change = Change {
            order: self.order,
            told: tally,
            at: now,
        };
        self.changes.insert(name, change);
    }
}

/// Faults are told at once; plain requests when they grew by an eighth, or after a while.
fn is_worth_telling(last: &Change, tally: Tally, now: Time) -> bool {
    let growth = tally.requests - last.told.requests.min(tally.requests);
    tally.faults() != last.told.faults()
        || growth * 8 > last.told.requests
        || growth > 0 && now >= last.at + TELL_AFTER
}
