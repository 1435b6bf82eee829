//! A hook that stops a request's task at a step.

use std::sync::atomic::{AtomicUsize, Ordering};

use cassiareel::{
    hooks::{Hooks, Step},
    wire::BoxFuture,
};

/// Stops the first task that reaches a step for the `nth` time, until its handle is dropped.
#[derive(Debug)]
pub struct Breakpoint {
    step: Step,
    remaining: AtomicUsize,
    hit: async_channel::Sender<()>,
    resumed: async_channel::Receiver<()>,
}

/// The handle of a [`Breakpoint`]; dropping it lets the stopped task continue.
#[derive(Debug)]
pub struct BreakpointHandle {
    hit: async_channel::Receiver<()>,
    _resume: async_channel::Sender<()>,
}

impl Breakpoint {
    /// Creates a breakpoint for the `nth` time that a step is reached, counted from 1.
    pub fn new(step: Step, nth: usize) -> (Breakpoint, BreakpointHandle) {
        let (hit, was_hit) = async_channel::bounded(1);
        let (resume, resumed) = async_channel::bounded(1);
        let breakpoint = Breakpoint {
            step,
            remaining: AtomicUsize::new(nth),
            hit,
            resumed,
        };
        let handle = BreakpointHandle {
            hit: was_hit,
            _resume: resume,
        };
        (breakpoint, handle)
    }
}

impl BreakpointHandle {
    /// Waits until a task has stopped at the breakpoint.
    pub async fn wait_until_hit(&self) {
        // An error means that the breakpoint was dropped, with every task that could have hit it.
        let _ = self.hit.recv().await;
    }
}

impl Hooks for Breakpoint {
    fn on_step(&self, step: Step) -> Option<BoxFuture<'static, ()>> {
        let is_here = step == self.step && self.remaining.load(Ordering::SeqCst) > 0;
        if !is_here || self.remaining.fetch_sub(1, Ordering::SeqCst) != 1 {
            return None;
        }
        let hit = self.hit.clone();
        let resumed = self.resumed.clone();
        Some(Box::pin(async move {
            let _ = hit.try_send(());
            // The channel closes when the handle is dropped.
            let _ = resumed.recv().await;
        }))
    }
}
