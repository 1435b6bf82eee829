//! What one node knows of engines.

use std::collections::VecDeque;

use cassiareel_relay::kernel::{RunningRequest, ServiceLoad};

use super::{engine::Engine, stream::Stream};

/// The age of an engine's report, in steps of time.
pub(super) const LAG: usize = 40;

/// What an engine told at one moment.
#[derive(Clone, Debug, Default)]
pub(super) struct Told {
    /// Prompts that were read or waited.
    pub reading: u64,
    /// Streams that it generated for.
    pub writing: u64,
    /// Their memory, in tokens.
    pub used: u64,
    /// Their tokens in memory, and those that were generated.
    pub runs: Vec<RunningRequest>,
}

/// The reports of one engine, the newest last.
#[derive(Clone, Debug, Default)]
pub(super) struct Reports(VecDeque<Told>);

impl Reports {
    /// Takes in the engine's state.
    pub fn note(&mut self, engine: &Engine, streams: &[Stream]) {
        let run = |(stream, tokens): (&usize, &f64)| RunningRequest {
            tokens: *tokens as u64,
            generated: streams[*stream].made as u64,
        };
        self.0.push_back(Told {
            reading: engine.reading.len() as u64,
            writing: engine.writing.len() as u64,
            used: engine.used() as u64,
            runs: engine.tokens.iter().map(run).collect(),
        });
        if self.0.len() > LAG {
            self.0.pop_front();
        }
    }

    /// What a question brings now: the state of a moment ago.
    pub fn read(&self) -> Told {
        self.0.front().cloned().unwrap_or_default()
    }
}

/// A node's own open work at each engine, and what it sees of the load.
#[derive(Debug)]
pub(super) struct Own {
    /// Streams.
    pub open: Vec<u32>,
    /// Prompt tokens that are not read.
    pub unread: Vec<u64>,
    /// How the service bears its load.
    pub load: ServiceLoad,
}

impl Own {
    /// No work at any of `engines`.
    pub fn new(engines: usize) -> Own {
        Own {
            open: vec![0; engines],
            unread: vec![0; engines],
            load: ServiceLoad::default(),
        }
    }
}
