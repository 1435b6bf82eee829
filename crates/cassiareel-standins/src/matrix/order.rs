//! The matrix of non-idempotent calls.

use std::{net::SocketAddr, sync::Arc, thread, time::Duration};

use cassiareel::{hooks::Step, runtime::within};
use futures_lite::FutureExt;
use serde_json::{json, Value};
use smol::Timer;

use super::{gate::Gate, generation::reach, Cell, Fault, Protocol, Result, Verdict};
use crate::{
    caller::Caller,
    fleet::{Fleet, FleetOptions, CALLER_KEY},
    objects,
    service::{self, Ledger, PlainService},
};

/// Orders to a plain service, each repeated under its key until its outcome is known.
#[derive(Clone, Copy, Debug, Default)]
pub struct Orders;

const INVARIANTS: [&str; 3] = [
    "an order runs at most once, however often and at whatever node it is repeated",
    "\"ran\" is said of an order that ran, and \"not run\" of one that did not",
    "a caller that repeats its order comes to know its outcome, or that it is unknown",
];

const STEPS: [Step; 4] = [
    Step::OrderRecording,
    Step::OrderRecorded,
    Step::OrderAnswered,
    Step::OrderStored,
];

const FAULTS: [Fault; 7] = [
    Fault::NodeKilled,
    Fault::NodePaused,
    Fault::CallerLost,
    Fault::StoreDown,
    Fault::StoreLosesAnswers,
    Fault::ServiceLosesAnswers,
    Fault::ServiceHangs,
];

/// Nodes of a cell's fleet.
const NODES: usize = 3;

/// How often a caller repeats its order.
const CALLER_TRIES: usize = 15;

/// Time before a caller repeats its order.
const CALLER_PAUSE: Duration = Duration::from_millis(100);

/// Time that a caller waits for an answer.
const CALLER_PATIENCE: Duration = Duration::from_secs(3);

/// Time for which store and service are at fault.
const FAULTY: Duration = Duration::from_millis(600);

/// Time for a node that comes back to do what it may not do.
const AFTERMATH: Duration = Duration::from_millis(500);

/// The number of the cell's order in its body.
const NUMBER: &str = "1";

impl Protocol for Orders {
    fn name(&self) -> &'static str {
        "Orders"
    }

    fn invariants(&self) -> &'static [&'static str] {
        &INVARIANTS
    }

    fn steps(&self) -> &'static [Step] {
        &STEPS
    }

    fn faults(&self) -> &'static [Fault] {
        &FAULTS
    }

    fn skip(&self, cell: &Cell) -> Option<&'static str> {
        if cell.has_several(&[Fault::NodeKilled, Fault::NodePaused]) {
            return Some("one node can't be killed and paused at one moment");
        }
        if cell.has_several(&[Fault::StoreDown, Fault::StoreLosesAnswers]) {
            return Some("a store that refuses each call loses no answers");
        }
        if cell.has_several(&[Fault::ServiceLosesAnswers, Fault::ServiceHangs]) {
            return Some("one answer can't be lost and never come");
        }
        None
    }

    fn run(&self, cell: &Cell) -> Result {
        let (gate, key) = Gate::new(cell.step, 1);
        let options = FleetOptions {
            hooks: Arc::new(gate),
            ..FleetOptions::new(1, NODES)
        };
        let ledger = Ledger::default();
        let plain = PlainService::start("orders@v1", &ledger).map_err(|err| err.to_string())?;
        let mut fleet = Fleet::start(&options).map_err(|err| err.to_string())?;
        let tree = tree(&fleet, plain.addr());
        fleet.apply(&tree);
        let addrs: Vec<SocketAddr> = (0..NODES).filter_map(|i| fleet.addr(i)).collect();
        let (cut, lost) = async_channel::bounded::<()>(1);
        let calling = thread::spawn(move || smol::block_on(call(addrs, lost)));
        // The order is stored after its caller was answered at times: only the gate counts.
        reach(&key, || false)?;
        let mut cut = Some(cut);
        inject(&mut fleet, &plain, cell, &mut cut);
        drop(key);
        thread::sleep(FAULTY);
        fleet.objects.set_faults(objects::Faults::default());
        plain.set_faults(service::Faults::default());
        let told = calling
            .join()
            .map_err(|_| "the caller panicked".to_owned())?;
        if let Some(node) = fleet.node(0) {
            node.runtime().resume();
        }
        thread::sleep(AFTERMATH);
        judge(&told, ledger.runs_of_number(NUMBER))
    }
}

