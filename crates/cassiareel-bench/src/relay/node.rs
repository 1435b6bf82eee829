//! What one node knows of engines.

use std::collections::VecDeque;

use cassiareel_relay::kernel::{RunningRequest, ServiceLoad};

use super::{engine::Engine, stream::Stream};

/// The age of an engine's report, in steps of time.
pub(super) const LAG_STEPS: usize = 40;

/// What an engine told at one moment.
#[derive(Clone, Debug, Default)]
pub(super) struct EngineSnapshot {
    /// Prompts that were read or waited.
    pub prefilling: u64,
    /// Streams that it generated for.
    pub generating: u64,
    /// Their memory, in tokens.
    pub used: u64,
    /// Their tokens in memory, and those that were generated.
    pub runs: Vec<RunningRequest>,
}

/// The reports of one engine, the newest last.
#[derive(Clone, Debug, Default)]
pub(super) struct Reports(VecDeque<EngineSnapshot>);

impl Reports {
    /// Takes in the engine's state.
    pub fn record(&mut self, engine: &Engine, streams: &[Stream]) {
        let run = |(stream, tokens): (&usize, &f64)| RunningRequest {
            tokens: *tokens as u64,
            generated: streams[*stream].generated as u64,
        };
        self.0.push_back(EngineSnapshot {
            prefilling: engine.prefilling.len() as u64,
            generating: engine.generating.len() as u64,
            used: engine.used_tokens() as u64,
            runs: engine.generating_tokens.iter().map(run).collect(),
        });
        if self.0.len() > LAG_STEPS {
            self.0.pop_front();
        }
    }

    /// What a question brings now: the state of a moment ago.
    pub fn delayed(&self) -> EngineSnapshot {
        self.0.front().cloned().unwrap_or_default()
    }
}

/// A node's own open work at each engine, and what it sees of the load.
#[derive(Debug)]
pub(super) struct LocalLoad {
    /// Streams.
    pub open_streams: Vec<u32>,
    /// Prompt tokens that are not read.
    pub unread_tokens: Vec<u64>,
    /// How the service bears its load.
    pub load: ServiceLoad,
}

impl LocalLoad {
    /// No work at any of `engines`.
    pub fn new(engines: usize) -> LocalLoad {
        LocalLoad {
            open_streams: vec![0; engines],
            unread_tokens: vec![0; engines],
            load: ServiceLoad::default(),
        }
    }
}
