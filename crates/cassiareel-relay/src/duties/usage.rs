/*!
The duty to report usage.

The holder fixes what it reports for a window in one object of the store, by a conditional write,
before it sends the report. It sends only what the store has shown to it: by the answer to the write,
or by a read. A node that takes over reads the object first and sends what was fixed and not accepted.

A store that was restored from a copy may have lost windows that were reported. The node that fixed
them in this term knows them and writes them again. A node that takes over in a new era of the store
reports no window that ended before.
*/

use std::{collections::HashMap, mem, sync::Arc, time::Duration};

use async_trait::async_trait;
use cassiareel::store::{ConditionalStore, Object, StoreEra, StoreError, StoreVersion};
use serde::{Deserialize, Serialize};
use slog::{error, info, warn, Logger};

use super::{
    duty::{Duty, DutyCalls},
    target::{DutyError, UsageReport},
};
use crate::{
    clock::Moment,
    kernel::usage::{FixedWindow, History, Ledger, WindowNumber},
    metrics::Metrics,
    usage_meter::{UsageMeter, FLEET_RETENTION},
    usage_metrics::UsageMetrics,
};

/// The object that holds the fixed windows.
const KIND: &str = "relay-usage";
const NAME: &str = "windows";

/// How long a node that takes over waits before it fixes a window, so that nodes that did not know it
/// as a candidate can send it their counts: twice the interval between messages in a fleet of 300.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// The time after which a call of the store is repeated that failed.
const STORE_RETRY: Duration = Duration::from_millis(300);

/// The time after which a write is repeated that the store did not accept as it was.
const INVALID_RETRY: Duration = Duration::from_secs(5);

/// The time after which a report is sent again, and its longest one after several attempts.
const SEND_RETRY: Duration = Duration::from_millis(400);
const MAX_SEND_RETRY: Duration = Duration::from_secs(3);

/// How many times a report is sent that the platform refuses for another reason than the fencing token
/// or the rate limit.
const MAX_REFUSALS: u32 = 5;

/// The largest number of counts of open windows that are written with the fixed ones, about 160 kB.
const MAX_OPEN_COUNTS: usize = 16_384;

/// The interval at which a holder that is about to stop writes the counts of open windows.
const SAVE_INTERVAL: Duration = Duration::from_secs(1);

/// The largest number of windows that one write fixes.
const MAX_WINDOWS: u64 = 12;

/// Returns the present moment; tests supply virtual time.
pub(crate) type TimeSource = Arc<dyn Fn() -> Moment + Send + Sync>;

/// What the object holds.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct StoredWindows {
    /// The era of the store in which the object was written.
    era: StoreEra,
    windows: Vec<FixedWindow>,
    /// The counts of windows that are not fixed yet, for a fleet whose nodes all end together; `None`
    /// where there are too many.
    #[serde(default)]
    open: Option<History>,
}

/// Reports the usage of each window.
pub(crate) struct UsageDuty {
    meter: Arc<UsageMeter>,
    store: Arc<dyn ConditionalStore>,
    now: TimeSource,
    log: Logger,
    metrics: UsageMetrics,
    ledger: Ledger,
    term: Option<Term>,
    /// The token that the platform has refused.
    fenced: Option<u64>,
    attempts: HashMap<WindowNumber, Attempts>,
    /// Before this time neither the store nor the platform is called.
    next_store_call: Moment,
    next_report: Moment,
    /// When the object was last written.
    written_at: Moment,
    /// Whether the last call of the store failed, which is logged once.
    is_failing: bool,
    /// The version of an object that can't be read, which is logged once.
    unreadable: Option<StoreVersion>,
}

/// The time as holder.
#[derive(Clone, Debug)]
struct Term {
    began: Moment,
    /// The version of the object; `NONE` where there is none.
    version: StoreVersion,
    /// Whether the object has to be read before it is written or anything is reported.
    must_read: bool,
    /// Whether windows that were reported may be missing in the store: those that ended before the
    /// term began are not reported.
    may_miss: bool,
    /// Whether there was no object when the term began.
    was_empty: bool,
}

/// The attempts to report one window.
#[derive(Clone, Copy, Debug, Default)]
struct Attempts {
    made: u32,
    refusals: u32,
    next: Moment,
}

