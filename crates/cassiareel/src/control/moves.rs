//! The moves between versions that operators start and change, as stored in the object API.

use serde::{Deserialize, Serialize};

use super::{object_update, wall_seconds, ChangeError};
use crate::{
    kernel::{
        moves::{Plan, Record, Resources, SettledScope, State, Status, Verdict},
        next_number, ServiceId,
    },
    store::{Objects, StoreEra},
};

/// The object kind of moves; each object has the name of its service.
pub const KIND: &str = "moves";

/// Maximum number of history entries that an object keeps.
const MAX_HISTORY_ENTRIES: usize = 100;

/// A change of a move's state.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HistoryEntry {
    /// The time of the change in seconds since 1970.
    pub at: u64,
    /// The number of the move.
    pub id: u64,
    /// The new state.
    pub state: State,
    /// Who or what made the change, and why.
    #[serde(rename = "why")]
    pub reason: String,
}

/// The contents of a service's object.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StoredMoves {
    /// The moves and verdicts that nodes apply.
    pub record: Record,
    /// The changes of moves, the latest last.
    #[serde(default)]
    pub history: Vec<HistoryEntry>,
}

impl StoredMoves {
    /// Sets the state of the latest move.
    fn set_state(&mut self, state: State, reason: &str, era: StoreEra) -> Result<(), String> {
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
        status.change = next_number(status.change, era);
        let id = status.id;
        self.append_history(id, state, reason);
        Ok(())
    }

    fn append_history(&mut self, id: u64, state: State, reason: &str) {
        self.history.push(HistoryEntry {
            at: wall_seconds(),
            id,
            state,
            reason: reason.to_owned(),
        });
        let excess = self.history.len().saturating_sub(MAX_HISTORY_ENTRIES);
        self.history.drain(..excess);
    }
}

/// Starts a move; the returned status has its number.
///
/// # Errors
///
/// Returns an error, and changes nothing, if the move can't be done in time or another move is open;
/// the error says what would help. Returns an error if the object API can't be read or written.
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
/// let resources = Resources { servers: 2, loaded: 2, ..Resources::default() };
/// let status = smol::block_on(moves::start(&objects, plan, resources, "ana")).unwrap();
/// assert_eq!(status.id, 1);
/// ```
pub async fn start(
    objects: &dyn Objects,
    plan: Plan,
    resources: Resources,
    author: &str,
) -> Result<Status, ChangeError> {
    plan.check(resources).map_err(|err| ChangeError::Refused {
        reason: err.to_string(),
    })?;
    let started = wall_seconds();
    let stored = object_update::update(
        objects,
        KIND,
        &plan.service,
        |stored: &mut StoredMoves, era| {
            let latest = stored.record.latest.as_ref();
            if let Some(open) = latest.filter(|status| status.state.is_open()) {
                // The open move was written by this call, in a write whose answer was lost.
                if open.plan == plan && open.started == started {
                    return Ok(());
                }
                return Err(format!(
                    "move {} from {} to {} is open; wait for it or cancel it",
                    open.id, open.plan.from, open.plan.to
                ));
            }
            let id = next_number(latest.map_or(0, |status| status.id), era);
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
                change: next_number(0, era),
                plan: plan.clone(),
                started,
                state: State::Running,
            });
            stored.append_history(id, State::Running, author);
            Ok(())
        },
    )
    .await?;
    stored.record.latest.ok_or(ChangeError::Refused {
        reason: "the move was not kept".to_owned(),
    })
}

/// Returns the moves of a service, with their verdicts.
///
/// # Errors
///
/// Returns an error if the object API can't be read.
pub async fn status(objects: &dyn Objects, service: &str) -> Result<Record, ChangeError> {
    Ok(object_update::read::<StoredMoves>(objects, KIND, service)
        .await?
        .record)
}

/// Returns the recorded changes of the moves of a service, the latest last.
///
/// # Errors
///
/// Returns an error if the object API can't be read.
pub async fn history(
    objects: &dyn Objects,
    service: &str,
) -> Result<Vec<HistoryEntry>, ChangeError> {
    Ok(object_update::read::<StoredMoves>(objects, KIND, service)
        .await?
        .history)
}

/// Pauses the open move: its traffic shares stay as they are, and the judge continues.
///
/// # Errors
///
/// Returns an error if no move is open, or if the object API can't be read or written.
pub async fn pause(objects: &dyn Objects, service: &str, author: &str) -> Result<(), ChangeError> {
    change_state(objects, service, State::Paused, author).await
}

/// Resumes a paused move.
///
/// # Errors
///
/// Returns an error if no move is open, or if the object API can't be read or written.
pub async fn resume(objects: &dyn Objects, service: &str, author: &str) -> Result<(), ChangeError> {
    change_state(objects, service, State::Running, author).await
}

/// Cancels the open move: all its traffic returns to the version that it started from.
///
/// # Errors
///
/// Returns an error if no move is open, or if the object API can't be read or written.
pub async fn cancel(objects: &dyn Objects, service: &str, author: &str) -> Result<(), ChangeError> {
    change_state(objects, service, State::Cancelled, author).await
}

/// Records that a move is done.
pub(super) async fn record_done(
    objects: &dyn Objects,
    service: &ServiceId,
) -> Result<(), ChangeError> {
    change_state(
        objects,
        service,
        State::Done,
        "every cell has the new version",
    )
    .await
}

/// Records a verdict, and that its move was rolled back if that is still the latest one and open.
pub(super) async fn record_verdict(
    objects: &dyn Objects,
    verdict: &Verdict,
) -> Result<(), ChangeError> {
    object_update::update(
        objects,
        KIND,
        &verdict.service,
        |stored: &mut StoredMoves, era| {
            let verdicts = &mut stored.record.verdicts;
            let is_known = |v: &Verdict| v.version == verdict.version && v.id >= verdict.id;
            if !verdicts.iter().any(is_known) {
                verdicts.retain(|v| v.version != verdict.version);
                verdicts.push(verdict.clone());
            }
            let latest = stored.record.latest.as_ref();
            if latest.is_some_and(|s| s.id == verdict.id && s.state.is_open()) {
                let evidence = &verdict.evidence;
                let reason = format!(
                    "{}: {} of {} requests on {}, {:.2}% expected",
                    evidence.fault,
                    evidence.faults,
                    evidence.requests,
                    evidence.scope,
                    evidence.expected * 100.0
                );
                return stored.set_state(State::Reversed, &reason, era);
            }
            Ok(())
        },
    )
    .await
    .map(|_| ())
}

async fn change_state(
    objects: &dyn Objects,
    service: &str,
    state: State,
    reason: &str,
) -> Result<(), ChangeError> {
    object_update::update(objects, KIND, service, |stored: &mut StoredMoves, era| {
        stored.set_state(state, reason, era)
    })
    .await
    .map(|_| ())
}
