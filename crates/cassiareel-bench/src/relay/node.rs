//! What one node knows of engines.

use std::collections::VecDeque;

use super::engine::Engine;

/// The age of an engine's report, in steps of time.
pub(super) const LAG: usize = 40;

/// What an engine told at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Told {
    /// Prompts that were read or waited.
    pub reading: u64,
    /// Streams that it generated for.
    pub writing: u64,
}

/// The reports of one engine, the newest last.
#[derive(Clone, Debug, Default)]
pub(super) struct Reports(VecDeque<Told>);

impl Reports {
    /// Takes in the engine's state.
    pub fn note(&mut self, engine: &Engine) {
        self.0.push_back(Told {
            reading: engine.reading.len() as u64,
            writing: engine.writing.len() as u64,
        });
        if self.0.len() > LAG {
            self.0.pop_front();
        }
    }

    /// What a question brings now: the state of a moment ago.
    pub fn read(&self) -> Told {
        self.0.front().copied().unwrap_or_default()
    }
}

/// A node's own open work at each engine.
#[derive(Clone, Debug)]
pub(super) struct Own {
    /// Streams.
    pub open: Vec<u32>,
    /// Prompt tokens that are not read.
    pub unread: Vec<u64>,
}

impl Own {
    /// No work at any of `engines`.
    pub fn new(engines: usize) -> Own {
        Own {
            open: vec![0; engines],
            unread: vec![0; engines],
        }
    }
}
