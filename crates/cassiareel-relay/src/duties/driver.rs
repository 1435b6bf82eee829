//! Runs the duties while this node holds their lease.

use std::{
    future::Future,
    sync::{Arc, Mutex},
    time::Duration,
};

use async_trait::async_trait;
use cassiareel::{
    control::lease::{Candidate, Clock},
    kernel::Fence,
    runtime::lock,
};
use slog::{info, warn, Logger};
use smol::Timer;

use super::{
    duty::{Duty, DutyCalls},
    kind::DutyKind,
    target::{DutyError, DutyHolder, DutyTarget, ServerOrder, UsageReport},
};
use crate::{
    clock::{self, Moment},
    kernel::{CallEnd, CallPace, DutyTerms, TermChange},
    metrics::{DutyCallLabel, DutyMetrics},
};

/// The interval at which the duties do what is due.
const TICK: Duration = Duration::from_millis(100);

/// The longest wait of one duty for calls that the rate limit allows, so that the others get their turn.
pub(super) const TURN: Duration = Duration::from_secs(1);

/// The statuses from which on an answer does not say whether the call is carried out.
const FIRST_SERVER_ERROR: u16 = 500;

/// Runs duties while this node holds the lease.
pub(super) struct Driver {
    /// The name of the node.
    pub node: String,
    /// The candidacy for the lease.
    pub candidate: Arc<Candidate>,
    /// The terms of this node.
    pub terms: Mutex<DutyTerms>,
    /// The pace of the calls.
    pub pace: Mutex<CallPace>,
    /// The longest wait of one duty for its calls, usually [`TURN`].
    pub turn: Duration,
    /// The remote side.
    pub target: Arc<dyn DutyTarget>,
    /// Reports whether the node is about to stop.
    pub is_leaving: Box<dyn Fn() -> bool + Send + Sync>,
    /// The clock.
    pub clock: Clock,
    /// The metrics.
    pub metrics: DutyMetrics,
    /// The logger.
    pub log: Logger,
}

impl Driver {
    /// Runs the duties until the node is about to stop and its last call has ended.
    pub(super) async fn run(&self, mut duties: Vec<Box<dyn Duty>>) {
        while !(self.is_leaving)() {
            self.tick(&mut duties).await;
            Timer::after(TICK).await;
        }
        let ended = lock(&self.terms).observe(self.now(), None);
        self.follow(ended, &mut duties);
    }

    /// Does once what is due.
    pub(super) async fn tick(&self, duties: &mut [Box<dyn Duty>]) {
        let change = lock(&self.terms).observe(self.now(), self.candidate.grant());
        self.follow(change, duties);
        for duty in duties {
            let turn = Turn {
                driver: self,
                end: self.now() + self.turn,
            };
            if turn.holder().is_some() {
                duty.run_due(&turn).await;
            }
        }
    }

    /// Waits until the lease may be released; reports whether it may be. The next holder's calls must not
    /// exceed the rate limit together with this node's.
    pub(super) async fn wait_release(&self) -> bool {
        let wait = lock(&self.pace).hand_over_wait(self.now());
        Timer::after(wait).await;
        lock(&self.terms).may_release(self.now())
    }

    /// Tells the duties, the log and the metrics of a change of the term.
    fn follow(&self, change: TermChange, duties: &mut [Box<dyn Duty>]) {
        if let Some(fence) = change.ended {
            duties.iter_mut().for_each(|duty| duty.end_term());
            self.metrics.holder.set(0);
            info!(self.log, "duty term ended"; "fence" => fence);
        }
        if let Some(term) = change.began {
            let wait = term.from.saturating_sub(self.now());
            self.metrics.holder.set(1);
            let fence = i64::try_from(term.fence).unwrap_or(i64::MAX);
            self.metrics.fence.set(fence);
            info!(self.log, "duty term began"; "fence" => term.fence,
                "acts_in_ms" => clock::millis(wait),
                "checks_fencing" => lock(&self.terms).rules().checks_fencing);
        }
    }

    /// Returns the fencing token of a call that is sent now; `None` where none may be sent.
    fn fence(&self) -> Option<Fence> {
        if (self.is_leaving)() {
            return None;
        }
        let grant = self.candidate.grant();
        lock(&self.terms).call_fence(self.now(), grant)
    }

    fn holder(&self) -> Option<DutyHolder> {
        Some(DutyHolder {
            name: self.node.clone(),
            fence: self.fence()?,
        })
    }

