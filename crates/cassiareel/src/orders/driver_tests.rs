//! Tests of orders with an in-memory store and a service with scripted answers.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use slog::{o, Discard, Logger};
use test_case::test_case;

use super::{recent::RestoreTimes, OrderClient, Orders, Request, SendResult, SettleError, KIND};
use crate::{
    hooks::NoHooks,
    kernel::order::{EarlierCalls, Limits, Outcome, QueryResult, Reply, Verdict},
    observe::Metrics,
    runtime::Runtime,
    store::{Call, Fault, MemoryObjects, Objects},
    wire::BoxFuture,
};

const LIMITS: Limits = Limits {
    claim_timeout: Duration::from_secs(10),
    answer_timeout: Duration::from_secs(10),
    query_timeout: Duration::from_secs(10),
    retry_delay: Duration::from_millis(1),
    max_sends: 2,
};

const RESTORE_TIMES: RestoreTimes = RestoreTimes {
    memory: Duration::from_secs(3600),
    check: Duration::from_millis(10),
    settling: Duration::from_secs(2),
};

fn outcome() -> Outcome {
    Outcome {
        status: 200,
        mime: "text/plain".to_owned(),
        body: b"engraved".to_vec(),
    }
}

/// A service that answers each send with the next scripted result and counts the orders that it ran.
#[derive(Clone)]
struct Service {
    results: Arc<Mutex<Vec<SendResult>>>,
    query_result: QueryResult,
    sends: Arc<Mutex<u32>>,
}

impl Service {
    fn new(results: &[SendResult], query_result: QueryResult) -> Service {
        Service {
            results: Arc::new(Mutex::new(results.to_vec())),
            query_result,
            sends: Arc::default(),
        }
    }
}

impl OrderClient for Service {
    fn send(&self, _name: &str) -> BoxFuture<'static, SendResult> {
        let mut results = self.results.lock().expect("the lock is not poisoned");
        let next = if results.is_empty() {
            SendResult::Answered(outcome())
        } else {
            results.remove(0)
        };
        if next != SendResult::NotSent {
            *self.sends.lock().expect("the lock is not poisoned") += 1;
        }
        Box::pin(async { next })
    }

    fn query(&self, _name: &str) -> BoxFuture<'static, QueryResult> {
        let query_result = self.query_result.clone();
        Box::pin(async { query_result })
    }
}

/// Two nodes that share one store.
struct TestBed {
    store: Arc<MemoryObjects>,
    nodes: [Orders; 2],
    _runtime: Runtime,
}

impl TestBed {
    fn new() -> TestBed {
        let runtime = Runtime::new("orders", 1);
        let store = Arc::new(MemoryObjects::new(1));
        let node = || {
            Orders::with_restore_times(
                store.clone(),
                runtime.spawner(),
                Arc::new(NoHooks),
                Arc::new(Metrics::none()),
                RESTORE_TIMES,
                Logger::root(Discard, o!()),
            )
        };
        TestBed {
            nodes: [node(), node()],
            store,
            _runtime: runtime,
        }
    }

    /// Waits until the only record is in a state.
    fn wait_for_record(&self, state: &str) {
        let in_state = async || {
            let listing = self.store.list(KIND).await.expect("the store is available");
            listing.objects.iter().any(|o| o.spec["state"] == state)
        };
        smol::block_on(async {
            while !in_state().await {
                smol::Timer::after(LIMITS.retry_delay).await;
            }
        });
    }

    fn call(&self, node: usize, digest: &str, service: &Service) -> Reply {
        let request = Request {
            account: "zrinski".into(),
            caller: "shop".into(),
            service: "orders".into(),
            key: "gift-set-81".into(),
            digest: digest.into(),
        };
        let log = Logger::root(Discard, o!());
        let courier = Arc::new(service.clone());
        smol::block_on(self.nodes[node].call(request, LIMITS, courier, log))
            .expect("the node does not stop")
    }
}

fn ran(repeat: bool) -> Reply {
    Reply::Outcome {
        outcome: outcome(),
        repeat,
    }
}

const NOT_RUN: Reply = Reply::NotRun {
    earlier: EarlierCalls::NotRun,
};

struct Case {
    store: Vec<(Call, usize, Fault)>,
    service: Service,
    replies: Vec<Reply>,
    sends: u32,
}

fn plain() -> Service {
    Service::new(&[], QueryResult::Inconclusive)
}

