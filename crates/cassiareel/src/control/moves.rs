//! Moves as operators ask for them.

use serde::{Deserialize, Serialize};

use super::{stored, wall_seconds, ChangeError};
use crate::{
    kernel::{
        moves::{Plan, Record, Resources, SettledScope, State, Status, Verdict},
        ServiceId,
    },
    store::Objects,
};

/// The kind of the objects; each is named after its service.
pub const KIND: &str = "moves";

/// Entries of history that an object keeps.
const HISTORY: usize = 100;

/// A change of a move.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HistoryEntry {
    /// Seconds since 1970.
    pub at: u64,
    /// The move's number.
    pub id: u64,
    /// The state it came into.
    pub state: State,
    /// Who or what made the change, and why.
    #[serde(rename = "why")]
    pub reason: String,
}

/// The object of a service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StoredMoves {
    /// What nodes follow.
    pub record: Record,
    /// What happened, the latest last.
    #[serde(default)]
    pub history: Vec<HistoryEntry>,
}

impl StoredMoves {
    /// Brings the latest move into a state.
    fn enter(&mut self, state: State, reason: &str) -> Result<(), String> {
        let Some(status) = &mut self.record.latest else {
            return Err("no move was ever started; see `cassiareel move start`".to_owned());
        };
        if status.state == state {
            return Ok(());
        }
        if !status.state.is_open() {
            return Err(format!(
                "move {} has ended as {:?}; start another one",
                status.id, status.state
            ));
        }
        status.state = state;
        status.change += 1;
        let id = status.id;
        self.note(id, state, reason);
        Ok(())
    }

    fn note(&mut self, id: u64, state: State, reason: &str) {
        self.history.push(HistoryEntry {
            at: wall_seconds(),
            id,
            state,
            reason: reason.to_owned(),
        });
        let spare = self.history.len().saturating_sub(HISTORY);
        self.history.drain(..spare);
    }
}

/// Starts a move; its number is in the status returned.
///
/// # Errors
///
/// Refuses a move that can't be done in time or while another is open, with what would help; nothing
/// is changed then.
///
/// # Examples
///
/// ```
/// use cassiareel::{control::moves, kernel::moves::{Resources, Plan, Scope}, store::MemoryObjects};
///
/// let objects = MemoryObjects::new(1);
/// let plan = Plan {
///     service: "drafts".into(),
///     from: "v1".into(),
///     to: "v2".into(),
///     scope: Scope::default(),
///     within_secs: 600,
/// };
/// let means = Resources { servers: 2, loaded: 2, ..Resources::default() };
/// let status = smol::block_on(moves::start(&objects, plan, means, "ana")).unwrap();
/// assert_eq!(status.id, 1);
/// ```
pub async fn start(
    objects: &dyn Objects,
    plan: Plan,
    means: Resources,
    who: &str,
) -> Result<Status, ChangeError> {
    plan.check(means).map_err(|err| ChangeError::Refused {
        reason: err.to_string(),
    })?;
    let started = wall_seconds();
    let stored = stored::change(objects, KIND, &plan.service, |stored: &mut StoredMoves| {
        let latest = stored.record.latest.as_ref();
        if let Some(open) = latest.filter(|status| status.state.is_open()) {
            // This very start, made by a write whose answer was lost.
            if open.plan == plan && open.started == started {
                return Ok(());
            }
            return Err(format!(
                "move {} from {} to {} is open; wait for it or cancel it",
                open.id, open.plan.from, open.plan.to
            ));
        }
        let id = latest.map_or(1, |status| status.id + 1);
        if let Some(done) = latest.filter(|status| status.state == State::Done) {
            let settled = SettledScope {
                scope: done.plan.scope.clone(),
                version: done.plan.to.clone(),
            };
            stored.record.settled.retain(|s| s.scope != settled.scope);
            stored.record.settled.push(settled);
        }
        stored.record.latest = Some(Status {
            id,
            change: 1,
            plan: plan.clone(),
            started,
            state: State::Running,
        });
        stored.note(id, State::Running, who);
        Ok(())
    })
    .await?;
    stored.record.latest.ok_or(ChangeError::Refused {
        reason: "the move was not kept".to_owned(),
    })
}

/// The moves of a service, with verdicts.
///
/// # Errors
///
/// Fails when the object API can't be read.
pub async fn status(objects: &dyn Objects, service: &str) -> Result<Record, ChangeError> {
    Ok(stored::read::<StoredMoves>(objects, KIND, service)
        .await?
        .record)
}

/// Every change of the moves of a service, the latest last.
///
/// # Errors
///
/// Fails when the object API can't be read.
pub async fn history(
    objects: &dyn Objects,
    service: &str,
) -> Result<Vec<HistoryEntry>, ChangeError> {
    Ok(stored::read::<StoredMoves>(objects, KIND, service)
        .await?
        .history)
}

/// Holds the shares of a move where they are; the judge goes on.
///
/// # Errors
///
/// Refused when no move is open.
pub async fn pause(objects: &dyn Objects, service: &str, who: &str) -> Result<(), ChangeError> {
    enter(objects, service, State::Paused, who).await
}

/// Lets a paused move go on.
///
/// # Errors
///
/// Refused when no move is open.
pub async fn resume(objects: &dyn Objects, service: &str, who: &str) -> Result<(), ChangeError> {
    enter(objects, service, State::Running, who).await
}

/// Gives all traffic of an open move back to the version it came from.
///
/// # Errors
///
/// Refused when no move is open.
pub async fn cancel(objects: &dyn Objects, service: &str, who: &str) -> Result<(), ChangeError> {
    enter(objects, service, State::Cancelled, who).await
}

/// Notes that a move is done.
pub(super) async fn finish(objects: &dyn Objects, service: &ServiceId) -> Result<(), ChangeError> {
    enter(
        objects,
        service,
        State::Done,
        "every cell has the new version",
    )
    .await
}

/// Notes a verdict, and that the move was taken back where it is still the latest one.
pub(super) async fn convict(objects: &dyn Objects, verdict: &Verdict) -> Result<(), ChangeError> {
    stored::change(
        objects,
        KIND,
        &verdict.service,
        |stored: &mut StoredMoves| {
            let verdicts = &mut stored.record.verdicts;
            let same = |v: &Verdict| v.version == verdict.version && v.id >= verdict.id;
            if !verdicts.iter().any(same) {
                verdicts.retain(|v| v.version != verdict.version);
                verdicts.push(verdict.clone());
            }
            let latest = stored.record.latest.as_ref();
            if latest.is_some_and(|s| s.id == verdict.id && s.state.is_open()) {
                let evidence = &verdict.evidence;
                let why = format!(
                    "{}: {} of {} requests on {}, {:.2}% expected",
                    evidence.fault,
                    evidence.faults,
                    evidence.requests,
                    evidence.scope,
                    evidence.expected * 100.0
                );
                return stored.enter(State::Reversed, &why);
            }
            Ok(())
        },
    )
    .await
    .map(|_| ())
}

async fn enter(
    objects: &dyn Objects,
    service: &str,
    state: State,
    why: &str,
) -> Result<(), ChangeError> {
    stored::change(objects, KIND, service, |stored: &mut StoredMoves| {
        stored.enter(state, why)
    })
    .await
    .map(|_| ())
}
