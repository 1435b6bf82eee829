//! The load of engines as one node sees it.

use std::collections::VecDeque;

use cassiareel_relay::kernel::{RunningRequest, ServiceLoad};

use super::{engine::Engine, stream::Stream};

/// Age of an engine's report, in time steps.
pub(super) const LAG_STEPS: usize = 40;

/// The load of an engine at one time.
#[derive(Clone, Debug, Default)]
pub(super) struct EngineSnapshot {
    /// Number of prompts being prefilled or waiting.
    pub prefilling: u64,
    /// Number of streams in generation.
    pub generating: u64,
    /// Memory used by streams in generation, in tokens.
    pub used: u64,
    /// Tokens in memory and generated tokens of each stream in generation.
    pub runs: Vec<RunningRequest>,
}

/// The latest snapshots of one engine, the newest last.
#[derive(Clone, Debug, Default)]
pub(super) struct Reports(VecDeque<EngineSnapshot>);

impl Reports {
    /// Records the engine's state.
    pub fn record(&mut self, engine: &Engine, streams: &[Stream]) {
        let run = |(stream, tokens): (&usize, &f64)| RunningRequest {
            tokens: *tokens as u64,
            generated: streams[*stream].generated as u64,
            priority: streams[*stream].class.priority,
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

    /// Returns the snapshot that a query receives now, which is [`LAG_STEPS`] old.
    pub fn delayed(&self) -> EngineSnapshot {
        self.0.front().cloned().unwrap_or_default()
    }
}

/// The load that a node itself puts on each engine, and its view of the service's load.
#[derive(Debug)]
pub(super) struct LocalLoad {
    /// Number of the node's open streams at each engine.
    pub open_streams: Vec<u32>,
    /// Prompt tokens that the node sent to each engine and that are not prefilled yet.
    pub unread_tokens: Vec<u64>,
    /// The load of the service, for admission.
    pub load: ServiceLoad,
}

impl LocalLoad {
    /// Creates a node without load on any of `engines` engines.
    pub fn new(engines: usize) -> LocalLoad {
        LocalLoad {
            open_streams: vec![0; engines],
            unread_tokens: vec![0; engines],
            load: ServiceLoad::default(),
        }
    }
}
