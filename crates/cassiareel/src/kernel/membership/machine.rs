//! The state machine of one node.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{ring::Ring, Member, NodeState, Suspicion};
use crate::kernel::{Incarnation, NodeId, Revision, Time};

/// Time between a node's words to its neighbours.
pub const GOSSIP_PERIOD: Duration = Duration::from_millis(400);

/// Silence after which a neighbour is suspected: three words missed.
const SILENCE: Duration = Duration::from_millis(1200);

/// Silence after which a watcher asks a node itself: its view of who watches whom may be ahead of
/// the other's, or behind it, and then no word was due.
const PROBE: Duration = Duration::from_millis(700);

/// Peers that urgent news is passed on to at once.
const FAN_OUT: usize = 3;

/// Words after which an unreachable or unknown address is tried again.
const RETRY_EVERY: u64 = 5;

/// How long a dead incarnation is remembered, against late words of it.
const REMEMBER: Duration = Duration::from_secs(600);

/// Members in one message at most, so that a message stays within the byte budget.
const MEMBERS_AT_ONCE: usize = 20;

/// Messages beyond the regular ones that a node sends in a period, for news and for what a peer
/// lacks; more waits for the next period, so that news of many members can't become a storm.
const EXTRA: u8 = 8;

/// What nodes tell each other of the fleet.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Message {
    /// The sender's own word.
    pub from: Member,
    /// A digest of the members that the sender holds.
    pub digest: u64,
    /// A digest of their names and lives alone.
    pub view: u64,
    /// Content numbers in the order of names, when digests differ and views don't.
    pub vector: Vec<u64>,
    /// Names with lives and content numbers, when views differ.
    pub names: Vec<(NodeId, Incarnation, u64)>,
    /// Members that the receiver may lack.
    pub members: Vec<Member>,
    /// Who is silent, by whose word.
    pub suspicions: Vec<Suspicion>,
    /// Lives that have ended.
    pub dead: Vec<(NodeId, Incarnation)>,
}

/// What happened to a node.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Event {
    /// A period passed; `random` is a fresh random number.
    Tick {
        /// The random number.
        random: u64,
    },
    /// A message came, as a call or as the answer to one.
    Received {
        /// The message.
        message: Box<Message>,
        /// Whether it is a call that is to be answered.
        answer: bool,
    },
    /// This node's own facts changed.
    Changed {
        /// Whether it stays.
        state: NodeState,
        /// The revision in force.
        revision: Revision,
    },
    /// News that peers are to have at once.
    UrgentUpdate {
        /// A random number.
        random: u64,
    },
    /// The VM list or the settings name addresses of peers.
    Listed {
        /// The addresses.
        addrs: Vec<SocketAddr>,
    },
}

/// What a node is to do.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Action {
    /// Send a message to an address.
    Send {
        /// The address.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Answer the call that was just heard.
    Answer {
        /// The answer.
        message: Message,
    },
    /// A node joined, left or died: those who choose peers look again.
    MembersChanged,
}

/// Another node, as this one holds it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Known {
    member: Member,
    /// When it last spoke to this node itself, or was met.
    heard: Time,
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
    known: BTreeMap<NodeId, Known>,
    dead: BTreeMap<NodeId, (Incarnation, Time, Option<SocketAddr>)>,
    suspicions: BTreeSet<Suspicion>,
    listed: Vec<SocketAddr>,
    ticks: u64,
    last: Time,
    /// Messages beyond the regular ones that this period still allows.
    extra: u8,
    /// News waits for the next period.
    pending: bool,
    /// The deliberately broken variant that a model check must catch.
    #[cfg(test)]
    pub(crate) mutation: Option<&'static str>,
}

impl Membership {
    /// A node that knows nobody.
    pub fn new(me: Member) -> Membership {
        Membership {
            local: me,
            known: BTreeMap::new(),
            dead: BTreeMap::new(),
            suspicions: BTreeSet::new(),
            listed: Vec::new(),
            ticks: 0,
            last: Time::ZERO,
            extra: EXTRA,
            pending: false,
            #[cfg(test)]
            mutation: None,
        }
    }

