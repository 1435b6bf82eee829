//! Checks what a holder reports, for faults of the store at chosen moments.

use std::{
    collections::BTreeMap,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex,
    },
    time::Duration,
};

use async_trait::async_trait;
use cassiareel::store::{Call, Fault, MemoryObjects, Objects};
use slog::{o, Discard, Logger};
use test_case::test_case;

use super::{
    duty::{Duty, DutyCalls},
    target::{DutyError, DutyHolder, ServerOrder, UsageReport},
    usage::UsageDuty,
};
use crate::{
    kernel::usage::WindowRules,
    usage_meter::{MeterSettings, UsageMeter},
    usage_metrics::UsageMetrics,
};

const RULES: WindowRules = WindowRules {
    length: Duration::from_secs(5),
    late: Duration::from_secs(10),
};

/// The true time at which steady clocks show zero: the beginning of window 200.
const BEGIN: Duration = Duration::from_secs(1_000);

/// The requests that were reported, by window.
#[derive(Default)]
struct Reports(Mutex<BTreeMap<u64, Vec<u64>>>);

#[async_trait]
impl DutyCalls for Reports {
    fn holder(&self) -> Option<DutyHolder> {
        Some(DutyHolder {
            name: "a".to_owned(),
            fence: 1,
        })
    }

    async fn report_usage(&self, report: &UsageReport) -> Result<(), DutyError> {
        let mut reports = self.0.lock().unwrap();
        let told = reports.entry(report.window).or_default();
        told.push(report.counts.values().sum());
        Ok(())
    }

    async fn order_servers(&self, _: &ServerOrder) -> Result<(), DutyError> {
        Err(DutyError::Fenced)
    }
}

/// A node that holds the duty and counts its own requests.
struct Holder {
    meter: Arc<UsageMeter>,
    duty: UsageDuty,
    clock: Arc<AtomicU64>,
}

impl Holder {
    fn new(store: &Arc<MemoryObjects>) -> Holder {
        let settings = MeterSettings {
            rules: RULES,
            sends_demand: false,
        };
        let meter = Arc::new(UsageMeter::new(settings, "a", 1));
        let clock = Arc::new(AtomicU64::new(0));
        let source = clock.clone();
        let duty = UsageDuty::new(
            meter.clone(),
            Arc::new(store.clone() as Arc<dyn Objects>),
            Arc::new(move || Duration::from_millis(source.load(Ordering::Relaxed))),
            Logger::root(Discard, o!()),
            UsageMetrics::default(),
        );
        Holder { meter, duty, clock }
    }

    /// Counts `requests` in each second from one to another, without the duty.
    fn count(&mut self, secs: std::ops::Range<u64>, requests: u64) {
        for sec in secs {
            self.count_second(sec, requests);
        }
    }

    /// Does the same, and holds the duty.
    fn run(&mut self, secs: std::ops::Range<u64>, requests: u64, reports: &Reports) {
        for sec in secs {
            self.count_second(sec, requests);
            smol::block_on(self.duty.run_due(reports));
        }
    }

    fn count_second(&mut self, sec: u64, requests: u64) {
        let now = Duration::from_secs(sec);
        self.clock.store(sec * 1_000, Ordering::Relaxed);
        self.meter.observe(now, BEGIN + now);
        (0..requests).for_each(|_| self.meter.count(&"x".into(), now));
        self.meter.advance(now, Some(0));
        if let Some(message) = self.meter.message("a", &[], now) {
            let (reply, _) = self.meter.receive(&message, now);
            self.meter.record_reply("a", reply, now, now);
        }
    }
}

/// Guards against a report whose counts the store does not hold, and against one that differs from what
/// a later holder finds there. The first holder ends right after the window was written.
#[test_case(&[], 5; "written")]
#[test_case(&[(Call::Create, Fault::LoseAnswer), (Call::Get, Fault::Refuse)], 5; "answer lost")]
#[test_case(&[(Call::Create, Fault::LoseCall), (Call::Create, Fault::LoseCall)], 10; "writes lost")]
fn only_what_the_store_holds_is_reported(faults: &[(Call, Fault)], told: u64) {
    let store = Arc::new(MemoryObjects::new(1));
    let reports = Reports::default();
    let mut first = Holder::new(&store);
    first.run(0..5, 1, &reports);
    for (call, fault) in faults {
        store.inject_fault(*call, 0, fault.clone());
    }
    // Window 200 ends at 5 s and is closed at 9 s.
    first.run(5..11, 0, &reports);
    let mut next = Holder::new(&store);
    next.run(0..5, 2, &reports);
    next.run(5..12, 0, &reports);
    let mut all = reports.0.into_inner().unwrap().remove(&200).unwrap();
    all.dedup();
    assert_eq!(all, [told]);
}

/// Guards against a window that is reported again with other counts after a restored store has lost it:
/// the holder writes it again as it was, and one that takes over reports only windows that end later.
#[test_case(false; "same holder")]
#[test_case(true; "another holder")]
fn a_restored_store_changes_no_report(is_replaced: bool) {
    let store = Arc::new(MemoryObjects::new(1));
    let reports = Reports::default();
    let mut holder = Holder::new(&store);
    holder.run(0..10, 1, &reports);
    store.copy();
    holder.run(10..20, 1, &reports);
    store.restore();
    if is_replaced {
        let mut next = Holder::new(&store);
        // It knows all requests, but not what was reported.
        next.count(0..20, 3);
        holder = next;
    }
    holder.run(20..40, 3, &reports);
    let reports = reports.0.into_inner().unwrap();
    assert!(reports
        .values()
        .all(|told| told.windows(2).all(|w| w[0] == w[1])));
    assert!(reports.contains_key(&205));
}
