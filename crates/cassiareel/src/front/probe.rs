//! Detection of unresponsive engines before their first token is due.

use std::{net::SocketAddr, time::Duration};

use futures_lite::FutureExt;
use smol::Timer;

use super::generate::MIN_SILENCE;
use crate::backend::{Engine, HttpEngine, StreamError};

/// Pause between probes.
///
/// Together with the timeout, it leaves time for another attempt within three seconds of a loss.
const PROBE_INTERVAL: Duration = Duration::from_millis(600);

/// Probes an engine until it fails to answer.
///
/// An engine may need many seconds for a long prompt before its first token, and its stream then
/// looks like that of a frozen engine. Only a frozen engine fails to answer a query for its load.
pub(super) async fn wait_until_unresponsive(addr: SocketAddr) -> StreamError {
    let engine = HttpEngine::new(addr, MIN_SILENCE);
    loop {
        Timer::after(PROBE_INTERVAL).await;
        let answer = async { engine.load().await.err() };
        let late = async {
            Timer::after(MIN_SILENCE).await;
            let cause = format!("the engine does not say its load within {MIN_SILENCE:?}");
            Some(StreamError::Silent { cause })
        };
        match answer.or(late).await {
            Some(StreamError::Silent { cause }) => return StreamError::Silent { cause },
            Some(StreamError::Lost { cause } | StreamError::NotSent { cause, .. }) => {
                let cause = format!("the engine does not say its load: {cause}");
                return StreamError::Lost { cause };
            }
            // An engine that refuses or answers with an error is not silent.
            _ => {}
        }
    }
}
