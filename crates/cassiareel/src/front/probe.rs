//! Engines that do not answer any more, found before their first token is due.

use std::{net::SocketAddr, time::Duration};

use futures_lite::FutureExt;
use smol::Timer;

use crate::backend::{Engine, HttpEngine, StreamError};

/// Time between questions.
const PAUSE: Duration = Duration::from_millis(800);

/// Time for an engine to answer a question; with the pause it leaves room for another attempt
/// within three seconds of a loss.
const ANSWER: Duration = Duration::from_millis(1000);

/// Waits until an engine does not answer.
///
/// A long prompt may take an engine many seconds before its first token, and a frozen engine looks
/// the same on the stream; only the frozen one leaves the question for its load open.
pub(super) async fn until_silent(addr: SocketAddr) -> StreamError {
    let engine = HttpEngine::new(addr, ANSWER);
    loop {
        Timer::after(PAUSE).await;
        let answer = async {
            let asked = engine.load().await;
            !matches!(
                asked,
                Err(StreamError::Lost { .. } | StreamError::NotSent { .. })
            )
        };
        let late = async {
            Timer::after(ANSWER).await;
            false
        };
        if !answer.or(late).await {
            return StreamError::Lost {
                cause: format!("the engine does not say its load within {ANSWER:?}"),
            };
        }
    }
}
