//! Detection of unresponsive engines before their first token is due.

use std::{net::SocketAddr, time::Duration};

use futures_lite::FutureExt;
use smol::Timer;

use crate::backend::{Engine, HttpEngine, StreamError};

/// Pause between probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(800);

/// Time for an engine to answer a probe.
///
/// Together with the pause, it leaves time for another attempt within three seconds of a loss.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1000);

/// Probes an engine until it fails to answer.
///
/// An engine may need many seconds for a long prompt before its first token, and its stream then
/// looks like that of a frozen engine. Only a frozen engine fails to answer a query for its load.
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
