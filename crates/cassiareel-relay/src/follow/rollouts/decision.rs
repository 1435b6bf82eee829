//! How a rollout continues by the pooled counts, and the report of its verdict.

use std::time::Duration;

use slog::{info, warn};

use super::{pooling::KnownCounts, Follower, REWRITE_STEP};
use crate::{
    clock,
    kernel::{state_to_report, Exposure, Judge, KnownOrder, RolloutDecision, Tally},
    model::{RolloutState, StoreRevision},
    source::{Counts, SourceError},
    state::State,
};

/// How a rollout continues until counts are pooled again.
pub(super) struct Decision {
    /// How requests are divided between the versions.
    pub split: RolloutDecision,
    /// Requests that the new version has to get soon, from all nodes together.
    pub missing_requests: f64,
    /// Requests that the new version may get in all, from all nodes together; `None` where the counts of
    /// the other nodes are not known.
    pub exposure: Option<f64>,
}

impl From<RolloutDecision> for Decision {
    /// Creates a decision that sends the new version no requests for their results.
    fn from(split: RolloutDecision) -> Decision {
        Decision {
            split,
            missing_requests: 0.0,
            exposure: None,
        }
    }
}

/// The counts of all nodes together.
struct Pooled {
    elapsed: Duration,
    old: Tally,
    new: Tally,
}

impl Follower {
    /// Decides how a rollout continues; reports a new verdict to the operator, and one that the
    /// store has lost.
    pub(super) async fn decide(&mut self, order: &KnownOrder, known: &KnownCounts) -> Decision {
        let ended = match order.rollout.state {
            Some(RolloutState::Completed) => Some(RolloutDecision::Complete),
            Some(RolloutState::RolledBack) => Some(RolloutDecision::RollBack),
            Some(RolloutState::Running) | None => None,
        };
        if let Some(ended) = ended {
            self.rewrite_verdict(order).await;
            return ended.into();
        }
        let pooled = Pooled::new(order, &known.counts);
        let mut decision = judge(&self.state, order, &pooled);
        if !known.is_complete {
            // Other nodes may have sent the new version all that it may get.
            decision = decision.split.into();
        }
        let is_writable = self.is_writable(order);
        let may_end = is_writable && known.is_complete && self.book.may_end(clock::now());
        if !may_end {
            decision = without_completion(decision);
        }
        let is_share = matches!(decision.split, RolloutDecision::Share(_));
        if !is_writable || !(may_end || is_share) {
            return decision;
        }
        let Some(verdict) = state_to_report(order.rollout.state, decision.split) else {
            return decision;
        };
        let Pooled { elapsed, old, new } = pooled;
        info!(self.state.log, "rollout verdict"; "service" => &*order.rollout.service,
            "target" => &*order.rollout.target, "order" => order.id().to_string(),
            "verdict" => ?verdict, "elapsed_ms" => elapsed.as_millis() as u64, "old" => format_tally(old),
            "new" => format_tally(new));
        match self.report(order, verdict).await {
            // Another node has already written a verdict; it is read next time.
            Err(SourceError::Conflict) => RolloutDecision::Share(0.0).into(),
            Ok(()) => decision,
            // The write may have taken effect, which the next read shows.
            Err(_) => without_completion(decision),
        }
    }

    /// Writes a verdict again that a restored store has lost. The readers of the store do so first,
    /// one after another, so that few nodes write the same.
    async fn rewrite_verdict(&mut self, order: &KnownOrder) {
        let Some((verdict, since)) = order.lost_verdict() else {
            return;
        };
        let cache = &self.state.store_cache;
        let steps = u32::try_from(cache.reader_rank()).unwrap_or(u32::MAX);
        let mut delay = REWRITE_STEP.saturating_mul(steps);
        if !cache.is_forwarder() {
            delay += self.rewrite_delay;
        }
        if clock::now().saturating_sub(since) < delay || !self.is_writable(order) {
            return;
        }
        info!(self.state.log, "lost verdict written again"; "service" => &*order.rollout.service,
            "target" => &*order.rollout.target, "verdict" => ?verdict);
        // A failure is logged, and followed by another attempt while the verdict is missing.
        let _ = self.report(order, verdict).await;
    }

