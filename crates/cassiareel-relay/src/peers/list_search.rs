/*!
The peers that a node without lists asks for them, one after another.

No peer is waited for: one that starts itself answers at once that it has no lists, and one whose link
is busy names others that have them. The node asks again after a pause, until it has lists or its turn
to read the store has come. So there is no cycle of waits.
*/

use std::{
    collections::{HashSet, VecDeque},
    net::SocketAddr,
    time::Duration,
};

/// The pause after all peers that have the lists were busy.
const BUSY_PAUSE: Duration = Duration::from_millis(80);

/// The first pause after a peer had no lists.
const FIRST_EMPTY_PAUSE: Duration = Duration::from_millis(100);

/// The longest of these pauses.
const MAX_EMPTY_PAUSE: Duration = Duration::from_millis(300);

/// How often the preferred peer, which is near, is asked before one of the others is asked once.
const ATTEMPTS: usize = 3;

/// How a peer answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum ListAnswer {
    /// Its link is busy. It names nodes that have the lists.
    Busy(Vec<SocketAddr>),
    /// It has no lists.
    Empty,
    /// It did not answer, or can't be understood.
    Failed,
}

/// A search for lists.
#[derive(Debug, Default)]
pub(super) struct ListSearch {
    /// Nodes that were named and not asked yet.
    sources: VecDeque<SocketAddr>,
    /// Nodes that were asked since the last pause.
    asked: HashSet<SocketAddr>,
    empty_answers: usize,
}

impl ListSearch {
    /// Returns the node to ask next; `peers` are the forwarders in order of preference.
    pub(super) fn next(&mut self, peers: &[SocketAddr]) -> Option<SocketAddr> {
        if let Some(source) = self.sources.pop_front() {
            self.asked.insert(source);
            return Some(source);
        }
        let (round, attempt) = (
            self.empty_answers / (ATTEMPTS + 1),
            self.empty_answers % (ATTEMPTS + 1),
        );
        let turn = if attempt < ATTEMPTS { 0 } else { round + 1 };
        let peer = peers.get(turn % peers.len().max(1)).copied();
        self.asked.extend(peer);
        peer
    }

    /// Records an answer; returns the pause before the next question.
    pub(super) fn record(&mut self, answer: ListAnswer) -> Duration {
        match answer {
            ListAnswer::Busy(sources) => {
                let asked = &self.asked;
                let new = sources.into_iter().filter(|source| !asked.contains(source));
                let new: Vec<SocketAddr> = new.collect();
                self.sources.extend(new);
                self.pause_unless_named(BUSY_PAUSE)
            }
            ListAnswer::Empty => {
                self.empty_answers += 1;
                let pause = FIRST_EMPTY_PAUSE * u32::try_from(self.empty_answers).unwrap_or(1);
                self.pause_unless_named(pause.min(MAX_EMPTY_PAUSE))
            }
            // The peer is excluded, and the next one may be asked at once.
            ListAnswer::Failed => Duration::ZERO,
        }
    }

    fn pause_unless_named(&mut self, pause: Duration) -> Duration {
        if !self.sources.is_empty() {
            return Duration::ZERO;
        }
        self.asked.clear();
        pause
    }
}
