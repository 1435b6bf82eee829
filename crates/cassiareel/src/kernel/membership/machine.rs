//! The membership state machine of one node.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{ring::Ring, Member, NodeState, Suspicion};
use crate::kernel::{Incarnation, NodeId, Revision, Time};

/// The time between a node's messages to its neighbours.
pub const GOSSIP_PERIOD: Duration = Duration::from_millis(400);

/// The silence after which a neighbour is suspected: three missed messages.
const SUSPECT_AFTER: Duration = Duration::from_millis(1200);

/// The silence after which a watcher probes a node directly. The watcher's view of the ring may be
/// newer or older than the other node's, and in that case the other node owed it no message.
const PROBE_AFTER: Duration = Duration::from_millis(700);

/// The number of peers to which an urgent update is sent at once.
const FAN_OUT: usize = 3;

/// The number of periods after which an unreachable or unknown address is tried again.
const RETRY_PERIODS: u64 = 5;

/// The time for which a dead incarnation is remembered, so that late messages do not bring it back.
const DEAD_RETENTION: Duration = Duration::from_secs(600);

/// The maximum number of members in one message, so that a message stays within the size limit.
const MAX_MESSAGE_MEMBERS: usize = 20;

/// The maximum number of messages beyond the regular ones in a period, for updates and for members
/// that a peer lacks. Further ones wait for the next period, so that updates about many members
/// can't cause a message storm.
const MAX_EXTRA_MESSAGES: u8 = 8;

/// A membership message between two nodes.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Message {
    /// The sender's own state.
    pub from: Member,
    /// A digest of the members that the sender knows.
    pub digest: u64,
    /// A digest of their names and incarnations only.
    pub view: u64,
    /// Content versions in the order of names, if the digests differ and the views are equal.
    pub vector: Vec<u64>,
    /// Names with incarnations and content versions, if the views differ.
    pub names: Vec<(NodeId, Incarnation, u64)>,
    /// Members that the receiver may lack.
    pub members: Vec<Member>,
    /// The current suspicions.
    pub suspicions: Vec<Suspicion>,
    /// Incarnations that are dead.
    pub dead: Vec<(NodeId, Incarnation)>,
}

/// An event of a node.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Event {
    /// A period passed.
    Tick {
        /// A new random number.
        random: u64,
    },
    /// A message arrived, either as a call or as the answer to one.
    Received {
        /// The message.
        message: Box<Message>,
        /// Whether the message is a call that requires an answer.
        answer: bool,
    },
    /// This node's own state may have changed.
    Changed {
        /// Whether the node accepts new work.
        state: NodeState,
        /// The revision of the settings in force.
        revision: Revision,
    },
    /// An update must be sent to peers at once.
    UrgentUpdate {
        /// A new random number.
        random: u64,
    },
    /// The VM list or the settings list the addresses of peers.
    Listed {
        /// The addresses.
        addrs: Vec<SocketAddr>,
    },
}

/// An action for the driver.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Action {
    /// Send a message to an address.
    Send {
        /// The address.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Answer the call that was just received.
    Answer {
        /// The answer.
        message: Message,
    },
    /// A node joined, left or died, so that choices of peers must be made again.
    MembersChanged,
}

/// Another node, as known to this one.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct KnownMember {
    member: Member,
    /// The time of the node's last direct message to this one, or of its addition.
    last_contact: Time,
}

/// A node's view of the fleet.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cassiareel::kernel::membership::{Action, Event, Member, Membership, NodeState};
///
/// let me = Member {
///     name: "n1".into(),
///     incarnation: 1,
///     addr: ([10, 0, 0, 1], 7001).into(),
///     data_centre: "zg1".into(),
///     content_version: 0,
///     state: NodeState::Live,
///     revision: 0,
/// };
/// let mut fleet = Membership::new(me);
/// let peer = ([10, 0, 0, 2], 7001).into();
/// let now = Duration::ZERO;
/// fleet.step(now, Event::Listed { addrs: vec![peer] });
/// let actions = fleet.step(now, Event::Tick { random: 1 });
/// assert!(matches!(actions[0], Action::Send { to, .. } if to == peer));
/// ```
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Membership {
    local: Member,
    known: BTreeMap<NodeId, KnownMember>,
    dead: BTreeMap<NodeId, (Incarnation, Time, Option<SocketAddr>)>,
    suspicions: BTreeSet<Suspicion>,
    seeds: Vec<SocketAddr>,
    ticks: u64,
    last_tick: Time,
    /// The number of messages beyond the regular ones that this period still allows.
    extra_messages: u8,
    /// Whether an update waits for the next period.
    update_pending: bool,
    /// The deliberate defect that the model check must find.
    #[cfg(test)]
    pub(crate) mutation: Option<&'static str>,
}

