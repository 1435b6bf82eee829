//! The judges of open moves on a node, and the recording of their verdicts.

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

/// Time between checks of the counts.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The registered name of the judge.
const JUDGE_NAME: &str = "sequential";

/// Minimum number of cells that the judge of a move is configured for, even if fewer were seen.
const MIN_CELLS: usize = 30;

/// The judges of a node's open moves.
#[derive(Default)]
pub struct Judges {
    judges: HashMap<ServiceId, (MoveId, Box<dyn Judge>)>,
}

impl Judges {
    /// Checks the counts of every open move; returns the new verdicts.
    pub fn check(&mut self, shared: &SharedState) -> Vec<Verdict> {
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
        let counts = shared.total_counts();
        open.iter()
            .filter_map(|(status, since)| {
                let plan = &status.plan;
                let comparisons = Comparison::per_cell(&counts, &plan.from, &plan.to);
                self.check_move(shared, status, *since, &comparisons)
            })
            .collect()
    }

    fn check_move(
        &mut self,
        shared: &SharedState,
        status: &Status,
        since: Time,
        comparisons: &[Comparison],
    ) -> Option<Verdict> {
        let plan = &status.plan;
        let config = JudgeConfig {
            duration: plan.within(),
            interval: CHECK_INTERVAL,
            cells: comparisons.len().max(MIN_CELLS),
        };
        let (_, judge) = self.judges.entry(plan.service.clone()).or_insert_with(|| {
            // INVARIANT: this crate registers the judge itself.
            let judge = build_judge(JUDGE_NAME, config).expect("the default judge is registered");
            (status.id, judge)
        });
        let evidence = judge.judge(since, comparisons);
        if status.state == State::Running {
            let steps: Vec<_> = comparisons
                .iter()
                .map(|c| {
                    let requests = c.new.iter().map(|(_, tally)| tally.requests).sum();
                    (c.cell.clone(), requests, judge.suspicion(&c.cell))
                })
                .collect();
            shared.update_view(|view| {
                if let Some(ramps) = view.ramps(&plan.service) {
                    for (cell, requests, suspicion) in &steps {
                        ramps.advance(cell, since, plan.within(), *requests, *suspicion);
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

/// Checks the counts periodically until dropped; notifies the peers of each verdict at once.
pub async fn run(shared: Arc<SharedState>, peers: Option<Arc<Peers>>, log: Logger) {
    let mut judges = Judges::default();
    loop {
        for verdict in judges.check(&shared) {
            info!(log, "version judged bad"; "service" => &*verdict.service,
                "version" => &*verdict.version, "move" => verdict.id,
                "evidence" => format!("{:?}", verdict.evidence));
            if let Some(peers) = &peers {
                peers.notify();
            }
        }
        Timer::after(CHECK_INTERVAL).await;
    }
}

/// Writes the outcomes of moves to the object API while this node holds the lease.
pub async fn record_outcomes(
    objects: Arc<dyn Objects>,
    shared: Arc<SharedState>,
    candidate: Arc<Candidate>,
    log: Logger,
) {
    loop {
        Timer::after(CHECK_INTERVAL).await;
        if candidate.grant().is_none() {
            continue;
        }
        if let Err(err) = record_outcomes_once(&*objects, &shared, &candidate).await {
            warn!(log, "move outcome not recorded"; "cause" => %err);
            Timer::after(RETRY_DELAY).await;
        }
    }
}

/// Delay before the next attempt after a failure of the object API.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// Writes the verdicts that the stored records lack, and marks moves as done whose time is over.
pub async fn record_outcomes_once(
    objects: &dyn Objects,
    shared: &SharedState,
    candidate: &Candidate,
) -> Result<(), super::ChangeError> {
    let now = shared.now();
    let view = shared.view.load_full();
    for (service, record) in view.records() {
        let is_recorded = |v: &Verdict| {
            let covers = |r: &Verdict| r.version == v.version && r.id >= v.id;
            record.verdicts.iter().any(covers)
        };
        let of_service = view.verdicts.iter().filter(|v| v.service == *service);
        for verdict in of_service.filter(|v| !is_recorded(v)) {
            if candidate.grant().is_some() {
                moves::record_verdict(objects, verdict).await?;
            }
        }
        let Some((status, since)) = view.open_move(now, service) else {
            continue;
        };
        let is_bad = view.verdicts.is_bad(service, &status.plan.to, status.id);
        let is_due = since >= status.plan.within().mul_f64(0.95);
        if is_due && !is_bad && status.state == State::Running && candidate.grant().is_some() {
            moves::record_done(objects, service).await?;
        }
    }
    Ok(())
}
