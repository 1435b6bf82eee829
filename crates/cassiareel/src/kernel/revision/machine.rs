//! The state machine of one node.

use std::time::Duration;

use crate::kernel::{NodeId, Revision, Time};

/// How long a fresh node waits for the store or for peers once the other has answered.
pub const START_TIMEOUT: Duration = Duration::from_secs(1);

/// Who offers a revision.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Source {
    /// The object API.
    Store,
    /// A peer, or the operator's command through a node.
    Peer(NodeId),
}

/// What happened.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A source says that it has a revision; 0 when it has none.
    Announced {
        /// Who says so.
        source: Source,
        /// The revision.
        revision: Revision,
    },
    /// The tree of a revision was fetched and is valid.
    Fetched {
        /// Where from.
        source: Source,
        /// The revision.
        revision: Revision,
    },
    /// A fetch from a source failed, or the source could not be asked.
    FetchFailed {
        /// The source.
        source: Source,
    },
}

/// What a node is to do.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Action {
    /// Fetch the tree of a revision or a higher one.
    Fetch {
        /// Where from.
        source: Source,
        /// The revision.
        revision: Revision,
    },
    /// Put the fetched tree in force, and announce it to peers.
    Apply {
        /// The revision.
        revision: Revision,
    },
}

/// Why a node has no settings in force.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum WaitReason {
    /// Neither the store nor a peer has answered.
    NoAnswer,
    /// A tree was fetched; the store has not answered and is given a moment.
    StoreSilent,
    /// A tree was fetched; no peer has answered and they are given a moment.
    PeersSilent,
    /// Everyone who answered holds no settings.
    NoSettings,
}

/// The revision in force on a node.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cassiareel::kernel::revision::{Action, Event, ActiveRevision, Source};
///
/// let mut node = ActiveRevision::new();
/// let source = Source::Peer("n2".into());
/// let now = Duration::ZERO;
/// let fetch = node.step(now, Event::Announced { source: source.clone(), revision: 7 });
/// assert_eq!(fetch, [Action::Fetch { source: source.clone(), revision: 7 }]);
/// assert!(node.step(now, Event::Fetched { source, revision: 7 }).is_empty(), "waits for the store");
/// let later = Duration::from_secs(1);
/// assert_eq!(node.step(later, Event::Tick), [Action::Apply { revision: 7 }]);
/// ```
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ActiveRevision {
    // INVARIANT: never falls while the node lives.
    revision: Revision,
    fetched: Revision,
    fetches: Vec<(Source, Revision)>,
    // The highest revision that a peer announced.
    told: Revision,
    store: bool,
    peer: bool,
    empty: bool,
    since: Option<Time>,
    /// The deliberately broken variant that a model check must catch.
    #[cfg(test)]
    pub(crate) mutation: Option<&'static str>,
}

impl ActiveRevision {
    /// A fresh node without peers, which starts on the store's word.
    pub fn without_peers() -> ActiveRevision {
        ActiveRevision {
            peer: true,
            ..ActiveRevision::new()
        }
    }

    /// A fresh node.
    pub fn new() -> ActiveRevision {
        ActiveRevision {
            revision: 0,
            fetched: 0,
            fetches: Vec::new(),
            told: 0,
            store: false,
            peer: false,
            empty: false,
            since: None,
            #[cfg(test)]
            mutation: None,
        }
    }

    /// The revision in force; 0 before the first.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Why nothing is in force; none once something is.
    pub fn wait_reason(&self) -> Option<WaitReason> {
        if self.revision > 0 {
            return None;
        }
        let why = match (self.fetched > 0 || self.told > 0, self.store) {
            (false, _) if self.empty => WaitReason::NoSettings,
            (false, _) => WaitReason::NoAnswer,
            (true, false) => WaitReason::StoreSilent,
            (true, true) => WaitReason::PeersSilent,
        };
        Some(why)
    }

    /// Takes an event at a time.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => {}
            Event::Announced { source, revision } => {
                self.heard(&source, revision);
                actions.extend(self.announced(source, revision));
            }
            Event::Fetched { source, revision } => {
                self.heard(&source, revision);
                self.fetches.retain(|(s, _)| *s != source);
                self.fetched = self.fetched.max(revision);
                if self.is_mutated("takes what comes") {
                    self.fetched = revision;
                }
                if self.revision == 0 {
                    self.since.get_or_insert(now);
                }
            }
            Event::FetchFailed { source } => self.fetches.retain(|(s, _)| *s != source),
        }
        actions.extend(self.enforce(now));
        actions
    }

    /// Notes that a source has answered.
    ///
    /// A peer that is fresh itself has no word to give.
    fn heard(&mut self, source: &Source, revision: Revision) {
        if self.revision > 0 {
            return;
        }
        self.empty |= revision == 0;
        match source {
            Source::Store => self.store = true,
            Source::Peer(_) => {
                self.peer |= revision > 0;
                self.told = self.told.max(revision);
            }
        }
    }

    /// Fetches a higher revision, from one source at a time for each revision.
    fn announced(&mut self, source: Source, revision: Revision) -> Option<Action> {
        let newer = revision > self.fetched || self.is_mutated("takes what comes");
        let coming = self
            .fetches
            .iter()
            .any(|(s, r)| *s == source || *r >= revision);
        if !newer || coming || revision == 0 {
            return None;
        }
        self.fetches.push((source.clone(), revision));
        Some(Action::Fetch { source, revision })
    }

    /// Puts the highest fetched revision in force once a fresh node has heard enough.
    fn enforce(&mut self, now: Time) -> Option<Action> {
        let higher = self.fetched > self.revision
            || self.is_mutated("takes what comes") && self.fetched != self.revision;
        let patient = self.since.is_some_and(|since| now < since + START_TIMEOUT);
        let heard = self.store && self.peer || self.is_mutated("starts on the first answer");
        if !higher || self.revision == 0 && patient && !heard {
            return None;
        }
        // A fresh node does not start below what a peer announced while that can still be fetched.
        let below = self.fetched < self.told && !self.is_mutated("starts on the first answer");
        if self.revision == 0 && patient && below {
            return None;
        }
        self.revision = self.fetched;
        // What a fresh node heard matters no more.
        self.told = 0;
        self.since = None;
        (self.store, self.peer, self.empty) = (false, false, false);
        Some(Action::Apply {
            revision: self.revision,
        })
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

impl Default for ActiveRevision {
    fn default() -> ActiveRevision {
        ActiveRevision::new()
    }
}
