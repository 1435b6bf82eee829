//! The candidacy for the lease on the duties.

use std::{sync::Arc, time::Duration};

use async_channel::Receiver;
use cassiareel::{
    control::lease::{Candidate, LeaseOptions},
    kernel::lease::Timing,
    runtime::within,
    store::ConditionalStore,
};
use slog::{o, Logger};

use crate::{clock, state::State};

/// The kind of the lease's object in the store.
const KIND: &str = "relay-leases";

/// The name of the lease's object: one lease covers all duties.
const NAME: &str = "duties";

/// The number of nodes that are candidates: the first reader of the store and its first standbys.
pub(crate) const CANDIDATES: usize = 3;

/// The number of candidates that read the lease at the full rate. The others read it at half that
/// rate: they are needed only where two nodes are lost at the same time.
const FAST_CANDIDATES: usize = 2;

/// The time between two reads of a candidate is the lease's duration divided by this number.
const POLL_DIVISOR: u32 = 6;

/// The interval at which a node checks whether it is a candidate.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// How long a holder that is no longer a candidate keeps the lease. The other nodes send the counts that
/// duties need to the candidates that they know, and a node that starts may take the lease before it knows
/// most of the fleet.
const MAX_OUTRANKED: Duration = Duration::from_secs(2);

/// The largest incarnation: a number that every JSON reader can hold exactly.
const MAX_INCARNATION: u64 = 1 << 53;

/// Creates this process's candidate.
pub(super) fn new_candidate(
    node: &str,
    timing: Timing,
    store: Arc<dyn ConditionalStore>,
    log: &Logger,
) -> Candidate {
    // A machine that takes over a node's name is another holder, as is a restarted process.
    let incarnation = fastrand::u64(1..MAX_INCARNATION);
    let options = LeaseOptions {
        kind: KIND,
        name: NAME,
        timing,
        poll: timing.duration / POLL_DIVISOR,
        clock: Arc::new(clock::now),
    };
    let log = log.new(o!("lease" => NAME));
    Candidate::new(node.into(), incarnation, options, store, log)
}

/// Acquires and renews the lease while this node is a candidate, until `end` is closed. The lease of a
/// node that others outrank runs out.
pub(super) async fn hold_lease(state: &State, candidate: &Candidate, end: Receiver<()>) {
    let mut ranked_at = clock::now();
    while !end.is_closed() {
        let rank = candidate_rank(state);
        let now = clock::now();
        if rank.is_some() {
            ranked_at = now;
        }
        let is_outranked = now.saturating_sub(ranked_at) > MAX_OUTRANKED;
        let pause = if rank.is_some() || (candidate.grant().is_some() && !is_outranked) {
            candidate.poll().await;
            candidate.poll_delay(poll_factor(rank))
        } else {
            CHECK_INTERVAL
        };
        // The pause is cut short where the channel is closed.
        let _ = within(pause, end.recv()).await;
    }
}

/// Returns the factor by which a candidate's reads are rarer.
fn poll_factor(rank: Option<usize>) -> f64 {
    match rank {
        Some(rank) if rank < FAST_CANDIDATES => 1.0,
        _ => 2.0,
    }
}

/// Returns the node's rank among the candidates; `None` where it is none, or does not know the other
/// nodes yet.
fn candidate_rank(state: &State) -> Option<usize> {
    state.store_cache.members.get()?;
    let rank = state.store_cache.reader_rank();
    (rank < CANDIDATES && !state.is_leaving()).then_some(rank)
}
