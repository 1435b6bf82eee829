//! Engines that do not answer any more, found before their first token is due.

use std::{net::SocketAddr, time::Duration};

use futures_lite::FutureExt;
use smol::Timer;

use crate::backend::{Engine, HttpEngine, StreamError};

/// Time between questions.
const PROBE_INTERVAL: Duration = Duration::from_millis(800);

/// Time for an engine to answer a question; with the pause it leaves room for another attempt
/// within three seconds of a loss.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1000);

/// Waits until an engine does not answer.
///
/// A long prompt may take an engine many seconds before its first token, and a frozen engine looks
/// the same on the stream; only the frozen one leaves the question for its load open.
pub(super) async fn wait_until_unresponsive(addr: SocketAddr) -> StreamError {
    let engine = HttpEngine::new(addr, PROBE_TIMEOUT);
    loop {
        Timer::after(PROBE_INTERVAL).await;
        let answer = async {
            let load = engine.load().await;
            !matches!(
                load,
                Err(StreamError::Lost { .. } | StreamError::NotSent { .. })
            )
        };
        let late = async {
            Timer::after(PROBE_TIMEOUT).await;
            false
        };
        if !answer.or(late).await {
            return StreamError::Lost {
                cause: format!("the engine does not say its load within {PROBE_TIMEOUT:?}"),
            };
        }
    }
}