impl UsageDuty {
    /// Creates the duty over the object API of the platform's store.
    pub(crate) fn new(
        meter: Arc<UsageMeter>,
        store: Arc<dyn ConditionalStore>,
        now: TimeSource,
        log: Logger,
        metrics: UsageMetrics,
    ) -> UsageDuty {
        UsageDuty {
            meter,
            store,
            now,
            log,
            metrics,
            ledger: Ledger::default(),
            term: None,
            fenced: None,
            attempts: HashMap::new(),
            next_store_call: Moment::ZERO,
            next_report: Moment::ZERO,
            written_at: Moment::ZERO,
            is_failing: false,
            unreadable: None,
        }
    }

    /// Returns what is still to be read or done in this term; `None` where this node may not act.
    fn may_act(&self, calls: &dyn DutyCalls) -> bool {
        calls
            .holder()
            .is_some_and(|holder| Some(holder.fence) != self.fenced)
    }

    /// Reads the object, unless the store has to be left alone for a moment; reports whether the node
    /// knows what it holds.
    async fn read(&mut self) -> bool {
        let now = (self.now)();
        let is_first = self.term.is_none();
        if self.term.as_ref().is_some_and(|term| !term.must_read) {
            return true;
        }
        if now < self.next_store_call {
            return false;
        }
        let stored = match self.store.get(KIND, NAME).await {
            Ok(Some(object)) => match self.parse(&object) {
                Some(stored) => Some((object.version, stored)),
                None => return false,
            },
            Ok(None) => None,
            Err(err) => {
                self.record_store_error("read", &err);
                return false;
            }
        };
        let (version, stored) = stored.map_or((StoreVersion::NONE, None), |(version, stored)| {
            (version, Some(stored))
        });
        let era = self.store.era();
        let is_restored = stored.as_ref().is_some_and(|stored| stored.era < era);
        let was_empty = stored.is_none();
        self.is_failing = false;
        if let Some(stored) = stored {
            let added = self.merge(stored.windows);
            // A write without an answer has taken effect.
            for window in added.into_iter().filter(|_| !is_first) {
                self.log_fixed(window);
            }
            if let Some(open) = &stored.open {
                self.meter.merge_history(NAME, open, now);
            }
        }
        match &mut self.term {
            Some(term) => {
                term.version = version;
                term.must_read = false;
                term.was_empty &= was_empty;
            }
            None => {
                self.term = Some(Term {
                    began: now,
                    version,
                    must_read: false,
                    may_miss: is_restored,
                    was_empty,
                });
            }
        }
        if is_first {
            info!(self.log, "usage windows read"; "last" => self.ledger.last(), "era" => era,
                "restored" => is_restored, "unanswered" => self.ledger.unanswered().count());
        }
        true
    }

    /// Parses the object; logs a fault once for each version.
    fn parse(&mut self, object: &Object) -> Option<StoredWindows> {
        match serde_json::from_value(object.spec.clone()) {
            Ok(stored) => Some(stored),
            Err(err) => {
                if self.unreadable != Some(object.version) {
                    error!(self.log, "usage windows unreadable"; "cause" => %err);
                    self.unreadable = Some(object.version);
                }
                self.next_store_call = (self.now)() + INVALID_RETRY;
                None
            }
        }
    }

    /// Adds the windows that the store has; returns those that were not known.
    fn merge(&mut self, stored: Vec<FixedWindow>) -> Vec<WindowNumber> {
        let changes = self.ledger.merge(stored);
        for window in changes.differing {
            Metrics::count(&self.metrics.windows, "differing");
            error!(self.log, "usage window differs in the store"; "window" => window);
        }
        if let Some(last) = self.ledger.last() {
            self.meter.set_fixed(last);
        }
        changes.added
    }

    /// Reports each window that is fixed and was not accepted yet.
    async fn report_due(&mut self, calls: &dyn DutyCalls) {
        let windows: Vec<FixedWindow> = self.ledger.unanswered().cloned().collect();
        for window in windows {
            let now = (self.now)();
            let attempts = self.attempts.entry(window.window).or_default();
            if now < self.next_report {
                return;
            }
            if now < attempts.next {
                continue;
            }
            attempts.made += 1;
            let report = UsageReport {
                window: window.window,
                counts: window.counts.clone(),
            };
            let token = calls.holder().map(|holder| holder.fence);
            let outcome = calls.report_usage(&report).await;
            self.record_outcome(&window, &outcome);
            match outcome {
                Ok(()) | Err(DutyError::Refused { .. } | DutyError::Unanswered { .. }) => {}
                Err(DutyError::RateLimited) => return,
                Err(DutyError::Fenced) => {
                    let after = calls.holder().map(|holder| holder.fence);
                    // Without a holder the call was not made, and the token not refused.
                    self.fenced = after.filter(|_| after == token).or(self.fenced);
                    self.end_term();
                    return;
                }
            }
        }
    }

