//! The state machine of the revision in force on one node.

use std::time::Duration;

use crate::kernel::{NodeId, Revision, Time};

/// The time for which a new node waits for the store or for peers, once it has fetched settings from
/// the other.
pub const START_TIMEOUT: Duration = Duration::from_secs(1);

/// A source of revisions.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Source {
    /// The object API.
    Store,
    /// A peer, or the operator's command through a node.
    Peer(NodeId),
}

/// An event of a node.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A source announced its revision.
    Announced {
        /// The source.
        source: Source,
        /// The revision; 0 if the source has no settings.
        revision: Revision,
    },
    /// The settings of a revision were fetched and are valid.
    Fetched {
        /// The source.
        source: Source,
        /// The revision.
        revision: Revision,
    },
    /// A fetch from a source failed, or the source could not be queried.
    FetchFailed {
        /// The source.
        source: Source,
    },
}

/// An action for the driver.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Action {
    /// Fetch the settings of this revision or of a higher one.
    Fetch {
        /// The source.
        source: Source,
        /// The revision.
        revision: Revision,
    },
    /// Apply the fetched settings, and announce the revision to peers.
    Apply {
        /// The revision.
        revision: Revision,
    },
}

/// The reason why a node has no settings in force.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum WaitReason {
    /// Neither the store nor a peer has answered.
    NoAnswer,
    /// Settings were offered; the store has not answered, and its timeout has not passed.
    StoreSilent,
    /// Settings were offered; no peer has answered, and the timeout has not passed.
    PeersSilent,
    /// The sources that answered have no settings.
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
    // INVARIANT: never decreases while the node runs.
    revision: Revision,
    fetched: Revision,
    fetches: Vec<(Source, Revision)>,
    // The highest revision that a peer announced.
    highest_announced: Revision,
    store_answered: bool,
    peer_answered: bool,
    empty_answer: bool,
    first_fetch: Option<Time>,
    /// The deliberate defect that the model check must find.
    #[cfg(test)]
    pub(crate) mutation: Option<&'static str>,
}

impl ActiveRevision {
    /// Creates a new node without peers, which waits for the store only.
    pub fn without_peers() -> ActiveRevision {
        ActiveRevision {
            peer_answered: true,
            ..ActiveRevision::new()
        }
    }

    /// Creates a new node.
    pub fn new() -> ActiveRevision {
        ActiveRevision {
            revision: 0,
            fetched: 0,
            fetches: Vec::new(),
            highest_announced: 0,
            store_answered: false,
            peer_answered: false,
            empty_answer: false,
            first_fetch: None,
            #[cfg(test)]
            mutation: None,
        }
    }

    /// Returns the revision in force; 0 before the first.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the reason why no settings are in force; `None` once some are.
    pub fn wait_reason(&self) -> Option<WaitReason> {
        if self.revision > 0 {
            return None;
        }
        let reason = match (
            self.fetched > 0 || self.highest_announced > 0,
            self.store_answered,
        ) {
            (false, _) if self.empty_answer => WaitReason::NoSettings,
            (false, _) => WaitReason::NoAnswer,
            (true, false) => WaitReason::StoreSilent,
            (true, true) => WaitReason::PeersSilent,
        };
        Some(reason)
    }

    /// Handles an event that occurs at the time `now`, and returns the resulting actions.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => {}
            Event::Announced { source, revision } => {
                self.record_answer(&source, revision);
                actions.extend(self.fetch_if_higher(source, revision));
            }
            Event::Fetched { source, revision } => {
                self.record_answer(&source, revision);
                self.fetches.retain(|(s, _)| *s != source);
                self.fetched = self.fetched.max(revision);
                if self.is_mutated("accepts any revision") {
                    self.fetched = revision;
                }
                if self.revision == 0 {
                    self.first_fetch.get_or_insert(now);
                }
            }
            Event::FetchFailed { source } => self.fetches.retain(|(s, _)| *s != source),
        }
        actions.extend(self.apply(now));
        actions
    }

    /// Records that a source has answered.
    ///
    /// The answer of a peer without settings does not count as a peer's answer.
    fn record_answer(&mut self, source: &Source, revision: Revision) {
        if self.revision > 0 {
            return;
        }
        self.empty_answer |= revision == 0;
        match source {
            Source::Store => self.store_answered = true,
            Source::Peer(_) => {
                self.peer_answered |= revision > 0;
                self.highest_announced = self.highest_announced.max(revision);
            }
        }
    }

    /// Starts a fetch of a higher revision, from one source at a time for each revision.
    fn fetch_if_higher(&mut self, source: Source, revision: Revision) -> Option<Action> {
        let newer = revision > self.fetched || self.is_mutated("accepts any revision");
        let in_flight = self
            .fetches
            .iter()
            .any(|(s, r)| *s == source || *r >= revision);
        if !newer || in_flight || revision == 0 {
            return None;
        }
        self.fetches.push((source.clone(), revision));
        Some(Action::Fetch { source, revision })
    }

    /// Applies the highest fetched revision; a new node first waits for answers or the timeout.
    fn apply(&mut self, now: Time) -> Option<Action> {
        let higher = self.fetched > self.revision
            || self.is_mutated("accepts any revision") && self.fetched != self.revision;
        let waiting = self
            .first_fetch
            .is_some_and(|fetched_at| now < fetched_at + START_TIMEOUT);
        let both_answered = self.store_answered && self.peer_answered
            || self.is_mutated("starts with the first answer");
        if !higher || self.revision == 0 && waiting && !both_answered {
            return None;
        }
        // Until the timeout, a new node does not start with a lower revision than a peer announced,
        // as the announced one can still be fetched.
        let below = self.fetched < self.highest_announced
            && !self.is_mutated("starts with the first answer");
        if self.revision == 0 && waiting && below {
            return None;
        }
        self.revision = self.fetched;
        // The answers only matter until the first revision is in force.
        self.highest_announced = 0;
        self.first_fetch = None;
        (self.store_answered, self.peer_answered, self.empty_answer) = (false, false, false);
        Some(Action::Apply {
            revision: self.revision,
        })
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

impl Default for ActiveRevision {
    fn default() -> ActiveRevision {
        ActiveRevision::new()
    }
}
