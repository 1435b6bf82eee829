//! The fault matrix of non-idempotent calls.

use std::{net::SocketAddr, sync::Arc, thread, time::Duration};

use cassiareel::{hooks::Step, runtime::within};
use futures_lite::FutureExt;
use serde_json::{json, Value};
use smol::Timer;

use super::{
    breakpoint::Breakpoint, generation::wait_for_step, Cell, Fault, Protocol, Result, Verdict,
};
use crate::{
    caller::Caller,
    fleet::{Fleet, FleetOptions, CALLER_KEY},
    objects,
    service::{self, Ledger, PlainService},
};

/// Orders to a plain service, each repeated with its idempotency key until its outcome is known.
#[derive(Clone, Copy, Debug, Default)]
pub struct Orders;

const INVARIANTS: [&str; 3] = [
    "an order runs at most once, however often and at whichever node it is repeated",
    "\"ran\" is reported only for an order that ran, and \"not run\" only for one that did not",
    "a caller that repeats its order learns its outcome, or that the outcome is unknown",
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

/// Number of nodes in a cell's fleet.
const NODES: usize = 3;

/// Number of times that a caller sends its order before it gives up.
const MAX_CALLS: usize = 15;

/// Delay before a caller repeats its order.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time that a caller waits for the answer of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for which the faults of the store and the service last.
const FAULT_DURATION: Duration = Duration::from_millis(600);

/// Time in which a resumed node could run the order a second time, before the ledger is checked.
const RESUMED_NODE_WAIT: Duration = Duration::from_millis(500);

/// The order number in the body of the cell's order.
const ORDER_NUMBER: &str = "1";

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

    fn skip_reason(&self, cell: &Cell) -> Option<&'static str> {
        if cell.has_several(&[Fault::NodeKilled, Fault::NodePaused]) {
            return Some("one node can't be killed and paused at the same time");
        }
        if cell.has_several(&[Fault::StoreDown, Fault::StoreLosesAnswers]) {
            return Some(
                "a store that refuses every call applies no write whose answer could be lost",
            );
        }
        if cell.has_several(&[Fault::ServiceLosesAnswers, Fault::ServiceHangs]) {
            return Some("an answer that is never sent can't be lost");
        }
        None
    }

    fn run(&self, cell: &Cell) -> Result {
        let (breakpoint, handle) = Breakpoint::new(cell.step, 1);
        let options = FleetOptions {
            hooks: Arc::new(breakpoint),
            ..FleetOptions::new(1, NODES)
        };
        let ledger = Ledger::default();
        let plain_service =
            PlainService::start("orders@v1", &ledger).map_err(|err| err.to_string())?;
        let mut fleet = Fleet::start(&options).map_err(|err| err.to_string())?;
        let tree = tree(&fleet, plain_service.addr());
        fleet.apply(&tree);
        let addrs: Vec<SocketAddr> = (0..NODES).filter_map(|i| fleet.addr(i)).collect();
        let (disconnect, disconnected) = async_channel::bounded::<()>(1);
        let calling = thread::spawn(move || smol::block_on(call(addrs, disconnected)));
        // The order's outcome may be stored after its caller was answered, so that only the
        // breakpoint ends the wait.
        wait_for_step(&handle, || false)?;
        let mut disconnect = Some(disconnect);
        inject_faults(&mut fleet, &plain_service, cell, &mut disconnect);
        drop(handle);
        thread::sleep(FAULT_DURATION);
        fleet.objects.set_faults(objects::Faults::default());
        plain_service.set_faults(service::Faults::default());
        let answer = calling
            .join()
            .map_err(|_| "the caller panicked".to_owned())?;
        if let Some(node) = fleet.node(0) {
            node.runtime().resume();
        }
        thread::sleep(RESUMED_NODE_WAIT);
        check_outcome(&answer, ledger.runs_of_number(ORDER_NUMBER))
    }
}

/// Returns settings with a plain service.
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

/// Injects the cell's faults.
fn inject_faults(
    fleet: &mut Fleet,
    plain_service: &PlainService,
    cell: &Cell,
    disconnect: &mut Option<async_channel::Sender<()>>,
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
            Fault::CallerLost => drop(disconnect.take()),
            Fault::StoreDown => store.outage = Some(objects::Outage::Refuse),
            Fault::StoreLosesAnswers => store.lose_after = 1.0,
            Fault::ServiceLosesAnswers => service.lose_after = 1.0,
            Fault::ServiceHangs => service.hang = 1.0,
            _ => {}
        }
    }
    fleet.objects.set_faults(store);
    plain_service.set_faults(service);
}

/// The last answer that a caller received.
#[derive(Debug, Default)]
struct LastAnswer {
    outcome: Option<String>,
    body: Value,
}

/// Sends the order to the first node, and repeats it at the next nodes in turn until it is reported
/// to have run or [`MAX_CALLS`] is reached. The first call is cut off when the channel
/// `disconnected` is closed.
async fn call(addrs: Vec<SocketAddr>, disconnected: async_channel::Receiver<()>) -> LastAnswer {
    let caller = Caller::new(CALLER_KEY);
    let body = json!({"order": ORDER_NUMBER, "text": "For Ana"}).to_string();
    let mut answer = LastAnswer::default();
    for i in 0..MAX_CALLS {
        let addr = addrs[i % addrs.len()];
        let headers = [("idempotency-key", "key-1")];
        let sent = async {
            let sent = caller.post(addr, "/services/orders/engrave", &headers, body.clone());
            let mut res = sent.await.ok()?;
            let outcome = res.header("x-outcome").map(|v| v.as_str().to_owned());
            let bytes = res.body_bytes().await.ok()?;
            let body = serde_json::from_slice(&bytes).unwrap_or_default();
            Some(LastAnswer { outcome, body })
        };
        let disconnect = async {
            match i {
                0 => {
                    let _ = disconnected.recv().await;
                }
                _ => smol::future::pending().await,
            }
            None
        };
        if let Some(received) = within(CALL_TIMEOUT, sent.or(disconnect)).await.flatten() {
            answer = received;
        }
        if answer.outcome.as_deref() == Some("ran") {
            return answer;
        }
        Timer::after(RETRY_DELAY).await;
    }
    answer
}

/// Checks the last answer against the service's ledger.
fn check_outcome(answer: &LastAnswer, runs: u32) -> Result {
    if runs > 1 {
        return Err(format!("the order ran {runs} times"));
    }
    match (answer.outcome.as_deref(), runs) {
        (Some("ran"), 1) => Ok(Verdict::Complete),
        (Some("not_run"), 0) => Ok(Verdict::NotRun),
        (Some("unknown"), _) => Ok(Verdict::Unknown),
        (outcome, _) => Err(format!(
            "the caller was told {outcome:?} {} after {runs} runs",
            answer.body
        )),
    }
}
