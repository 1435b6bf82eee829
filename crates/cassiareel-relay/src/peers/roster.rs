//! The order in which nodes stand in for each other at reading the store, and whom each asks.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::members::Members;
use crate::{clock::Moment, model::DataCentre, source::NodeRecord};

/// The fewest nodes that pass words on to the rest: the first reader and its stand-ins. Where there
/// are more data centres, there is one in each.
const MIN_FORWARDERS: usize = 4;

/// How long a peer is left out at first that did not answer, or fell behind.
const FIRST_EXCLUSION: Duration = Duration::from_secs(2);

/// The most by which that time grows for one that is left out again and again.
const MAX_EXCLUSION_FACTOR: u32 = 16;

/// The nodes of the fleet as one node sees them.
#[derive(Debug)]
pub(crate) struct Roster {
    own: String,
    data_centre: DataCentre,
    members: Arc<Members>,
    /// How many nodes pass words on.
    forwarder_count: usize,
    exclusions: HashMap<String, Exclusion>,
}

/// A peer that is not asked for some time.
#[derive(Clone, Copy, Debug)]
struct Exclusion {
    until: Moment,
    /// By how much longer it is left out the next time.
    factor: u32,
}

impl Roster {
    /// Only the node itself is known.
    pub(crate) fn new(own: &str, data_centre: &DataCentre) -> Roster {
        Roster {
            own: own.to_owned(),
            data_centre: data_centre.clone(),
            members: Arc::default(),
            forwarder_count: MIN_FORWARDERS,
            exclusions: HashMap::new(),
        }
    }

    /// Replaces what is known.
    pub(crate) fn replace(&mut self, members: Arc<Members>) {
        let records = members.records.iter();
        let centres: HashSet<&DataCentre> = records.map(|node| &node.data_centre).collect();
        self.forwarder_count = centres.len().max(MIN_FORWARDERS);
        self.members = members;
    }

    /// Leaves a peer out for some time, each time for longer; reports whether it was in use before.
    pub(crate) fn exclude(&mut self, name: &str, now: Moment) -> bool {
        let last = self.exclusions.get(name);
        let is_new = last.is_none();
        let factor = last.map_or(1, |last| last.factor);
        let exclusion = Exclusion {
            until: now + FIRST_EXCLUSION * factor,
            factor: (factor * 2).min(MAX_EXCLUSION_FACTOR),
        };
        self.exclusions.insert(name.to_owned(), exclusion);
        is_new
    }

    /// Forgets who was left out: what was found while the store was away says nothing now.
    pub(crate) fn clear_exclusions(&mut self) {
        self.exclusions.clear();
    }

    /// Notes that a peer answered with fresh words; reports whether it was left out before.
    pub(crate) fn readmit(&mut self, name: &str) -> bool {
        self.exclusions.remove(name).is_some()
    }

    /// The node's place among those that read the store: 0 for the first reader, or where nobody else
    /// is known.
    pub(crate) fn reader_rank(&self, now: Moment) -> usize {
        let forwarders = self.forwarders(now);
        let own = forwarders.iter().position(|node| node.name == self.own);
        own.unwrap_or(forwarders.len())
    }

    /// Reports whether the node passes words on to others, and so needs its own first ones at once.
    pub(crate) fn is_forwarder(&self, now: Moment) -> bool {
        self.reader_rank(now) < self.forwarder_count
    }

    /// The peer to ask. Relays ask the one that reads first, so that its words come in few hops; each
    /// other node prefers relays of its data centre, in an order of its own. A node whose word is
    /// `overdue` asks the first stand-in, which reads next.
    pub(crate) fn peer(&self, now: Moment, overdue: bool) -> Option<(String, SocketAddr)> {
        let others = self.other_forwarders(now);
        let peer = if overdue && !self.is_forwarder(now) {
            others.get(1).or(others.first()).copied()
        } else {
            self.forwarders_by_preference(now).first().copied()
        };
        peer.map(name_and_address)
    }

    /// The peers to which this node passes on what it finds out, in order of preference.
    pub(crate) fn parents(&self, now: Moment) -> Vec<(String, SocketAddr)> {
        self.forwarders_by_preference(now)
            .into_iter()
            .map(name_and_address)
            .collect()
    }

    /// The others that pass words on: the first reader first for one of them, the nearest one for the
    /// rest, so that nodes spread over them.
    fn forwarders_by_preference(&self, now: Moment) -> Vec<&NodeRecord> {
        let mut others = self.other_forwarders(now);
        if !self.is_forwarder(now) {
            let own = xxh3_64(self.own.as_bytes());
            others.sort_by_key(|node| self.distance(node, own));
        }
        others
    }

    /// The others that pass words on, the first reader first.
    fn other_forwarders(&self, now: Moment) -> Vec<&NodeRecord> {
        let forwarders = self.forwarders(now).into_iter();
        forwarders.filter(|node| node.name != self.own).collect()
    }

    /// What a node goes by in its choice of a relay; `own` is the digest of its own name.
    fn distance(&self, node: &NodeRecord, own: u64) -> (bool, u64) {
        let away = node.data_centre != self.data_centre;
        (away, xxh3_64_with_seed(node.name.as_bytes(), own))
    }

    /// Reports whether so many peers are left out that the trouble is likely not theirs.
    pub(crate) fn is_isolated(&self, now: Moment) -> bool {
        let exclusion = self
            .exclusions
            .values()
            .filter(|exclusion| now < exclusion.until);
        let others = self.members.records.len().saturating_sub(1);
        exclusion.count() >= self.forwarder_count.min(others)
    }

    /// The first reader and the others that pass its words on.
    fn forwarders(&self, now: Moment) -> Vec<&NodeRecord> {
        let in_use =
            |node: &&NodeRecord| node.name == self.own || !self.is_excluded(&node.name, now);
        let records = self.members.records.iter();
        records.filter(in_use).take(self.forwarder_count).collect()
    }

    fn is_excluded(&self, name: &str, now: Moment) -> bool {
        self.exclusions
            .get(name)
            .is_some_and(|exclusion| now < exclusion.until)
    }
}

/// A node's name, and where its peers reach it.
fn name_and_address(node: &NodeRecord) -> (String, SocketAddr) {
    (node.name.clone(), node.address)
}