    /// Waits for the pace of the calls, at most until `end`.
    async fn wait_turn(&self, end: Moment) -> Result<(), DutyError> {
        let now = self.now();
        let wait = lock(&self.pace).wait(now);
        if now + wait > end {
            return Err(DutyError::RateLimited);
        }
        if !wait.is_zero() {
            Timer::after(wait).await;
        }
        Ok(())
    }

    /// Draws the conclusions of a call's outcome.
    fn conclude(&self, fence: Fence, result: &Result<(), DutyError>) {
        let now = self.now();
        match result {
            Ok(()) | Err(DutyError::Fenced) => {}
            Err(DutyError::RateLimited) => lock(&self.pace).record_limited(now),
            Err(_) => lock(&self.pace).record_failed(now),
        }
        let next = lock(&self.terms).record(now, fence, call_end(result));
        if let Some(next) = next {
            warn!(self.log, "duty token refused"; "fence" => fence, "next" => next);
            self.candidate.fence_off(fence, next);
        }
    }

    fn now(&self) -> Moment {
        (self.clock)()
    }
}

/// Returns what is known of a call from its outcome.
fn call_end(result: &Result<(), DutyError>) -> CallEnd {
    match result {
        Ok(()) | Err(DutyError::RateLimited) => CallEnd::Settled,
        Err(DutyError::Fenced) => CallEnd::Fenced,
        Err(DutyError::Refused { status }) if *status < FIRST_SERVER_ERROR => CallEnd::Settled,
        Err(DutyError::Refused { .. } | DutyError::Unanswered { .. }) => CallEnd::Open,
    }
}

/// Returns the name of an outcome.
fn outcome_name(result: &Result<(), DutyError>) -> &'static str {
    match result {
        Ok(()) => "accepted",
        Err(DutyError::Fenced) => "fenced",
        Err(DutyError::RateLimited) => "rate_limited",
        Err(DutyError::Refused { .. }) => "refused",
        Err(DutyError::Unanswered { .. }) => "unanswered",
    }
}

/// The calls of one duty, until the next one gets its turn.
struct Turn<'a> {
    driver: &'a Driver,
    end: Moment,
}

impl Turn<'_> {
    /// Makes one call, if this node may.
    async fn call<F, O>(&self, kind: DutyKind, subject: &str, send: F) -> Result<(), DutyError>
    where
        F: FnOnce(DutyHolder) -> O,
        O: Future<Output = Result<(), DutyError>>,
    {
        let driver = self.driver;
        driver.wait_turn(self.end).await?;
        let holder = driver.holder().ok_or(DutyError::Fenced)?;
        let began = driver.now();
        lock(&driver.pace).record_start(began);
        let fence = holder.fence;
        let result = send(holder).await;
        driver.conclude(fence, &result);
        self.report(kind, subject, fence, began, &result);
        result
    }

    /// Logs and counts a call.
    fn report(
        &self,
        kind: DutyKind,
        subject: &str,
        fence: Fence,
        began: Moment,
        result: &Result<(), DutyError>,
    ) {
        let driver = self.driver;
        let outcome = outcome_name(result);
        let labels = DutyCallLabel {
            duty: kind.name().to_owned(),
            outcome: outcome.to_owned(),
        };
        driver.metrics.calls.get_or_create(&labels).inc();
        let took = clock::millis(driver.now().saturating_sub(began));
        let cause = result.as_ref().err().map(ToString::to_string);
        info!(driver.log, "duty call"; "duty" => kind.name(), "subject" => subject, "fence" => fence,
            "outcome" => outcome, "took_ms" => took, "cause" => cause);
    }
}

#[async_trait]
impl DutyCalls for Turn<'_> {
    fn holder(&self) -> Option<DutyHolder> {
        self.driver.holder()
    }

    async fn report_usage(&self, report: &UsageReport) -> Result<(), DutyError> {
        let target = &self.driver.target;
        let subject = report.window.to_string();
        let send = |holder| async move { target.report_usage(&holder, report).await };
        self.call(DutyKind::Usage, &subject, send).await
    }

    async fn order_servers(&self, order: &ServerOrder) -> Result<(), DutyError> {
        let target = &self.driver.target;
        let subject = format!("{}/{}", order.service, order.data_centre);
        let send = |holder| async move { target.order_servers(&holder, order).await };
        self.call(DutyKind::Autoscale, &subject, send).await
    }
}
