/*!
The clock that maps a moment of the steady clock to true time.

Nodes' times of day are close to true time, but each may be off or jump by seconds. Each node states
its own time of day, from which jumps are removed; candidates take the median over all nodes that send
them counts, and state it in their replies. A node uses the weighted median of its own offset, of the
times that nodes stated to it, and of the medians of the candidates. Medians are computed only from
nodes' own times, so that no error feeds back.

Error: a stated time is late by what its message took. Of the times of one node, the one that took
least within [`FILTER_TIME`] counts. A reply's time is corrected by half of its round trip, so that its
error is below [`MAX_ROUND_TRIP`] / 2. The error of the result is the error of the time of day of the
median node plus these delays, usually a few milliseconds, and 150 ms at most.
*/

use std::{collections::HashMap, time::Duration};

use super::{OwnOffset, TimeOffset, TrueTime};
use crate::clock::Moment;

/// The time within which the message of a node that took least counts.
const FILTER_TIME: Duration = Duration::from_secs(10);

/// How long a stated time counts. Steady clocks drift apart by less than 30 ms in this time.
const MAX_VOTE_AGE: Duration = Duration::from_secs(300);

/// The longest round trip after which a reply's time counts.
const MAX_ROUND_TRIP: Duration = Duration::from_millis(300);

/// The difference up to which two medians of equal weight are averaged.
const MAX_AVERAGED: Duration = Duration::from_millis(200);

/// Maps the steady clock to true time.
#[derive(Clone, Debug, Default)]
pub struct TrueClock {
    own: OwnOffset,
    /// The offsets that nodes stated for their own time of day.
    nodes: HashMap<String, Stated>,
    /// The medians that candidates stated.
    medians: HashMap<String, Stated>,
}

/// An offset that another node stated.
#[derive(Clone, Copy, Debug)]
struct Stated {
    offset: TimeOffset,
    at: Moment,
    /// How many nodes' times it is made of.
    weight: u32,
    /// The round trip of the call that returned it; zero where it is not known.
    round_trip: Duration,
}

impl TrueClock {
    /// Records this node's time of day.
    pub fn observe(&mut self, now: Moment, time: TrueTime) {
        self.own.observe(now, time);
    }

    /// Records the time of day that a node stated in a message that has just arrived.
    pub fn record_node(&mut self, name: &str, time: TrueTime, now: Moment) {
        let stated = Stated {
            offset: time.saturating_sub(now),
            at: now,
            weight: 1,
            round_trip: Duration::ZERO,
        };
        let is_kept = self.nodes.get(name).is_some_and(|kept| {
            now.saturating_sub(kept.at) < FILTER_TIME && kept.offset >= stated.offset
        });
        if !is_kept {
            self.nodes.insert(name.to_owned(), stated);
        }
    }

    /// Records the median that a candidate stated in its reply to a call that began at `asked_at`.
    pub fn record_median(
        &mut self,
        name: &str,
        time: TrueTime,
        voters: u32,
        asked_at: Moment,
        now: Moment,
    ) {
        let round_trip = now.saturating_sub(asked_at);
        if round_trip > MAX_ROUND_TRIP {
            return;
        }
        let is_kept = self.medians.get(name).is_some_and(|kept| {
            now.saturating_sub(kept.at) < FILTER_TIME && kept.round_trip < round_trip
        });
        if !is_kept {
            let stated = Stated {
                offset: (time + round_trip / 2).saturating_sub(now),
                at: now,
                weight: voters.max(1),
                round_trip,
            };
            self.medians.insert(name.to_owned(), stated);
        }
    }

    /// Forgets times that were stated too long ago.
    pub fn forget_old(&mut self, now: Moment) {
        let is_recent =
            |_: &String, stated: &mut Stated| now.saturating_sub(stated.at) < MAX_VOTE_AGE;
        self.nodes.retain(is_recent);
        self.medians.retain(is_recent);
    }

    /// Reports whether at least `count` other nodes' times are known.
    pub fn is_confirmed(&self, count: u32) -> bool {
        let stated = self.nodes.values().chain(self.medians.values());
        let weight: u64 = stated.map(|stated| u64::from(stated.weight)).sum();
        weight >= u64::from(count)
    }

    /// Returns this node's own time of day without its jumps.
    pub fn own_time(&self, now: Moment) -> Option<TrueTime> {
        self.own.get().map(|offset| offset + now)
    }

    /// Returns the median of the times of day of this node and of those that stated theirs, and their
    /// number; `None` where this node does not know its own. The node that asks is left out, since its
    /// own time would seem to confirm itself.
    pub fn median_time(&self, asked_by: &str, now: Moment) -> Option<(TrueTime, u32)> {
        self.own.get()?;
        let votes = self.own_votes(asked_by);
        let count = u32::try_from(votes.len()).unwrap_or(u32::MAX);
        let offset = weighted_median(votes, self.own.get())?;
        Some((offset + now, count))
    }

    /// Returns the true time at a moment; `None` where nothing is known of it.
    pub fn time(&self, at: Moment) -> Option<TrueTime> {
        let mut votes = self.own_votes("");
        votes.extend(self.medians.values().map(|s| (s.offset, s.weight)));
        weighted_median(votes, self.own.get()).map(|offset| offset + at)
    }

    /// Returns the offsets of single nodes but one, each with the weight 1.
    fn own_votes(&self, left_out: &str) -> Vec<(TimeOffset, u32)> {
        let nodes = self.nodes.iter().filter(|(name, _)| **name != left_out);
        let nodes = nodes.map(|(_, stated)| stated.offset);
        let all = self.own.get().into_iter().chain(nodes);
        all.map(|offset| (offset, 1)).collect()
    }
}

/// Returns the weighted median. Where two offsets are both medians, returns their mean if they are
/// close to each other, and otherwise the one that is closer to this node's own.
fn weighted_median(
    mut votes: Vec<(TimeOffset, u32)>,
    own: Option<TimeOffset>,
) -> Option<TimeOffset> {
    votes.sort_unstable();
    let total: u64 = votes.iter().map(|(_, weight)| u64::from(*weight)).sum();
    let mut below = 0;
    for (i, (offset, weight)) in votes.iter().enumerate() {
        below += u64::from(*weight);
        if below * 2 < total {
            continue;
        }
        let (low, high) = match votes.get(i + 1) {
            Some((next, _)) if below * 2 == total => (*offset, *next),
            _ => return Some(*offset),
        };
        if high - low <= MAX_AVERAGED {
            return Some(low + (high - low) / 2);
        }
        let own = own.unwrap_or(low);
        return Some(if own.abs_diff(low) <= own.abs_diff(high) {
            low
        } else {
            high
        });
    }
    None
}