#[test_case(&Case { store: vec![], service: plain(), replies: vec![ran(false), ran(true)], sends: 1 }; "no fault")]
#[test_case(&Case { store: vec![(Call::Create, 0, Fault::LoseAnswer)], service: plain(), replies: vec![ran(false), ran(true)], sends: 1 }; "answer of the claim lost")]
#[test_case(&Case { store: vec![(Call::Create, 0, Fault::LoseCall)], service: plain(), replies: vec![ran(false), ran(true)], sends: 1 }; "claim lost")]
#[test_case(&Case { store: vec![(Call::Create, 0, Fault::Refuse)], service: plain(), replies: vec![Reply::NotRun { earlier: EarlierCalls::MayHaveRun }, ran(false), ran(true)], sends: 1 }; "store down at the claim")]
#[test_case(&Case { store: vec![(Call::Update, 0, Fault::LoseAnswer)], service: plain(), replies: vec![ran(false), ran(true)], sends: 1 }; "answer of the outcome lost")]
#[test_case(&Case { store: vec![], service: Service::new(&[SendResult::NotSent], QueryResult::Inconclusive), replies: vec![ran(false), ran(true)], sends: 1 }; "one server refuses")]
#[test_case(&Case { store: vec![], service: Service::new(&[SendResult::NotSent, SendResult::NotSent], QueryResult::Inconclusive), replies: vec![NOT_RUN, ran(false), ran(true)], sends: 1 }; "every server refuses, a repeat runs")]
#[test_case(&Case { store: vec![], service: Service::new(&[SendResult::Lost], QueryResult::Ran(outcome())), replies: vec![ran(false), ran(true)], sends: 1 }; "answer lost, service knows")]
#[test_case(&Case { store: vec![], service: Service::new(&[SendResult::Lost], QueryResult::Inconclusive), replies: vec![Reply::Unknown, Reply::Unknown], sends: 1 }; "answer lost, service does not know")]
#[test_case(&Case { store: vec![], service: Service::new(&[SendResult::Lost], QueryResult::Blocked), replies: vec![NOT_RUN, ran(false)], sends: 2 }; "answer lost, service blocks the attempt")]
fn order_runs_at_most_once_and_reply_is_correct_after_each_fault(case: &Case) {
    let test_bed = TestBed::new();
    for (call, skip, fault) in &case.store {
        test_bed.store.inject_fault(*call, *skip, fault.clone());
    }
    for (i, reply) in case.replies.iter().enumerate() {
        // An earlier call may still be writing its record, so this repeats until the record says that
        // the order is no longer in progress.
        let mut got = test_bed.call(i % 2, "d", &case.service);
        while got == Reply::InProgress {
            got = test_bed.call(i % 2, "d", &case.service);
        }
        assert_eq!(got, *reply, "reply {i}");
    }
    assert_eq!(
        *case.service.sends.lock().expect("the lock is not poisoned"),
        case.sends
    );
}

#[test]
fn key_reuse_with_another_body_is_rejected() {
    let test_bed = TestBed::new();
    assert_eq!(test_bed.call(0, "d", &plain()), ran(false));
    let other = plain();
    assert_eq!(test_bed.call(1, "e", &other), Reply::KeyReused);
    assert_eq!(*other.sends.lock().expect("the lock is not poisoned"), 0);
}

#[test]
fn operators_list_and_settle_unknown_orders() {
    let test_bed = TestBed::new();
    let service = Service::new(&[SendResult::Lost], QueryResult::Inconclusive);
    assert_eq!(test_bed.call(0, "d", &service), Reply::Unknown);
    // The record says unknown or claimed by now; both states are open.
    let open = smol::block_on(test_bed.nodes[1].list_open()).expect("the store is available");
    assert_eq!(open.len(), 1);
    let settle = |wait| {
        let name = &open[0].name;
        smol::block_on(test_bed.nodes[1].settle(name, Verdict::NotRun, wait))
    };
    let young = settle(Duration::from_secs(3600));
    assert!(
        matches!(young, Err(SettleError::TooRecent { .. })),
        "{young:?}"
    );
    while let Err(err) = settle(Duration::ZERO) {
        // The first call may still be writing that the outcome is unknown.
        assert!(matches!(err, SettleError::Store { .. }), "{err}");
    }
    assert_eq!(test_bed.call(0, "d", &service), Reply::SettledNotRun);
    assert!(matches!(
        settle(Duration::ZERO),
        Err(SettleError::NotOpen { .. })
    ));
    assert_eq!(*service.sends.lock().expect("the lock is not poisoned"), 1);
}

/// The reply to a call whose key may belong to a lost record.
const UNREAD: Reply = Reply::NotRun {
    earlier: EarlierCalls::MayHaveRun,
};

/// What the copy has of the key, and how the first call in the lost seconds ends.
struct LostRecord {
    /// The results of a call before the copy; no call if empty.
    before: &'static [SendResult],
    service: Service,
    /// The state of the lost record.
    state: &'static str,
    /// The node of the repeat.
    node: usize,
    reply: Reply,
}

#[test_case(&LostRecord { before: &[], service: plain(), state: "done", node: 0, reply: ran(true) }; "at the same node")]
#[test_case(&LostRecord { before: &[], service: plain(), state: "done", node: 1, reply: ran(true) }; "at another node")]
#[test_case(&LostRecord { before: &[SendResult::NotSent, SendResult::NotSent], service: plain(), state: "done", node: 1, reply: ran(true) }; "the copy says not run")]
#[test_case(&LostRecord { before: &[], service: Service::new(&[SendResult::Lost], QueryResult::Inconclusive), state: "unknown", node: 1, reply: Reply::Unknown }; "the outcome is unknown")]
fn a_repeat_runs_nothing_though_the_record_is_lost(case: &LostRecord) {
    let test_bed = TestBed::new();
    if !case.before.is_empty() {
        let before = Service::new(case.before, QueryResult::Inconclusive);
        assert_eq!(test_bed.call(0, "d", &before), NOT_RUN);
        test_bed.wait_for_record("not_run");
    }
    test_bed.store.copy();
    test_bed.call(0, "d", &case.service);
    test_bed.wait_for_record(case.state);
    test_bed.store.restore();
    let mut reply = test_bed.call(case.node, "d", &case.service);
    while [UNREAD, Reply::InProgress].contains(&reply) {
        reply = test_bed.call(case.node, "d", &case.service);
    }
    assert_eq!(
        *case.service.sends.lock().expect("the lock is not poisoned"),
        1
    );
    assert_eq!(reply, case.reply);
}
