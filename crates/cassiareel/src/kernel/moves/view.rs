//! What a node knows of moves, and the version that it gives a request.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{
    uses_new_version, Caller, Cell, Freshness, MoveId, Plan, Ramps, Scope, Verdict, Verdicts,
};
use crate::kernel::{ServiceId, Time, VersionId};

/// Where a move stands.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Shares rise.
    Running,
    /// Shares stay; the judge goes on.
    Paused,
    /// Every cell has the new version.
    Done,
    /// The version was shown bad, and all traffic has the proven one.
    Reversed,
    /// An operator took it back.
    Cancelled,
}

impl State {
    /// Reports whether shares and the judge still count.
    pub fn is_open(self) -> bool {
        matches!(self, State::Running | State::Paused)
    }
}

/// A move as the object API holds it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// The move's number.
    pub id: MoveId,
    /// Rises with each change of the state.
    pub change: u64,
    /// What was asked for.
    pub plan: Plan,
    /// When it started, in seconds since 1970.
    pub started: u64,
    /// Where it stands.
    pub state: State,
}

/// A scope that an earlier move left on a version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SettledScope {
    /// The traffic.
    pub scope: Scope,
    /// Its version.
    pub version: VersionId,
}

/// The moves of a service, as the object API holds them.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// The latest move.
    pub latest: Option<Status>,
    /// Scopes settled by earlier moves, the latest last.
    #[serde(default)]
    pub settled: Vec<SettledScope>,
    /// Verdicts on the service's versions.
    #[serde(default)]
    pub verdicts: Vec<Verdict>,
}

/// A move that a node takes part in.
#[derive(Clone, Debug)]
struct Known {
    record: Record,
    /// The node's own time at which the move started.
    origin: Time,
    ramps: Ramps,
}

/// A node's view of moves.
#[derive(Clone, Debug)]
pub struct View {
    moves: BTreeMap<ServiceId, Known>,
    /// Verdicts, which outlive what the records say.
    pub verdicts: Verdicts,
    /// The node's last news.
    pub freshness: Freshness,
    /// The deliberately broken variant that a model check must catch.
    #[cfg(test)]
    pub(crate) mutation: Option<&'static str>,
}

/// A request as far as moves are concerned.
#[derive(Clone, Copy, Debug)]
pub struct VersionQuery<'a> {
    /// The service.
    pub service: &'a str,
    /// Its version by the settings tree.
    pub version: &'a str,
    /// The cell.
    pub cell: &'a Cell,
    /// The caller's own name beneath its account.
    pub caller_name: &'a str,
    /// The caller and the request, for affinity.
    pub caller: Caller<'a>,
    /// The data centre of the node.
    pub data_centre: &'a str,
}

impl View {
    /// A node that knows of no move.
    ///
    /// It gives no new version anything until it has had news.
    pub fn new() -> View {
        View {
            moves: BTreeMap::new(),
            verdicts: Verdicts::default(),
            freshness: Freshness::stale(),
            #[cfg(test)]
            mutation: None,
        }
    }

    /// Takes a record; true if it is newer than the one known. `age` is the time since its start.
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
        let order = |record: &Record| record.latest.as_ref().map(|s| (s.id, s.change));
        let known = self.moves.get(service);
        if known.is_some_and(|known| order(&known.record) >= order(&record))
            && !self.is_mutated("takes an older status")
        {
            return false;
        }
        let id = |record: &Record| record.latest.as_ref().map(|s| s.id);
        let same = known.filter(|known| id(&known.record) == id(&record));
        let (origin, ramps) = match same {
            Some(known) => (known.origin, known.ramps.clone()),
            None => (now.saturating_sub(age), Ramps::default()),
        };
        let known = Known {
            record,
            origin,
            ramps,
        };
        self.moves.insert(service.clone(), known);
        true
    }

    /// The records, to be passed on to peers.
    pub fn records(&self) -> impl Iterator<Item = (&ServiceId, &Record)> {
        self.moves
            .iter()
            .map(|(service, known)| (service, &known.record))
    }

    /// The open move of a service, with the time since its start.
    pub fn open_move(&self, now: Time, service: &str) -> Option<(&Status, Time)> {
        let known = self.moves.get(service)?;
        let status = known.record.latest.as_ref()?;
        status
            .state
            .is_open()
            .then(|| (status, now.saturating_sub(known.origin)))
    }

    /// The ramps of a service's move.
    pub fn ramps(&mut self, service: &str) -> Option<&mut Ramps> {
        self.moves.get_mut(service).map(|known| &mut known.ramps)
    }

    /// The version that new work gets.
    pub fn version(&self, now: Time, question: VersionQuery<'_>) -> VersionId {
        let base = question.version;
        let Some(known) = self.moves.get(question.service) else {
            return base.into();
        };
        let holds = |scope: &Scope| {
            scope.contains(question.cell, question.caller_name, question.data_centre)
        };
        let settled = known.record.settled.iter().rev().find(|s| holds(&s.scope));
        let base = settled.map_or(base, |s| &*s.version);
        let Some(status) = &known.record.latest else {
            return base.into();
        };
        let plan = &status.plan;
        if *plan.from != *base || !holds(&plan.scope) {
            return base.into();
        }
        if self.may_take(now, status) && self.takes(now, known, status, question) {
            return plan.to.clone();
        }
        plan.from.clone()
    }

    /// Reports whether this node may give the new version anything at all.
    fn may_take(&self, now: Time, status: &Status) -> bool {
        let plan = &status.plan;
        if self.verdicts.is_bad(&plan.service, &plan.to, status.id) {
            return false;
        }
        // A finished move was judged; an open one needs news.
        !status.state.is_open() || self.freshness.is_fresh(now) || self.is_mutated("needs no news")
    }

    fn takes(&self, now: Time, known: &Known, status: &Status, question: VersionQuery<'_>) -> bool {
        match status.state {
            State::Done => true,
            State::Reversed | State::Cancelled => false,
            State::Running | State::Paused => {
                let since = now.saturating_sub(known.origin);
                let within = status.plan.within();
                let share = known.ramps.share(question.cell, since, within);
                uses_new_version(status.id, question.caller, share)
            }
        }
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

impl Default for View {
    fn default() -> View {
        View::new()
    }
}
