//! The scenario's orders, which may run at most once.

use std::{net::SocketAddr, time::Duration};

use cassiareel::kernel::ServiceId;
use http_types::Response;
use serde_json::json;
use smol::Timer;

use super::KEY;
use crate::caller::Caller;

/// Number of times that a caller sends an order before it gives up.
const MAX_SENDS: usize = 10;
/// Delay before a caller sends an order again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The last outcome of an order that its caller received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum OrderOutcome {
    /// The order ran.
    Ran,
    /// The order did not run.
    NotRun,
    /// The order may have run.
    Unknown,
    /// No answer that states an outcome was received.
    NoAnswer,
}

/// Sends an order and repeats it with the same idempotency key until it is reported to have run or
/// [`MAX_SENDS`] is reached. Returns the last outcome received.
pub(super) async fn send_order(
    addrs: Vec<SocketAddr>,
    service: ServiceId,
    key: String,
) -> OrderOutcome {
    let caller = Caller::new(KEY);
    let path = format!("/services/{service}/orders");
    let mut outcome = OrderOutcome::NoAnswer;
    for i in 0..MAX_SENDS {
        let addr = addrs[i % addrs.len()];
        let body = json!({"order": key, "text": "For Ana, with thanks"}).to_string();
        let headers = [("idempotency-key", key.as_str())];
        if let Ok(res) = caller.post(addr, &path, &headers, body).await {
            outcome = read_outcome(&res);
            if outcome == OrderOutcome::Ran {
                return outcome;
            }
        }
        Timer::after(RETRY_DELAY).await;
    }
    outcome
}

/// Reads the order's outcome from a response's header.
fn read_outcome(res: &Response) -> OrderOutcome {
    match res.header("x-outcome").map(|value| value.as_str()) {
        Some("ran") => OrderOutcome::Ran,
        Some("not_run") => OrderOutcome::NotRun,
        Some("unknown") => OrderOutcome::Unknown,
        _ => OrderOutcome::NoAnswer,
    }
}
