//! A server that runs a fixed number of requests at once, queues some and rejects the rest.

use std::collections::VecDeque;

use cassiareel_relay::protocol::Load;

/// A server of a plain service.
#[derive(Clone, Debug, Default)]
pub(super) struct Server {
    /// Requests that run.
    pub running: usize,
    /// Requests that wait, the oldest first.
    pub waiting: VecDeque<usize>,
}

impl Server {
    /// Returns the load that the server reports now.
    pub fn load(&self, slots: usize) -> Load {
        Load {
            running: self.running as u32,
            waiting: self.waiting.len() as u32,
            slots: slots as u32,
            work_percent: None,
        }
    }
}