    /// Reports whether the state of an order can be written: it was read in the newest known era. In a
    /// later one, its revision may be that of another order.
    fn is_writable(&self, order: &KnownOrder) -> bool {
        let newest = self.state.store_cache.newest_era().max(self.pooled_era);
        self.book.is_listed(order) && order.newest_id().era() == newest
    }

    /// Writes the state of a rollout for the operator.
    async fn report(
        &mut self,
        order: &KnownOrder,
        verdict: RolloutState,
    ) -> Result<(), SourceError> {
        let rollout = &order.rollout;
        let source = &self.state.source;
        match source.write_rollout_state(rollout, verdict).await {
            Ok(at) => {
                let read_in = order.newest_id().era();
                let is_same_era = at.era() == read_in;
                if !is_same_era {
                    // The revision may be that of another order now. The next list of that era shows
                    // whether this one has its verdict.
                    warn!(self.state.log, "verdict written in a new era";
                        "service" => &*rollout.service, "verdict" => ?verdict, "era" => at.era());
                }
                let revision = is_same_era.then_some(at.revision());
                self.book
                    .record_state(order.id(), verdict, read_in, revision);
                Ok(())
            }
            Err(err) => {
                if !matches!(err, SourceError::Conflict) {
                    warn!(self.state.log, "verdict not written"; "service" => &*rollout.service,
                        "cause" => %err);
                }
                Err(err)
            }
        }
    }
}

impl Pooled {
    /// Adds up the counts of an order.
    fn new(order: &KnownOrder, counts: &[Counts]) -> Pooled {
        let mut pooled = Pooled {
            elapsed: clock::now().saturating_sub(order.began),
            old: Tally::default(),
            new: Tally::default(),
        };
        let is_own =
            |count: &&Counts| count.service == order.rollout.service && is_of(order, count);
        for count in counts.iter().filter(is_own) {
            pooled.old = pooled.old.merge(count.old);
            pooled.new = pooled.new.merge(count.new);
            let known = Duration::from_millis(count.known_ms);
            pooled.elapsed = pooled.elapsed.max(known);
        }
        pooled
    }
}

/// Reports whether counts of a service are of an order.
fn is_of(order: &KnownOrder, count: &Counts) -> bool {
    match count.era {
        Some(era) => order.has_id(StoreRevision::new(era, count.order)),
        None => order.rollout.order == count.order,
    }
}

/// Judges a rollout by the counts of all nodes.
fn judge(state: &State, order: &KnownOrder, pooled: &Pooled) -> Decision {
    let typical = pooled.old.baselines();
    let service = &order.rollout.service;
    state.rollouts.set_typical(service, order.id(), typical);
    let bounds = &state.settings.load().bounds;
    let judge = Judge {
        duration: order.rollout.duration,
        exposure: Exposure {
            share: bounds.exposure_share,
            slack: bounds.exposure_slack,
        },
    };
    Decision {
        split: judge.decide(pooled.elapsed, pooled.old, pooled.new),
        missing_requests: judge.missing_requests(pooled.elapsed, pooled.old, pooled.new),
        exposure: Some(judge.remaining_exposure(pooled.old, pooled.new)),
    }
}

/// Returns how a rollout continues while no verdict can be written: the new version may be rolled
/// back but not complete.
fn without_completion(decision: Decision) -> Decision {
    match decision.split {
        RolloutDecision::Complete => RolloutDecision::Share(0.0).into(),
        RolloutDecision::Share(_) | RolloutDecision::RollBack => decision,
    }
}

/// Formats a version's counts for a log line.
fn format_tally(tally: Tally) -> String {
    let Tally {
        sent,
        answers,
        bad,
        lost,
        ..
    } = tally;
    format!("sent {sent}, known {answers}, bad {bad}, lost {lost}")
}
