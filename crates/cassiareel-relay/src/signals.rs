//! The signals that a node handles.

use std::{io, thread};

use async_channel::{Receiver, Sender};
use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    iterator::Signals,
};

/// What a signal requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Signal {
    /// Finish what is open, then exit.
    Stop,
    /// Read the settings file again.
    Reload,
}

/// Receives signals on a thread of its own, and forwards them.
///
/// # Errors
///
/// Fails when the signals can't be caught.
pub(crate) fn listen() -> io::Result<Receiver<Signal>> {
    let signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let (sender, receiver) = async_channel::bounded(8);
    thread::Builder::new()
        .name("signals".to_owned())
        .stack_size(64 << 10)
        .spawn(move || forward(signals, &sender))?;
    Ok(receiver)
}

fn forward(mut signals: Signals, sender: &Sender<Signal>) {
    for signal in signals.forever() {
        let signal = match signal {
            SIGHUP => Signal::Reload,
            _ => Signal::Stop,
        };
        if sender.send_blocking(signal).is_err() {
            return;
        }
    }
}
