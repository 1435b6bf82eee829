//! Orders of the story, which may run at most once.

use std::{net::SocketAddr, time::Duration};

use cassiareel::kernel::ServiceId;
use http_types::Response;
use serde_json::json;
use smol::Timer;

use super::KEY;
use crate::caller::Caller;

/// Times that a caller sends an order before it gives up.
const TRIES: usize = 10;
/// Time before a caller sends an order again.
const PAUSE: Duration = Duration::from_millis(100);

/// What a caller was told of its order in the end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Told {
    /// It ran.
    Ran,
    /// It did not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// Nothing.
    Nothing,
}

/// Sends an order under a key, again and again under the same key until it is known what came of
/// it, as a shop's till would.
pub(super) async fn place(addrs: Vec<SocketAddr>, service: ServiceId, key: String) -> Told {
    let caller = Caller::new(KEY);
    let path = format!("/services/{service}/orders");
    let mut told = Told::Nothing;
    for i in 0..TRIES {
        let addr = addrs[i % addrs.len()];
        let body = json!({"order": key, "text": "For Ana, with thanks"}).to_string();
        let headers = [("idempotency-key", key.as_str())];
        if let Ok(res) = caller.post(addr, &path, &headers, body).await {
            told = outcome(&res);
            if told == Told::Ran {
                return told;
            }
        }
        Timer::after(PAUSE).await;
    }
    told
}

/// Reads what a response says of the order.
fn outcome(res: &Response) -> Told {
    match res.header("x-outcome").map(|value| value.as_str()) {
        Some("ran") => Told::Ran,
        Some("not_run") => Told::NotRun,
        Some("unknown") => Told::Unknown,
        _ => Told::Nothing,
    }
}