    /// This node.
    pub fn local(&self) -> &Member {
        &self.local
    }

    /// The other live nodes, leaving ones included.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.known.values().map(|known| &known.member)
    }

    /// Nodes that are dead or out of reach and were not replaced since.
    pub fn unreachable_count(&self) -> usize {
        self.dead
            .keys()
            .filter(|name| !self.known.contains_key(*name))
            .count()
    }

    /// The latest incarnation of a name that has ended, if one did of late.
    pub fn ended_incarnation(&self, name: &str) -> Option<Incarnation> {
        self.dead.get(name).map(|(incarnation, ..)| *incarnation)
    }

    /// Reports whether this node is among the first `count` of its data centre, by a hash that
    /// spreads the duty; nodes that leave are passed over.
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

    /// Takes an event at a time.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        match event {
            Event::Tick { random } => self.tick(now, random),
            Event::Received { message, answer } => self.heard(now, &message, answer),
            Event::Changed { state, revision } => self.changed(state, revision),
            Event::UrgentUpdate { random } => self.urgent(random),
            Event::Listed { addrs } => {
                self.listed = addrs;
                Vec::new()
            }
        }
    }

    fn tick(&mut self, now: Time, random: u64) -> Vec<Action> {
        self.ticks = (self.ticks + 1) % RETRY_EVERY;
        // After a pause of its own a node has heard nobody, which says nothing of them.
        if now > self.last + SILENCE {
            for known in self.known.values_mut() {
                known.heard = now;
            }
        }
        self.last = now;
        self.extra = EXTRA;
        self.dead.retain(|_, (_, at, _)| now < *at + REMEMBER);
        let mut actions = Vec::new();
        if std::mem::take(&mut self.pending) {
            actions.extend(self.urgent(random));
        }
        if self.suspect_silent(now) {
            actions.extend(self.urgent(random));
        }
        if self.bury(now) {
            actions.push(Action::MembersChanged);
            actions.extend(self.urgent(random));
        }
        let mut targets = self.targets(random);
        targets.extend(self.probes(now));
        targets.sort_unstable();
        targets.dedup();
        for to in targets {
            let message = self.message();
            actions.push(Action::Send { to, message });
        }
        actions
    }

    /// Suspects the nodes that this one watches and has not heard.
    fn suspect_silent(&mut self, now: Time) -> bool {
        let silent: Vec<Suspicion> = self
            .watched_since(now, SILENCE)
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

    /// The addresses of watched nodes that have said nothing for a while.
    fn probes(&self, now: Time) -> Vec<SocketAddr> {
        self.watched_since(now, PROBE)
            .map(|known| known.member.addr)
            .collect()
    }

    /// The nodes that this one watches and has not heard for a time.
    fn watched_since(&self, now: Time, silence: Duration) -> impl Iterator<Item = &Known> {
        let ring = self.ring();
        self.known.values().filter(move |known| {
            now >= known.heard + silence
                && ring
                    .after(&known.member.name)
                    .any(|m| m.name == self.local.name)
        })
    }

    /// Takes those out that enough of their watchers suspect.
    fn bury(&mut self, now: Time) -> bool {
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

    fn is_lost(&self, ring: &Ring<'_>, member: &Member) -> bool {
        let watchers: Vec<&NodeId> = ring.after(&member.name).map(|m| &m.name).collect();
        let by = self
            .suspicions
            .iter()
            .filter(|s| s.name == member.name && s.incarnation == member.incarnation)
            .filter(|s| watchers.contains(&&s.reporter))
            .count();
        // Watchers that are suspected themselves have no voice that could be waited for.
        let voices = watchers
            .iter()
            .filter(|name| !self.suspicions.iter().any(|s| s.name == ***name))
            .count();
        by >= voices.clamp(1, 2)
    }

    fn remove(&mut self, now: Time, name: &NodeId) {
        if let Some(known) = self.known.remove(name) {
            let incarnation = known.member.incarnation;
            let addr = Some(known.member.addr);
            self.dead.insert(name.clone(), (incarnation, now, addr));
        }
        self.suspicions.retain(|s| s.name != *name);
    }

    /// The members on the ring; each is watched by those after it.
    fn ring(&self) -> Ring<'_> {
        Ring::new(self.others().chain([&self.local]))
    }

    /// Where this period's words go.
    fn targets(&self, random: u64) -> Vec<SocketAddr> {
        let ring = self.ring();
        let mut to: Vec<SocketAddr> = ring.after(&self.local.name).map(|m| m.addr).collect();
        let others: Vec<&Member> = self.others().collect();
        if !others.is_empty() {
            to.push(others[random as usize % others.len()].addr);
        }
        if self.ticks == 0 || others.is_empty() {
            let met = |addr: &SocketAddr| others.iter().any(|m| m.addr == *addr);
            let away: Vec<SocketAddr> = self
                .listed
                .iter()
                .copied()
                .chain(self.dead.values().filter_map(|(_, _, addr)| *addr))
                .filter(|addr| *addr != self.local.addr && !met(addr))
                .collect();
            if !away.is_empty() {
                to.push(away[(random >> 32) as usize % away.len()]);
            }
        }
        to.sort_unstable();
        to.dedup();
        to
    }

    /// Passes news on at once, or in the next period when this one allows no more messages.
    fn urgent(&mut self, random: u64) -> Vec<Action> {
        if self.extra < FAN_OUT as u8 {
            self.pending = true;
            return Vec::new();
        }
        self.extra -= FAN_OUT as u8;
        let others: Vec<&Member> = self.others().collect();
        let mut to: Vec<SocketAddr> = (0..FAN_OUT.min(others.len()) as u64)
            .map(|i| xxh3_64_with_seed(&random.to_le_bytes(), i) as usize % others.len())
            .map(|i| others[i].addr)
            .collect();
        to.sort_unstable();
        to.dedup();
        to.into_iter()
            .map(|to| {
                let message = self.message();
                Action::Send { to, message }
            })
            .collect()
    }

    /// A message without vector and members.
    fn message(&self) -> Message {
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

    /// The lives that ended last.
    fn latest_dead(&self) -> Vec<(NodeId, Incarnation)> {
        let mut dead: Vec<_> = self.dead.iter().collect();
        dead.sort_by_key(|(_, (_, at, _))| std::cmp::Reverse(*at));
        dead.into_iter()
            .map(|(name, (incarnation, ..))| (name.clone(), *incarnation))
            .take(MEMBERS_AT_ONCE)
            .collect()
    }

    fn digest(&self, content: bool) -> u64 {
        self.sorted().iter().fold(0, |sum, member| {
            let number = if content { member.content_version } else { 0 };
            let seed = member
                .incarnation
                .wrapping_mul(0x9e37_79b9)
                .wrapping_add(number);
            sum ^ xxh3_64_with_seed(member.name.as_bytes(), seed)
        })
    }

    /// Every member, this node included, in the order of names.
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
        self.urgent(seed)
    }

    fn heard(&mut self, now: Time, message: &Message, answer: bool) -> Vec<Action> {
        let mut news = self.merge(now, &message.from);
        if let Some(known) = self.known.get_mut(&message.from.name) {
            if known.member.incarnation == message.from.incarnation {
                known.heard = now;
            }
        }
        for member in &message.members {
            news |= self.merge(now, member);
        }
        for (name, incarnation) in &message.dead {
            news |= self.bury_life(now, name, *incarnation);
        }
        for suspicion in &message.suspicions {
            news |= self.hear_suspicion(suspicion);
        }
        // Whoever speaks is alive.
        let (name, incarnation) = (&message.from.name, message.from.incarnation);
        self.suspicions
            .retain(|s| s.name != *name || s.incarnation > incarnation);
        news |= self.bury(now);
        let mut actions = Vec::new();
        if news {
            actions.push(Action::MembersChanged);
            actions.extend(self.urgent(xxh3_64(&now.as_nanos().to_le_bytes())));
        }
        let reply = self.reply(message);
        if answer {
            actions.push(Action::Answer { message: reply });
        } else if !reply.members.is_empty() && self.extra > 0 {
            self.extra -= 1;
            let to = message.from.addr;
            actions.push(Action::Send { to, message: reply });
        }
        actions
    }

    /// Takes a member's word if it is newer; true if it is news.
    fn merge(&mut self, now: Time, member: &Member) -> bool {
        if member.name == self.local.name {
            // A word of an earlier incarnation of this name, or of another VM that took it.
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
            && !self.is_mutated("dead lives return")
        {
            return false;
        }
        let newer = self
            .known
            .get(&member.name)
            .is_none_or(|known| member.order() > known.member.order());
        if newer {
            let known = Known {
                member: member.clone(),
                heard: now,
            };
            self.known.insert(member.name.clone(), known);
        }
        newer
    }

    fn bury_life(&mut self, now: Time, name: &NodeId, incarnation: Incarnation) -> bool {
        if *name == self.local.name {
            // This node was taken for dead: it goes on as another incarnation.
            if incarnation >= self.local.incarnation && !self.is_mutated("keeps its incarnation") {
                self.local.incarnation = incarnation + 1;
                return true;
            }
            return false;
        }
        let living = self.known.get(name).map(|known| known.member.incarnation);
        if living.is_some_and(|living| living > incarnation) {
            return false;
        }
        let news = self
            .dead
            .get(name)
            .is_none_or(|(ended, ..)| *ended < incarnation);
        if living.is_some() {
            self.remove(now, name);
        }
        if news {
            let addr = self.dead.get(name).and_then(|(.., addr)| *addr);
            self.dead.insert(name.clone(), (incarnation, now, addr));
        }
        news
    }

    fn hear_suspicion(&mut self, suspicion: &Suspicion) -> bool {
        if suspicion.name == self.local.name {
            return false;
        }
        let alive = self
            .known
            .get(&suspicion.name)
            .is_some_and(|known| known.member.incarnation == suspicion.incarnation);
        alive && self.suspicions.insert(suspicion.clone())
    }

    /// Answers what the other's digest, vector or names ask for.
    fn reply(&self, message: &Message) -> Message {
        let mut reply = self.message();
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
                .filter(|m| theirs.get(&*m.name).is_none_or(|order| m.order() > *order))
                .map(|member| (*member).clone())
                .collect();
            // What the other holds for alive comes before what ended last: it would send these
            // members again and again.
            reply.dead = self.ended_of(&theirs);
        }
        reply.members.truncate(MEMBERS_AT_ONCE);
        if message.view == reply.view {
            reply.vector = mine.iter().map(|member| member.content_version).collect();
        } else {
            let name = |m: &&Member| (m.name.clone(), m.incarnation, m.content_version);
            reply.names = mine.iter().map(name).collect();
        }
        reply
    }

    /// The lives that another holds for alive and that have ended.
    fn ended_of(&self, theirs: &BTreeMap<&str, (Incarnation, u64)>) -> Vec<(NodeId, Incarnation)> {
        self.dead
            .iter()
            .filter(|(name, (ended, ..))| {
                theirs
                    .get(&***name)
                    .is_some_and(|(incarnation, _)| incarnation <= ended)
            })
            .map(|(name, (ended, ..))| (name.clone(), *ended))
            .take(MEMBERS_AT_ONCE)
            .collect()
    }

    /// Reports whether this is the broken variant of a name.
    #[cfg(test)]
    fn is_mutated(&self, name: &str) -> bool {
        self.mutation == Some(name)
    }

    #[cfg(not(test))]
    fn is_mutated(&self, _name: &str) -> bool {
        false
    }
}