impl Membership {
    /// Creates a node that knows no other node.
    pub fn new(me: Member) -> Membership {
        Membership {
            local: me,
            known: BTreeMap::new(),
            dead: BTreeMap::new(),
            suspicions: BTreeSet::new(),
            seeds: Vec::new(),
            ticks: 0,
            last_tick: Time::ZERO,
            extra_messages: MAX_EXTRA_MESSAGES,
            update_pending: false,
            #[cfg(test)]
            mutation: None,
        }
    }

    /// Returns this node.
    pub fn local(&self) -> &Member {
        &self.local
    }

    /// Returns the other live nodes, including those that are leaving.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.known.values().map(|known| &known.member)
    }

    /// Returns the number of nodes that are dead or unreachable and have not been replaced.
    pub fn unreachable_count(&self) -> usize {
        self.dead
            .keys()
            .filter(|name| !self.known.contains_key(*name))
            .count()
    }

    /// Returns the latest dead incarnation of a name, if it is still remembered.
    pub fn dead_incarnation(&self, name: &str) -> Option<Incarnation> {
        self.dead.get(name).map(|(incarnation, ..)| *incarnation)
    }

    /// Reports whether this node is among the first `count` nodes of its data centre, in an order
    /// given by a hash of the name and `duty`. Different duties thus fall to different nodes; nodes
    /// that are leaving are skipped.
    pub fn is_among_first(&self, duty: &str, count: usize) -> bool {
        let rank = |name: &str| xxh3_64_with_seed(name.as_bytes(), xxh3_64(duty.as_bytes()));
        let mine = rank(&self.local.name);
        let before = self
            .others()
            .filter(|m| m.data_centre == self.local.data_centre && m.state == NodeState::Live)
            .filter(|m| rank(&m.name) < mine)
            .count();
        before < count
    }

    /// Handles an event that occurs at the time `now`, and returns the resulting actions.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        match event {
            Event::Tick { random } => self.tick(now, random),
            Event::Received { message, answer } => self.receive(now, &message, answer),
            Event::Changed { state, revision } => self.changed(state, revision),
            Event::UrgentUpdate { random } => self.send_update(random),
            Event::Listed { addrs } => {
                self.seeds = addrs;
                Vec::new()
            }
        }
    }

    fn tick(&mut self, now: Time, random: u64) -> Vec<Action> {
        self.ticks = (self.ticks + 1) % RETRY_PERIODS;
        // After a pause of its own the node has received nothing, which is no evidence against the
        // others.
        if now > self.last_tick + SUSPECT_AFTER {
            for known in self.known.values_mut() {
                known.last_contact = now;
            }
        }
        self.last_tick = now;
        self.extra_messages = MAX_EXTRA_MESSAGES;
        self.dead.retain(|_, (_, at, _)| now < *at + DEAD_RETENTION);
        let mut actions = Vec::new();
        if std::mem::take(&mut self.update_pending) {
            actions.extend(self.send_update(random));
        }
        if self.suspect_silent(now) {
            actions.extend(self.send_update(random));
        }
        if self.remove_lost(now) {
            actions.push(Action::MembersChanged);
            actions.extend(self.send_update(random));
        }
        let mut targets = self.targets(random);
        targets.extend(self.probes(now));
        targets.sort_unstable();
        targets.dedup();
        for to in targets {
            let message = self.new_message();
            actions.push(Action::Send { to, message });
        }
        actions
    }

    /// Suspects the silent nodes that this one watches; returns true if there is a new suspicion.
    fn suspect_silent(&mut self, now: Time) -> bool {
        let silent: Vec<Suspicion> = self
            .silent_watched(now, SUSPECT_AFTER)
            .map(|known| Suspicion {
                name: known.member.name.clone(),
                incarnation: known.member.incarnation,
                reporter: self.local.name.clone(),
            })
            .collect();
        let before = self.suspicions.len();
        self.suspicions.extend(silent);
        self.suspicions.len() > before
    }

    /// Returns the addresses of watched nodes that have been silent for a while.
    fn probes(&self, now: Time) -> Vec<SocketAddr> {
        self.silent_watched(now, PROBE_AFTER)
            .map(|known| known.member.addr)
            .collect()
    }

    /// Returns the nodes that this one watches and that have been silent for `silence`.
    fn silent_watched(&self, now: Time, silence: Duration) -> impl Iterator<Item = &KnownMember> {
        let ring = self.ring();
        self.known.values().filter(move |known| {
            now >= known.last_contact + silence
                && ring
                    .after(&known.member.name)
                    .any(|m| m.name == self.local.name)
        })
    }

    /// Removes the nodes that enough of their watchers suspect; returns true if there are any.
    fn remove_lost(&mut self, now: Time) -> bool {
        if self.suspicions.is_empty() {
            return false;
        }
        let ring = self.ring();
        let lost: Vec<NodeId> = self
            .known
            .values()
            .filter(|known| self.is_lost(&ring, &known.member))
            .map(|known| known.member.name.clone())
            .collect();
        for name in &lost {
            self.remove(now, name);
        }
        !lost.is_empty()
    }

    /// Reports whether enough of a member's watchers suspect it: two of them, or all that can report.
    fn is_lost(&self, ring: &Ring<'_>, member: &Member) -> bool {
        let watchers: Vec<&NodeId> = ring.after(&member.name).map(|m| &m.name).collect();
        let by = self
            .suspicions
            .iter()
            .filter(|s| s.name == member.name && s.incarnation == member.incarnation)
            .filter(|s| watchers.contains(&&s.reporter))
            .count();
        // Watchers that are suspected themselves can't be expected to report.
        let active_watchers = watchers
            .iter()
            .filter(|name| !self.suspicions.iter().any(|s| s.name == ***name))
            .count();
        by >= active_watchers.clamp(1, 2)
    }

    fn remove(&mut self, now: Time, name: &NodeId) {
        if let Some(known) = self.known.remove(name) {
            let incarnation = known.member.incarnation;
            let addr = Some(known.member.addr);
            self.dead.insert(name.clone(), (incarnation, now, addr));
        }
        self.suspicions.retain(|s| s.name != *name);
    }

    /// Returns the ring of members; each member is watched by the ones after it.
    fn ring(&self) -> Ring<'_> {
        Ring::new(self.others().chain([&self.local]))
    }

    /// Returns the addresses that receive a message in this period.
    fn targets(&self, random: u64) -> Vec<SocketAddr> {
        let ring = self.ring();
        let mut to: Vec<SocketAddr> = ring.after(&self.local.name).map(|m| m.addr).collect();
        let others: Vec<&Member> = self.others().collect();
        if !others.is_empty() {
            to.push(others[random as usize % others.len()].addr);
        }
        if self.ticks == 0 || others.is_empty() {
            let met = |addr: &SocketAddr| others.iter().any(|m| m.addr == *addr);
            let absent: Vec<SocketAddr> = self
                .seeds
                .iter()
                .copied()
                .chain(self.dead.values().filter_map(|(_, _, addr)| *addr))
                .filter(|addr| *addr != self.local.addr && !met(addr))
                .collect();
            if !absent.is_empty() {
                to.push(absent[(random >> 32) as usize % absent.len()]);
            }
        }
        to.sort_unstable();
        to.dedup();
        to
    }

    /// Sends an update at once, or in the next period if this one allows no further messages.
    fn send_update(&mut self, random: u64) -> Vec<Action> {
        if self.extra_messages < FAN_OUT as u8 {
            self.update_pending = true;
            return Vec::new();
        }
        self.extra_messages -= FAN_OUT as u8;
        let others: Vec<&Member> = self.others().collect();
        let mut to: Vec<SocketAddr> = (0..FAN_OUT.min(others.len()) as u64)
            .map(|i| xxh3_64_with_seed(&random.to_le_bytes(), i) as usize % others.len())
            .map(|i| others[i].addr)
            .collect();
        to.sort_unstable();
        to.dedup();
        to.into_iter()
            .map(|to| {
                let message = self.new_message();
                Action::Send { to, message }
            })
            .collect()
    }

    /// Returns a message without vector and members.
    fn new_message(&self) -> Message {
        Message {
            from: self.local.clone(),
            digest: self.digest(true),
            view: self.digest(false),
            vector: Vec::new(),
            names: Vec::new(),
            members: Vec::new(),
            suspicions: self.suspicions.iter().cloned().collect(),
            dead: self.latest_dead(),
        }
    }

    /// Returns the incarnations that died last.
    fn latest_dead(&self) -> Vec<(NodeId, Incarnation)> {
        let mut dead: Vec<_> = self.dead.iter().collect();
        dead.sort_by_key(|(_, (_, at, _))| std::cmp::Reverse(*at));
        dead.into_iter()
            .map(|(name, (incarnation, ..))| (name.clone(), *incarnation))
            .take(MAX_MESSAGE_MEMBERS)
            .collect()
    }

    fn digest(&self, with_content: bool) -> u64 {
        self.sorted().iter().fold(0, |sum, member| {
            let number = if with_content {
                member.content_version
            } else {
                0
            };
            let seed = member
                .incarnation
                .wrapping_mul(0x9e37_79b9)
                .wrapping_add(number);
            sum ^ xxh3_64_with_seed(member.name.as_bytes(), seed)
        })
    }

    /// Returns all members, this node included, in the order of names.
    fn sorted(&self) -> Vec<&Member> {
        let mut all: Vec<&Member> = self.others().chain([&self.local]).collect();
        all.sort_by(|a, b| a.name.cmp(&b.name));
        all
    }

    fn changed(&mut self, state: NodeState, revision: Revision) -> Vec<Action> {
        if (state, revision) == (self.local.state, self.local.revision) {
            return Vec::new();
        }
        self.local.state = state;
        self.local.revision = revision;
        self.local.content_version += 1;
        let seed = xxh3_64_with_seed(self.local.name.as_bytes(), self.local.content_version);
        self.send_update(seed)
    }

    fn receive(&mut self, now: Time, message: &Message, answer: bool) -> Vec<Action> {
        let mut is_new = self.merge(now, &message.from);
        if let Some(known) = self.known.get_mut(&message.from.name) {
            if known.member.incarnation == message.from.incarnation {
                known.last_contact = now;
            }
        }
        for member in &message.members {
            is_new |= self.merge(now, member);
        }
        for (name, incarnation) in &message.dead {
            is_new |= self.record_dead(now, name, *incarnation);
        }
        for suspicion in &message.suspicions {
            is_new |= self.merge_suspicion(suspicion);
        }
        // A node that sends a message is alive.
        let (name, incarnation) = (&message.from.name, message.from.incarnation);
        self.suspicions
            .retain(|s| s.name != *name || s.incarnation > incarnation);
        is_new |= self.remove_lost(now);
        let mut actions = Vec::new();
        if is_new {
            actions.push(Action::MembersChanged);
            actions.extend(self.send_update(xxh3_64(&now.as_nanos().to_le_bytes())));
        }
        let reply = self.reply(message);
        if answer {
            actions.push(Action::Answer { message: reply });
        } else if !reply.members.is_empty() && self.extra_messages > 0 {
            self.extra_messages -= 1;
            let to = message.from.addr;
            actions.push(Action::Send { to, message: reply });
        }
        actions
    }

    /// Merges a member's state if it is newer than the known one; returns true if so.
    fn merge(&mut self, now: Time, member: &Member) -> bool {
        if member.name == self.local.name {
            // The state comes from an earlier incarnation of this name, or from another VM that
            // uses the name.
            if member.incarnation > self.local.incarnation {
                self.local.incarnation = member.incarnation + 1;
            }
            return false;
        }
        let ended = self
            .dead
            .get(&member.name)
            .map(|(incarnation, ..)| *incarnation);
        if ended.is_some_and(|incarnation| member.incarnation <= incarnation)
            && !self.is_mutated("dead incarnations return")
        {
            return false;
        }
        let newer = self
            .known
            .get(&member.name)
            .is_none_or(|known| member.version() > known.member.version());
        if newer {
            let known = KnownMember {
                member: member.clone(),
                last_contact: now,
            };
            self.known.insert(member.name.clone(), known);
        }
        newer
    }

    fn record_dead(&mut self, now: Time, name: &NodeId, incarnation: Incarnation) -> bool {
        if *name == self.local.name {
            // This node was declared dead, so it continues as a new incarnation.
            if incarnation >= self.local.incarnation && !self.is_mutated("keeps its incarnation") {
                self.local.incarnation = incarnation + 1;
                return true;
            }
            return false;
        }
        let current = self.known.get(name).map(|known| known.member.incarnation);
        if current.is_some_and(|current| current > incarnation) {
            return false;
        }
        let is_new = self
            .dead
            .get(name)
            .is_none_or(|(ended, ..)| *ended < incarnation);
        if current.is_some() {
            self.remove(now, name);
        }
        if is_new {
            let addr = self.dead.get(name).and_then(|(.., addr)| *addr);
            self.dead.insert(name.clone(), (incarnation, now, addr));
        }
        is_new
    }

    fn merge_suspicion(&mut self, suspicion: &Suspicion) -> bool {
        if suspicion.name == self.local.name {
            return false;
        }
        let alive = self
            .known
            .get(&suspicion.name)
            .is_some_and(|known| known.member.incarnation == suspicion.incarnation);
        alive && self.suspicions.insert(suspicion.clone())
    }

    /// Returns the reply to a message, with the members that its digest, vector or names show to be
    /// missing.
    fn reply(&self, message: &Message) -> Message {
        let mut reply = self.new_message();
        if message.digest == reply.digest {
            return reply;
        }
        let mine = self.sorted();
        if !message.vector.is_empty() && message.view == reply.view {
            let newer = mine.iter().zip(&message.vector);
            reply.members = newer
                .filter(|(member, content)| member.content_version > **content)
                .map(|(member, _)| (*member).clone())
                .collect();
        } else if !message.names.is_empty() {
            let theirs: BTreeMap<&str, (Incarnation, u64)> = message
                .names
                .iter()
                .map(|(name, incarnation, content)| (&**name, (*incarnation, *content)))
                .collect();
            reply.members = mine
                .iter()
                .filter(|m| {
                    theirs
                        .get(&*m.name)
                        .is_none_or(|version| m.version() > *version)
                })
                .map(|member| (*member).clone())
                .collect();
            // Dead members that the other node considers alive take precedence over the latest
            // deaths; otherwise the other node would send these members repeatedly.
            reply.dead = self.dead_among(&theirs);
        }
        reply.members.truncate(MAX_MESSAGE_MEMBERS);
        if message.view == reply.view {
            reply.vector = mine.iter().map(|member| member.content_version).collect();
        } else {
            let name = |m: &&Member| (m.name.clone(), m.incarnation, m.content_version);
            reply.names = mine.iter().map(name).collect();
        }
        reply
    }

    /// Returns the dead incarnations among those that another node considers alive.
    fn dead_among(
        &self,
        theirs: &BTreeMap<&str, (Incarnation, u64)>,
    ) -> Vec<(NodeId, Incarnation)> {
        self.dead
            .iter()
            .filter(|(name, (ended, ..))| {
                theirs
                    .get(&***name)
                    .is_some_and(|(incarnation, _)| incarnation <= ended)
            })
            .map(|(name, (ended, ..))| (name.clone(), *ended))
            .take(MAX_MESSAGE_MEMBERS)
            .collect()
    }

    /// Reports whether the named defect is active.
    #[cfg(test)]
    fn is_mutated(&self, name: &str) -> bool {
        self.mutation == Some(name)
    }

    #[cfg(not(test))]
    fn is_mutated(&self, _name: &str) -> bool {
        false
    }
}
