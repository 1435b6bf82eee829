//! The order in which nodes read the store, and the peer that each node queries.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::members::Members;
use crate::{clock::Moment, kernel::StartSchedule, model::DataCentre, source::NodeRecord};

/// The smallest number of forwarders, which pass updates on to the other nodes: the first reader
/// and its standbys. Where there are more data centres, there is one forwarder for each.
const MIN_FORWARDERS: usize = 4;

/// How long a peer that did not answer or fell behind is excluded the first time.
const FIRST_EXCLUSION: Duration = Duration::from_secs(2);

/// The largest factor by which the exclusion grows for a peer that is excluded repeatedly.
const MAX_EXCLUSION_FACTOR: u32 = 16;

/// The nodes of the fleet as one node sees them.
#[derive(Debug)]
pub(crate) struct Roster {
    own: String,
    data_centre: DataCentre,
    members: Arc<Members>,
    /// The number of forwarders.
    forwarder_count: usize,
    exclusions: HashMap<String, Exclusion>,
}

/// A peer that is not queried for some time.
#[derive(Clone, Copy, Debug)]
struct Exclusion {
    until: Moment,
    /// The factor by which the next exclusion is longer than the first.
    factor: u32,
}

impl Roster {
    /// Creates a roster that knows only the node itself.
    pub(crate) fn new(own: &str, data_centre: &DataCentre) -> Roster {
        Roster {
            own: own.to_owned(),
            data_centre: data_centre.clone(),
            members: Arc::default(),
            forwarder_count: MIN_FORWARDERS,
            exclusions: HashMap::new(),
        }
    }

    /// Replaces the list of nodes.
    pub(crate) fn replace(&mut self, members: Arc<Members>) {
        let records = members.records.iter();
        let centres: HashSet<&DataCentre> = records.map(|node| &node.data_centre).collect();
        self.forwarder_count = centres.len().max(MIN_FORWARDERS);
        self.members = members;
    }

    /// Excludes a peer for some time, longer each time; reports whether it was in use before.
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

    /// Readmits all peers: a failure found while the store was unavailable says nothing about a
    /// peer now.
    pub(crate) fn clear_exclusions(&mut self) {
        self.exclusions.clear();
    }

    /// Records that a peer answered with fresh values; reports whether it was excluded before.
    pub(crate) fn readmit(&mut self, name: &str) -> bool {
        self.exclusions.remove(name).is_some()
    }

    /// Returns the node's rank among those that read the store: 0 for the first reader, or where no
    /// other node is known.
    pub(crate) fn reader_rank(&self, now: Moment) -> usize {
        let forwarders = self.forwarders(now);
        let own = forwarders.iter().position(|node| node.name == self.own);
        own.unwrap_or(forwarders.len())
    }

    /// Reports whether the node passes updates on to others, and so has to get its own first values
    /// at once.
    pub(crate) fn is_forwarder(&self, now: Moment) -> bool {
        self.reader_rank(now) < self.forwarder_count
    }

    /// Reports whether the node gets its first lists from peers, where these have them.
    pub(crate) fn is_one_of_many(&self) -> bool {
        let (schedule, position) = self.start_schedule();
        !schedule.read_after(position).is_zero()
    }

    /// Reports whether the node, which started `spent` ago, still waits for lists of its peers.
    /// `busy` is how long ago a peer answered that it has lists, but can't send them yet.
    pub(crate) fn waits_for_lists(&self, spent: Duration, busy: Option<Duration>) -> bool {
        let (schedule, position) = self.start_schedule();
        schedule.waits(position, spent, busy)
    }

    /// Returns how long after a suspension the node reads the store where no peer has updated it.
    pub(crate) fn read_after_wake(&self) -> Duration {
        let (schedule, position) = self.start_schedule();
        schedule.read_after_wake(position)
    }

    fn start_schedule(&self) -> (StartSchedule, usize) {
        let nodes = self.members.records.len();
        let schedule = StartSchedule {
            nodes,
            first_readers: self.forwarder_count,
        };
        (schedule, self.members.position(&self.own).unwrap_or(nodes))
    }

    /// Returns the name of the node at an address.
    pub(crate) fn name_of(&self, address: SocketAddr) -> Option<String> {
        let mut records = self.members.records.iter();
        let node = records.find(|node| node.address == address);
        node.map(|node| node.name.clone())
    }

    /// Returns the peer to query. Forwarders query the first reader, so that its updates arrive
    /// over few hops; each other node prefers forwarders of its data centre, in an order of its
    /// own. A node whose values are `overdue` queries the first standby, which reads next.
    pub(crate) fn peer(&self, now: Moment, overdue: bool) -> Option<(String, SocketAddr)> {
        let others = self.other_forwarders(now);
        let peer = if overdue && !self.is_forwarder(now) {
            others.get(1).or(others.first()).copied()
        } else {
            self.forwarders_by_preference(now).first().copied()
        };
        peer.map(name_and_address)
    }

    /// Returns the peers to which this node sends the losses that it knows of, in order of
    /// preference.
    pub(crate) fn parents(&self, now: Moment) -> Vec<(String, SocketAddr)> {
        self.forwarders_by_preference(now)
            .into_iter()
            .map(name_and_address)
            .collect()
    }

    /// Returns the first nodes that read the store, which may include this node.
    pub(crate) fn first_readers(&self, count: usize, now: Moment) -> Vec<(String, SocketAddr)> {
        let first = self.forwarders(now).into_iter().take(count);
        first.map(name_and_address).collect()
    }

    /// Returns the other forwarders in order of preference: the first reader first for a forwarder,
    /// the nearest one first for other nodes, so that these are spread over the forwarders.
    fn forwarders_by_preference(&self, now: Moment) -> Vec<&NodeRecord> {
        let mut others = self.other_forwarders(now);
        if !self.is_forwarder(now) {
            let own = xxh3_64(self.own.as_bytes());
            others.sort_by_key(|node| self.distance(node, own));
        }
        others
    }

    /// Returns the other forwarders, the first reader first.
    fn other_forwarders(&self, now: Moment) -> Vec<&NodeRecord> {
        let forwarders = self.forwarders(now).into_iter();
        forwarders.filter(|node| node.name != self.own).collect()
    }

    /// Returns the key by which a node orders forwarders; `own` is the digest of the node's own
    /// name.
    fn distance(&self, node: &NodeRecord, own: u64) -> (bool, u64) {
        let away = node.data_centre != self.data_centre;
        (away, xxh3_64_with_seed(node.name.as_bytes(), own))
    }

    /// Reports whether so many peers are excluded that the fault is probably not theirs.
    pub(crate) fn is_isolated(&self, now: Moment) -> bool {
        let active = self
            .exclusions
            .values()
            .filter(|exclusion| now < exclusion.until);
        let others = self.members.records.len().saturating_sub(1);
        active.count() >= self.forwarder_count.min(others)
    }

    /// Returns the first reader and its standbys, which pass its updates on.
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

/// Returns a node's name and the address at which its peers reach it.
fn name_and_address(node: &NodeRecord) -> (String, SocketAddr) {
    (node.name.clone(), node.address)
}