    /// Records and logs the outcome of a report.
    fn record_outcome(&mut self, window: &FixedWindow, outcome: &Result<(), DutyError>) {
        let now = (self.now)();
        let number = window.window;
        let attempts = self.attempts.entry(number).or_default();
        let wait = SEND_RETRY * 2u32.pow(attempts.made.min(4).saturating_sub(1));
        let wait = wait.min(MAX_SEND_RETRY);
        let name = match outcome {
            Ok(()) => "accepted",
            Err(DutyError::Fenced) => "fenced",
            Err(DutyError::RateLimited) => {
                self.next_report = now + wait;
                "rate limited"
            }
            Err(DutyError::Refused { .. }) => {
                attempts.refusals += 1;
                "refused"
            }
            Err(DutyError::Unanswered { .. }) => "unanswered",
        };
        attempts.next = now + wait;
        let (made, refusals) = (attempts.made, attempts.refusals);
        let rules = self.meter.rules();
        let age = self
            .meter
            .time(now)
            .map(|time| time.saturating_sub(rules.end(number)));
        Metrics::count(&self.metrics.windows, name);
        info!(self.log, "usage window reported"; "window" => number, "outcome" => name,
            "requests" => window.requests(), "attempt" => made,
            "age_ms" => age.map(|age| age.as_millis() as u64),
            "late" => age.map(|age| age > rules.late),
            "cause" => outcome.as_ref().err().map(|err| err.to_string()));
        let is_given_up = refusals >= MAX_REFUSALS;
        if outcome.is_ok() || is_given_up {
            self.ledger.mark_answered(number);
            self.attempts.remove(&number);
        }
        if is_given_up {
            Metrics::count(&self.metrics.windows, "given up");
            error!(self.log, "usage window given up"; "window" => number, "refusals" => refusals);
        }
    }

    /// Fixes the windows that are closed.
    async fn fix_due(&mut self) {
        let now = (self.now)();
        let Some(term) = self.term.clone() else {
            return;
        };
        let is_settled = now.saturating_sub(term.began) >= SETTLE_TIME;
        if !is_settled || now < self.next_store_call || !self.ledger.may_fix() {
            return;
        }
        let closed = self.meter.time(now);
        let closed = closed.and_then(|time| self.meter.rules().last_closed(time));
        let Some(closed) = closed else {
            return;
        };
        let first = self.first_open(&term, now, closed);
        if first > closed {
            self.save_open(&term, now).await;
            return;
        }
        let last = closed.min(first + MAX_WINDOWS - 1);
        let new = (first..=last).map(|window| FixedWindow {
            window,
            counts: self.meter.totals(window),
            is_answered: false,
        });
        self.write(&term, new.collect()).await;
    }

    /// Writes the counts of open windows while this node is about to stop, since all nodes may do so.
    async fn save_open(&mut self, term: &Term, now: Moment) {
        let is_due = now.saturating_sub(self.written_at) >= SAVE_INTERVAL;
        if is_due && self.meter.is_leaving() && !term.version.is_none() {
            self.write(term, Vec::new()).await;
        }
    }

    /// Returns the first window that is to be fixed.
    fn first_open(&mut self, term: &Term, now: Moment, closed: WindowNumber) -> WindowNumber {
        let rules = self.meter.rules();
        // Windows that another node knows to be fixed must not be fixed anew, even where the store
        // has lost them.
        let fixed = self.meter.fixed().max(self.ledger.last());
        let may_miss = term.may_miss || (term.was_empty && fixed.is_some());
        let Some(fixed) = fixed.filter(|_| !may_miss) else {
            return self.first_of_term(term, now, fixed);
        };
        let next = fixed + 1;
        let oldest = (closed + 1).saturating_sub(rules.spanned(FLEET_RETENTION));
        if next < oldest {
            self.log_skipped(next, oldest - 1, "no holder for too long");
        }
        next.max(oldest)
    }

    /// Returns the first window to be fixed where the store may miss windows or has none.
    fn first_of_term(
        &mut self,
        term: &Term,
        now: Moment,
        fixed: Option<WindowNumber>,
    ) -> WindowNumber {
        let age = now.saturating_sub(term.began);
        let began = self.meter.time(now).unwrap_or_default();
        let began = began.saturating_sub(age);
        let current = self.meter.rules().window_at(began);
        let Some(fixed) = fixed else {
            // No node has seen a fixed window, so this is the first holder ever.
            let first = self.meter.first_window().filter(|_| term.was_empty);
            return first.map_or(current, |first| first.min(current));
        };
        let first = current.max(fixed + 1);
        if fixed + 1 < first {
            self.log_skipped(fixed + 1, first - 1, "the store was restored");
        }
        first
    }

