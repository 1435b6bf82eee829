//! The judge at work on a node, and the changes that it leads to.

use std::{collections::HashMap, sync::Arc, time::Duration};

use slog::{info, warn, Logger};
use smol::Timer;

use super::{lease::Candidate, moves};
use crate::{
    kernel::{
        moves::{build_judge, Comparison, Judge, JudgeConfig, MoveId, State, Status, Verdict},
        ServiceId, Time,
    },
    peer::{Peers, SharedState},
    store::Objects,
};

/// Time between looks at the counts.
pub const LOOK: Duration = Duration::from_millis(500);

/// The judge's name.
const JUDGE: &str = "sequential";

/// Cells that the judge of a move is prepared for, where fewer were met.
const CELLS: usize = 30;

/// The judges of a node's open moves.
#[derive(Default)]
pub struct Bench {
    judges: HashMap<ServiceId, (MoveId, Box<dyn Judge>)>,
}

impl Bench {
    /// Looks at the counts of every open move; returns the verdicts found.
    pub fn look(&mut self, shared: &SharedState) -> Vec<Verdict> {
        let now = shared.now();
        let open: Vec<(Status, Time)> = {
            let view = shared.view.load();
            let services: Vec<ServiceId> = view.records().map(|(s, _)| s.clone()).collect();
            let open = services.iter().filter_map(|s| view.open_move(now, s));
            open.map(|(status, since)| (status.clone(), since))
                .collect()
        };
        self.judges.retain(|service, (id, _)| {
            open.iter()
                .any(|(s, _)| s.plan.service == *service && s.id == *id)
        });
        let sum = shared.total_counts();
        open.iter()
            .filter_map(|(status, since)| {
                let plan = &status.plan;
                let comparisons = Comparison::per_cell(&sum, &plan.from, &plan.to);
                self.judge(shared, status, *since, &comparisons)
            })
            .collect()
    }

    fn judge(
        &mut self,
        shared: &SharedState,
        status: &Status,
        since: Time,
        comparisons: &[Comparison],
    ) -> Option<Verdict> {
        let plan = &status.plan;
        let span = JudgeConfig {
            duration: plan.within(),
            interval: LOOK,
            cells: comparisons.len().max(CELLS),
        };
        let (_, own) = self.judges.entry(plan.service.clone()).or_insert_with(|| {
            // INVARIANT: the crate registers this judge itself.
            let own = build_judge(JUDGE, span).expect("the default judge is registered");
            (status.id, own)
        });
        let evidence = own.judge(since, comparisons);
        if status.state == State::Running {
            let steps: Vec<_> = comparisons
                .iter()
                .map(|c| {
                    let seen = c.new.iter().map(|(_, tally)| tally.requests).sum();
                    (c.cell.clone(), seen, own.suspicion(&c.cell))
                })
                .collect();
            shared.update_view(|view| {
                if let Some(ramps) = view.ramps(&plan.service) {
                    for (cell, seen, suspicion) in &steps {
                        ramps.advance(cell, since, plan.within(), *seen, *suspicion);
                    }
                }
            });
        }
        let verdict = Verdict {
            id: status.id,
            service: plan.service.clone(),
            version: plan.to.clone(),
            evidence: evidence?,
        };
        shared
            .update_view(|view| view.verdicts.add(verdict.clone()))
            .then_some(verdict)
    }
}

/// Looks at the counts until dropped; verdicts go to the peers at once.
pub async fn run(shared: Arc<SharedState>, peers: Option<Arc<Peers>>, log: Logger) {
    let mut bench = Bench::default();
    loop {
        for verdict in bench.look(&shared) {
            info!(log, "version shown bad"; "service" => &*verdict.service,
                "version" => &*verdict.version, "move" => verdict.id,
                "evidence" => format!("{:?}", verdict.evidence));
            if let Some(peers) = &peers {
                peers.notify();
            }
        }
        Timer::after(LOOK).await;
    }
}

/// Writes what came of moves, while this node holds the lease.
pub async fn record(
    objects: Arc<dyn Objects>,
    shared: Arc<SharedState>,
    candidate: Arc<Candidate>,
    log: Logger,
) {
    loop {
        Timer::after(LOOK).await;
        if candidate.held().is_none() {
            continue;
        }
        if let Err(err) = record_once(&*objects, &shared, &candidate).await {
            warn!(log, "move not recorded"; "cause" => %err);
            Timer::after(RETRY).await;
        }
    }
}

/// Time before the next try after a failure of the object API.
const RETRY: Duration = Duration::from_secs(2);

/// Writes verdicts that the record lacks, and the end of moves whose time has come.
pub async fn record_once(
    objects: &dyn Objects,
    shared: &SharedState,
    candidate: &Candidate,
) -> Result<(), super::ChangeError> {
    let now = shared.now();
    let view = shared.view.load_full();
    for (service, record) in view.records() {
        let known = |v: &Verdict| {
            let same = |r: &Verdict| r.version == v.version && r.id >= v.id;
            record.verdicts.iter().any(same)
        };
        let of_service = view.verdicts.iter().filter(|v| v.service == *service);
        for verdict in of_service.filter(|v| !known(v)) {
            if candidate.held().is_some() {
                moves::convict(objects, verdict).await?;
            }
        }
        let Some((status, since)) = view.open_move(now, service) else {
            continue;
        };
        let bad = view.verdicts.is_bad(service, &status.plan.to, status.id);
        let due = since >= status.plan.within().mul_f64(0.95);
        if due && !bad && status.state == State::Running && candidate.held().is_some() {
            moves::finish(objects, service).await?;
        }
    }
    Ok(())
}
