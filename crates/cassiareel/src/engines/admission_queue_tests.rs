//! Requests wait for capacity in turn, and are answered at once when they are refused.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures_lite::FutureExt;

use super::{
    AdmissionQueue, Assignment, BackendTable, Options, Placement, QueuedRequest, SubsetConfig,
};
use crate::{
    backend::LoadReport,
    kernel::{
        admission::{QueueLimits, Refusal, Requester},
        routing::RoutingRequest,
    },
    runtime::Runtime,
};

/// Returns a queue for one engine with capacity for one request of [`queued_request`].
fn build_queue(runtime: &Runtime) -> AdmissionQueue {
    let table = BackendTable::new(Options::default()).expect("the default policy is registered");
    let placement = Placement {
        pool: "draft@v1".into(),
        model: true,
        servers: vec![("e1".into(), "d1".into())],
    };
    let subset = SubsetConfig {
        nodes: vec!["n0".into()],
        local: "n0".into(),
        size: 64,
    };
    table.update(&[placement], &subset);
    let report = LoadReport {
        total_tokens: 1_000,
        ..LoadReport::default()
    };
    table.on_load(Duration::ZERO, "e1", &report);
    let (queue, queue_task) =
        AdmissionQueue::new(Arc::new(table), Instant::now(), QueueLimits::default());
    runtime.spawn(queue_task).detach();
    queue
}

fn queued_request(account: &str, deadline: Duration) -> QueuedRequest {
    QueuedRequest {
        pool: "draft@v1".into(),
        route: "/v1/completions".into(),
        routing: RoutingRequest {
            prompt_tokens: 300,
            output_tokens: 300,
            idempotent: true,
            ..RoutingRequest::default()
        },
        requester: Requester {
            account: account.into(),
            caller: "c".into(),
            account_weight: 1.0,
            caller_weight: 1.0,
        },
        priority: 0,
        deadline,
    }
}

/// Timeout after which a test has failed.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

async fn within(
    wait: impl std::future::Future<Output = Result<Assignment, Refusal>>,
) -> Result<Assignment, Refusal> {
    let late = async {
        smol::Timer::after(TEST_TIMEOUT).await;
        panic!("no answer from the queue");
    };
    wait.or(late).await
}

#[test]
fn a_request_gets_the_capacity_that_another_releases() {
    let runtime = Runtime::new("gate", 1);
    let queue = build_queue(&runtime);
    smol::block_on(async {
        let (_, first) = within(queue.acquire(queued_request("a", TEST_TIMEOUT)))
            .await
            .expect("capacity for one");
        let waits = queue.acquire(queued_request("b", TEST_TIMEOUT));
        let leaves = async {
            while queue.waiting() == 0 {
                smol::Timer::after(Duration::from_millis(1)).await;
            }
            drop(first);
            std::future::pending().await
        };
        let (decision, reservation) = within(waits.or(leaves))
            .await
            .expect("the capacity is free again");
        assert_eq!(decision.chosen.as_deref(), Some("e1"));
        drop(reservation);
        assert_eq!(queue.waiting(), 0);
    });
}

#[test]
fn an_expired_request_is_refused_at_once() {
    let runtime = Runtime::new("gate", 1);
    let queue = build_queue(&runtime);
    smol::block_on(async {
        let _first = within(queue.acquire(queued_request("a", TEST_TIMEOUT)))
            .await
            .expect("capacity for one");
        let refusal = within(queue.acquire(queued_request("b", Duration::from_millis(50)))).await;
        assert!(
            matches!(refusal, Err(Refusal::Expired(_) | Refusal::Late(_))),
            "{refusal:?}"
        );
        assert_eq!(queue.waiting(), 0);
    });
}

#[test]
fn a_disconnected_caller_leaves_no_request_in_the_queue() {
    let runtime = Runtime::new("gate", 1);
    let queue = build_queue(&runtime);
    smol::block_on(async {
        let (_, first) = within(queue.acquire(queued_request("a", TEST_TIMEOUT)))
            .await
            .expect("capacity for one");
        let leaves = async {
            while queue.waiting() == 0 {
                smol::Timer::after(Duration::from_millis(1)).await;
            }
            Err(Refusal::Full(TEST_TIMEOUT))
        };
        let disconnected = queue
            .acquire(queued_request("b", TEST_TIMEOUT))
            .or(leaves)
            .await;
        assert!(disconnected.is_err());
        drop(first);
        let placed = within(queue.acquire(queued_request("c", TEST_TIMEOUT))).await;
        assert!(
            placed.is_ok(),
            "the reservation went to a disconnected caller"
        );
    });
}

#[test]
fn a_version_without_servers_is_refused_at_once() {
    let runtime = Runtime::new("gate", 1);
    let queue = build_queue(&runtime);
    let mut other = queued_request("a", TEST_TIMEOUT);
    other.pool = "other@v1".into();
    assert!(smol::block_on(within(queue.acquire(other))).is_err());
}