    fn log_skipped(&mut self, first: WindowNumber, last: WindowNumber, cause: &str) {
        Metrics::count(&self.metrics.windows, "not reported");
        error!(self.log, "usage windows not reported"; "first" => first, "last" => last,
            "cause" => cause);
    }

    /// Writes the object with new windows.
    async fn write(&mut self, term: &Term, new: Vec<FixedWindow>) {
        let after = new.last().map(|window| window.window);
        let open = self.meter.history(after.max(self.ledger.last()));
        let stored = StoredWindows {
            era: self.store.era(),
            windows: self.ledger.with_new(&new),
            open: Some(open).filter(|open| open.len() <= MAX_OPEN_COUNTS),
        };
        let spec = match serde_json::to_value(&stored) {
            Ok(spec) => spec,
            Err(err) => {
                error!(self.log, "usage windows not encoded"; "cause" => %err);
                return;
            }
        };
        let mut object = Object::new(KIND, NAME, spec);
        object.version = term.version;
        let written = if term.version.is_none() {
            self.store.create(&object).await
        } else {
            self.store.update(&object).await
        };
        match written {
            Ok(version) => {
                let is_empty = new.is_empty();
                for window in self.merge(new) {
                    self.log_fixed(window);
                }
                self.update_term(|term| {
                    term.version = version;
                    if !is_empty {
                        (term.may_miss, term.was_empty) = (false, false);
                    }
                });
                (self.written_at, self.is_failing) = ((self.now)(), false);
            }
            Err(StoreError::NotApplied { cause }) => {
                self.record_store_error("write", &StoreError::NotApplied { cause });
            }
            Err(err) => {
                // Whether or not the write took effect, the store shows what is fixed.
                self.update_term(|term| term.must_read = true);
                self.record_store_error("write", &err);
            }
        }
    }

    fn update_term<F>(&mut self, change: F)
    where
        F: FnOnce(&mut Term),
    {
        if let Some(term) = &mut self.term {
            change(term);
        }
    }

    fn log_fixed(&self, window: WindowNumber) {
        let Some(window) = self.ledger.get(window) else {
            return;
        };
        let now = (self.now)();
        let end = self.meter.rules().end(window.window);
        let age = self.meter.time(now).map(|time| time.saturating_sub(end));
        Metrics::count(&self.metrics.windows, "fixed");
        let number = i64::try_from(window.window).unwrap_or(i64::MAX);
        self.metrics.last_window.set(number);
        let requests = i64::try_from(window.requests()).unwrap_or(i64::MAX);
        self.metrics.last_requests.set(requests);
        info!(self.log, "usage window fixed"; "window" => window.window,
            "requests" => window.requests(), "accounts" => window.counts.len(),
            "nodes" => self.meter.nodes(window.window),
            "age_ms" => age.map(|age| age.as_millis() as u64));
    }

    /// Records that the store did not answer as wished, and leaves it alone for a moment.
    fn record_store_error(&mut self, call: &str, err: &StoreError) {
        let wait = match err {
            StoreError::Throttled { wait } => (*wait).max(STORE_RETRY),
            StoreError::Conflict { .. } => Duration::ZERO,
            StoreError::Invalid { .. } => INVALID_RETRY,
            _ => STORE_RETRY,
        };
        self.next_store_call = (self.now)() + wait;
        let is_conflict = matches!(err, StoreError::Conflict { .. });
        if !is_conflict && mem::replace(&mut self.is_failing, true) {
            return;
        }
        warn!(self.log, "usage store call failed"; "call" => call, "cause" => %err,
            "wait_ms" => wait.as_millis() as u64);
    }
}

#[async_trait]
impl Duty for UsageDuty {
    async fn run_due(&mut self, calls: &dyn DutyCalls) {
        if !self.may_act(calls) {
            return;
        }
        self.meter.set_holder(true);
        if !self.read().await || !self.may_act(calls) {
            return;
        }
        self.report_due(calls).await;
        if !self.may_act(calls) {
            return;
        }
        self.fix_due().await;
        let is_known = self.term.as_ref().is_some_and(|term| !term.must_read);
        if is_known && self.may_act(calls) {
            self.report_due(calls).await;
        }
    }

    fn end_term(&mut self) {
        self.term = None;
        self.meter.set_holder(false);
    }
}
