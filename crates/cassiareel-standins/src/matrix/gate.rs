//! A hook that holds a driver at a step.

use std::sync::atomic::{AtomicUsize, Ordering};

use cassiareel::{
    hooks::{Hooks, Step},
    wire::BoxFuture,
};

/// Holds the first driver that comes to a step for the `nth` time, until it is told to go on.
#[derive(Debug)]
pub struct Gate {
    step: Step,
    left: AtomicUsize,
    reached: async_channel::Sender<()>,
    go: async_channel::Receiver<()>,
}

/// The other side of a [`Gate`]; dropping it opens the gate.
#[derive(Debug)]
pub struct Key {
    reached: async_channel::Receiver<()>,
    _go: async_channel::Sender<()>,
}

impl Gate {
    /// A gate at the `nth` passing of a step, counted from 1.
    pub fn new(step: Step, nth: usize) -> (Gate, Key) {
        let (reached, was_reached) = async_channel::bounded(1);
        let (go, may_go) = async_channel::bounded(1);
        let gate = Gate {
            step,
            left: AtomicUsize::new(nth),
            reached,
            go: may_go,
        };
        let key = Key {
            reached: was_reached,
            _go: go,
        };
        (gate, key)
    }
}

impl Key {
    /// Waits until a driver stands at the gate.
    pub async fn reached(&self) {
        // An error means that the gate is gone, with every driver that could have come to it.
        let _ = self.reached.recv().await;
    }
}

impl Hooks for Gate {
    fn on_step(&self, step: Step) -> Option<BoxFuture<'static, ()>> {
        let is_here = step == self.step && self.left.load(Ordering::SeqCst) > 0;
        if !is_here || self.left.fetch_sub(1, Ordering::SeqCst) != 1 {
            return None;
        }
        let reached = self.reached.clone();
        let go = self.go.clone();
        Some(Box::pin(async move {
            let _ = reached.try_send(());
            // The key's end of the channel closes when the driver may go on.
            let _ = go.recv().await;
        }))
    }
}