/// Settings with a plain service.
fn tree(fleet: &Fleet, service: SocketAddr) -> String {
    let tree = fleet.settings_tree().replace(
        "services = [\"draft\"]",
        "services = [\"draft\", \"orders\"]",
    );
    format!(
        "{tree}[services.orders]\nkind = \"plain\"\nversion = \"v1\"\n\
         [services.orders.policy]\ntime.answer = \"1s\"\n\
         [services.orders.versions.v1.placements.d0]\nservers = [\"{service}\"]\n"
    )
}

/// Brings the cell's faults about.
fn inject(
    fleet: &mut Fleet,
    plain: &PlainService,
    cell: &Cell,
    cut: &mut Option<async_channel::Sender<()>>,
) {
    let mut store = objects::Faults::default();
    let mut service = service::Faults::default();
    for fault in &cell.faults {
        match fault {
            Fault::NodeKilled => fleet.kill_node(0),
            Fault::NodePaused => {
                if let Some(node) = fleet.node(0) {
                    node.runtime().pause();
                }
            }
            Fault::CallerLost => drop(cut.take()),
            Fault::StoreDown => store.outage = Some(objects::Outage::Refuse),
            Fault::StoreLosesAnswers => store.lose_after = 1.0,
            Fault::ServiceLosesAnswers => service.lose_after = 1.0,
            Fault::ServiceHangs => service.hang = 1.0,
            _ => {}
        }
    }
    fleet.objects.set_faults(store);
    plain.set_faults(service);
}

/// What a caller was told last.
#[derive(Debug, Default)]
struct Told {
    outcome: Option<String>,
    body: Value,
}

/// Places the order at the first node, and repeats it at the others in turn until it ran or its
/// outcome stays unknown.
async fn call(addrs: Vec<SocketAddr>, lost: async_channel::Receiver<()>) -> Told {
    let caller = Caller::new(CALLER_KEY);
    let body = json!({"order": NUMBER, "text": "For Ana"}).to_string();
    let mut told = Told::default();
    for i in 0..CALLER_TRIES {
        let addr = addrs[i % addrs.len()];
        let headers = [("idempotency-key", "key-1")];
        let sent = async {
            let sent = caller.post(addr, "/services/orders/engrave", &headers, body.clone());
            let mut res = sent.await.ok()?;
            let outcome = res.header("x-outcome").map(|v| v.as_str().to_owned());
            let bytes = res.body_bytes().await.ok()?;
            let body = serde_json::from_slice(&bytes).unwrap_or_default();
            Some(Told { outcome, body })
        };
        let cut = async {
            match i {
                0 => {
                    let _ = lost.recv().await;
                }
                _ => smol::future::pending().await,
            }
            None
        };
        if let Some(answer) = within(CALLER_PATIENCE, sent.or(cut)).await.flatten() {
            told = answer;
        }
        if told.outcome.as_deref() == Some("ran") {
            return told;
        }
        Timer::after(CALLER_PAUSE).await;
    }
    told
}

/// Checks the last word against the service's ledger.
fn judge(told: &Told, runs: u32) -> Result {
    if runs > 1 {
        return Err(format!("the order ran {runs} times"));
    }
    match (told.outcome.as_deref(), runs) {
        (Some("ran"), 1) => Ok(Verdict::Whole),
        (Some("not_run"), 0) => Ok(Verdict::NotRun),
        (Some("unknown"), _) => Ok(Verdict::Unknown),
        (outcome, _) => Err(format!("told {outcome:?} {} after {runs} runs", told.body)),
    }
}
