//! How a rollout continues by the pooled counts, and the report of its verdict.

use std::time::Duration;

use slog::{info, warn};

use super::{rollout_key, FirstSeen};
use crate::{
    clock,
    kernel::{state_to_report, Exposure, Judge, RolloutDecision, Tally},
    model::{Rollout, RolloutState},
    source::{Counts, SourceError},
    state::State,
};

/// How a rollout continues until counts are pooled again.
pub(super) struct Decision {
    pub split: RolloutDecision,
    /// Requests that the new version has to get soon, from all nodes together.
    pub missing_requests: f64,
}

impl From<RolloutDecision> for Decision {
    /// Creates a decision without missing requests.
    fn from(split: RolloutDecision) -> Decision {
        Decision {
            split,
            missing_requests: 0.0,
        }
    }
}

/// Decides how a rollout continues; reports a new verdict to the operator.
pub(super) async fn decide(
    state: &State,
    first_seen: &FirstSeen,
    rollout: &Rollout,
    pooled: &[Counts],
) -> Decision {
    match rollout.state {
        Some(RolloutState::Completed) => return RolloutDecision::Complete.into(),
        Some(RolloutState::RolledBack) => return RolloutDecision::RollBack.into(),
        Some(RolloutState::Running) | None => {}
    }
    let counts = pooled
        .iter()
        .filter(|c| c.service == rollout.service && c.order == rollout.created);
    let (mut old, mut new) = (Tally::default(), Tally::default());
    let mut elapsed = first_seen
        .get(&rollout_key(rollout))
        .map_or(Duration::ZERO, |at| clock::now().saturating_sub(*at));
    for count in counts {
        old = old.merge(count.old);
        new = new.merge(count.new);
        elapsed = elapsed.max(Duration::from_millis(count.known_ms));
    }
    let typical = old.baselines();
    state
        .rollouts
        .set_typical(&rollout.service, rollout.created, typical);
    let bounds = &state.settings.load().bounds;
    let judge = Judge {
        duration: rollout.duration,
        exposure: Exposure {
            share: bounds.exposure_share,
            slack: bounds.exposure_slack,
        },
    };
    let decision = Decision {
        split: judge.decide(elapsed, old, new),
        missing_requests: judge.missing_requests(old, new),
    };
    let Some(verdict) = state_to_report(rollout.state, decision.split) else {
        return decision;
    };
    info!(state.log, "rollout verdict"; "service" => &*rollout.service,
        "target" => &*rollout.target, "verdict" => ?verdict,
        "elapsed_ms" => elapsed.as_millis() as u64, "old" => format_tally(old), "new" => format_tally(new));
    match state.source.write_rollout_state(rollout, verdict).await {
        Ok(()) => decision,
        // Another node has already written a verdict; it is read next time.
        Err(SourceError::Conflict) => RolloutDecision::Share(0.0).into(),
        Err(err) => {
            warn!(state.log, "verdict not written"; "service" => &*rollout.service, "cause" => %err);
            decision
        }
    }
}

/// Formats a version's counts for a log line.
fn format_tally(tally: Tally) -> String {
    let Tally {
        sent, answers, bad, ..
    } = tally;
    format!("sent {sent}, known {answers}, bad {bad}")
}
