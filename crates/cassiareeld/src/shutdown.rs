//! Signal handling and graceful shutdown.

use std::{io, thread, time::Duration};

use async_channel::{Receiver, Sender};
use cassiareel::{node::Node, settings::Scope};
use futures_lite::FutureExt;
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};
use smol::Timer;

/// Starts a thread that catches SIGTERM and SIGINT and sends their names to the returned channel.
///
/// # Errors
///
/// Fails if the signals can't be caught or the thread can't be started.
pub(crate) fn catch_signals() -> io::Result<Receiver<&'static str>> {
    let signals = Signals::new([SIGTERM, SIGINT])?;
    let (sender, receiver) = async_channel::bounded(2);
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || forward_signals(signals, &sender))?;
    Ok(receiver)
}

/// Sends the names of signals to a channel until its receiver is dropped.
fn forward_signals(mut signals: Signals, sender: &Sender<&'static str>) {
    for signal in signals.forever() {
        let name = match signal {
            SIGTERM => "SIGTERM",
            _ => "SIGINT",
        };
        if sender.send_blocking(name).is_err() {
            return;
        }
    }
}

/// Returns the drain time of the node in the settings in force.
pub(crate) fn drain_time(node: &Node) -> Duration {
    let scope = Scope {
        data_centre: Some(&node.options().data_centre),
        ..Scope::default()
    };
    node.settings().policy(&scope).time.drain
}

/// Stops a node and returns the number of requests that were cut.
///
/// Readiness is turned off first. New connections are accepted for the grace time, so that the load
/// balancer can notice it; then open requests have the drain time to finish. A further signal in
/// either phase cuts the open requests at once.
pub(crate) async fn shut_down(
    node: &mut Node,
    grace: Duration,
    drain: Duration,
    signals: &Receiver<&'static str>,
) -> usize {
    node.begin_leaving();
    let grace_over = async {
        Timer::after(grace).await;
        true
    };
    let second_signal = async {
        let _ = signals.recv().await;
        false
    };
    let waited = grace_over.or(second_signal).await;
    let limit = if waited { drain } else { Duration::ZERO };
    let interrupted = async {
        let _ = signals.recv().await;
        None
    };
    let drained = async { Some(node.stop(limit).await) };
    match drained.or(interrupted).await {
        Some(cut) => cut,
        None => node.stop(Duration::ZERO).await,
    }
}
