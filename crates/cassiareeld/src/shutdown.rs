//! Signals and the graceful shutdown.

use std::{io, thread, time::Duration};

use async_channel::{Receiver, Sender};
use cassiareel::{node::Node, settings::Scope};
use futures_lite::FutureExt;
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};
use smol::Timer;

/// Passes on the names of signals that stop the daemon.
///
/// # Errors
///
/// Fails when the signals can't be caught.
pub(crate) fn catch_signals() -> io::Result<Receiver<&'static str>> {
    let signals = Signals::new([SIGTERM, SIGINT])?;
    let (sender, receiver) = async_channel::bounded(2);
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || forward_signals(signals, &sender))?;
    Ok(receiver)
}

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

/// The drain time that the settings in force give the node.
pub(crate) fn drain_time(node: &Node) -> Duration {
    let scope = Scope {
        data_centre: Some(&node.options().data_centre),
        ..Scope::default()
    };
    node.settings().policy(&scope).time.drain
}

/// Stops a node: readiness off, a time for the balancer to see it, then the rest of the open
/// requests. A second signal ends the wait.
///
/// Returns how many requests were cut.
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
