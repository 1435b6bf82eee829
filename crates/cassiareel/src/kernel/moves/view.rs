//! A node's view of the moves, and the choice of a request's version.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{
    uses_new_version, Caller, Cell, Freshness, MoveId, Plan, Ramps, Scope, Verdict, Verdicts,
};
use crate::kernel::{number_era, ServiceId, Time, VersionId};

/// The state of a move.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Shares increase.
    Running,
    /// Shares are unchanged; the judge still runs.
    Paused,
    /// Every cell uses the new version.
    Done,
    /// A verdict found the new version bad, and all traffic uses the proven one.
    Reversed,
    /// An operator cancelled the move.
    Cancelled,
}

impl State {
    /// Reports whether the move is still in progress.
    pub fn is_open(self) -> bool {
        matches!(self, State::Running | State::Paused)
    }
}

/// A move as stored in the object API.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// The move's number.
    pub id: MoveId,
    /// The number of the state change; it increases with each one.
    pub change: u64,
    /// The plan.
    pub plan: Plan,
    /// The start, in seconds since the Unix epoch.
    pub started: u64,
    /// The state.
    pub state: State,
}

/// A scope with the version that an earlier move set for it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SettledScope {
    /// The traffic.
    pub scope: Scope,
    /// The version of that traffic.
    pub version: VersionId,
}

/// The moves of a service as stored in the object API.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// The latest move.
    pub latest: Option<Status>,
    /// The scopes settled by earlier moves, in the order of the moves.
    #[serde(default)]
    pub settled: Vec<SettledScope>,
    /// Verdicts on the service's versions.
    #[serde(default)]
    pub verdicts: Vec<Verdict>,
}

/// The moves of a service as known to a node.
#[derive(Clone, Debug)]
struct KnownMove {
    record: Record,
    /// The start of the move on the node's own clock.
    started_at: Time,
    ramps: Ramps,
}

/// A node's view of moves.
#[derive(Clone, Debug)]
pub struct View {
    moves: BTreeMap<ServiceId, KnownMove>,
    /// The verdicts, which are kept independently of the records.
    pub verdicts: Verdicts,
    /// The time of the node's last update.
    pub freshness: Freshness,
    /// The deliberate defect that the model check must find.
    #[cfg(test)]
    pub(crate) mutation: Option<&'static str>,
}

/// The properties of a request that determine its version.
#[derive(Clone, Copy, Debug)]
pub struct VersionQuery<'a> {
    /// The service.
    pub service: &'a str,
    /// The version according to the settings.
    pub version: &'a str,
    /// The cell.
    pub cell: &'a Cell,
    /// The caller's own name within its account.
    pub caller_name: &'a str,
    /// The caller and the request, for affinity.
    pub caller: Caller<'a>,
    /// The data centre of the node.
    pub data_centre: &'a str,
}

impl View {
    /// Creates the view of a node that knows of no move.
    ///
    /// The node gives no traffic to new versions until it has received an update.
    pub fn new() -> View {
        View {
            moves: BTreeMap::new(),
            verdicts: Verdicts::default(),
            freshness: Freshness::stale(),
            #[cfg(test)]
            mutation: None,
        }
    }

    /// Merges a record; returns true if it is newer than the known one.
    ///
    /// `age` is the time since the start of the latest move.
    pub fn merge_record(
        &mut self,
        now: Time,
        service: &ServiceId,
        record: Record,
        age: Time,
    ) -> bool {
        for verdict in &record.verdicts {
            self.verdicts.add(verdict.clone());
        }
        let position = |record: &Record| {
            let latest = record.latest.as_ref();
            // A restored store may go on with an earlier move than the latest known one.
            latest.map(|s| (number_era(s.change), s.id, s.change))
        };
        let known = self.moves.get(service);
        if known.is_some_and(|known| position(&known.record) >= position(&record))
            && !self.is_mutated("accepts an older status")
        {
            return false;
        }
        let id = |record: &Record| record.latest.as_ref().map(|s| s.id);
        let same = known.filter(|known| id(&known.record) == id(&record));
        let (started_at, ramps) = match same {
            Some(known) => (known.started_at, known.ramps.clone()),
            None => (now.saturating_sub(age), Ramps::default()),
        };
        let known = KnownMove {
            record,
            started_at,
            ramps,
        };
        self.moves.insert(service.clone(), known);
        true
    }

    /// Returns the records, which are passed on to peers.
    pub fn records(&self) -> impl Iterator<Item = (&ServiceId, &Record)> {
        self.moves
            .iter()
            .map(|(service, known)| (service, &known.record))
    }

    /// Returns the open move of a service, with the time since its start.
    pub fn open_move(&self, now: Time, service: &str) -> Option<(&Status, Time)> {
        let known = self.moves.get(service)?;
        let status = known.record.latest.as_ref()?;
        status
            .state
            .is_open()
            .then(|| (status, now.saturating_sub(known.started_at)))
    }

    /// Returns the ramps of a service's latest move.
    pub fn ramps(&mut self, service: &str) -> Option<&mut Ramps> {
        self.moves.get_mut(service).map(|known| &mut known.ramps)
    }

    /// Returns the version for a new request.
    pub fn version(&self, now: Time, query: VersionQuery<'_>) -> VersionId {
        let base = query.version;
        let Some(known) = self.moves.get(query.service) else {
            return base.into();
        };
        let contains =
            |scope: &Scope| scope.contains(query.cell, query.caller_name, query.data_centre);
        let settled = known
            .record
            .settled
            .iter()
            .rev()
            .find(|s| contains(&s.scope));
        let base = settled.map_or(base, |s| &*s.version);
        let Some(status) = &known.record.latest else {
            return base.into();
        };
        let plan = &status.plan;
        if *plan.from != *base || !contains(&plan.scope) {
            return base.into();
        }
        if self.may_use_new_version(now, status) && self.is_moved(now, known, status, query) {
            return plan.to.clone();
        }
        plan.from.clone()
    }

    /// Reports whether this node may give any traffic to the new version.
    fn may_use_new_version(&self, now: Time, status: &Status) -> bool {
        let plan = &status.plan;
        if self.verdicts.is_bad(&plan.service, &plan.to, status.id) {
            return false;
        }
        // The version of a finished move was judged; an open move requires recent updates.
        !status.state.is_open()
            || self.freshness.is_fresh(now)
            || self.is_mutated("ignores staleness")
    }

    /// Reports whether the move gives a request to the new version.
    fn is_moved(
        &self,
        now: Time,
        known: &KnownMove,
        status: &Status,
        query: VersionQuery<'_>,
    ) -> bool {
        match status.state {
            State::Done => true,
            State::Reversed | State::Cancelled => false,
            State::Running | State::Paused => {
                let since = now.saturating_sub(known.started_at);
                let within = status.plan.within();
                let share = known.ramps.share(query.cell, since, within);
                uses_new_version(status.id, query.caller, share)
            }
        }
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

impl Default for View {
    fn default() -> View {
        View::new()
    }
}
