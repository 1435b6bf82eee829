//! The trait that policies implement, and its registry.

use crate::{
    kernel::{BackendId, DataCentreId},
    plugin::Plugin,
};

/// What is known of a request when its backend server is chosen.
#[derive(Clone, Debug, Default)]
pub struct RoutingRequest {
    /// Chained hashes of the prompt's blocks, from the first.
    pub prefix: Vec<u64>,
    /// Tokens of the prompt, estimated, with those of the answer so far.
    pub prompt_tokens: u32,
    /// Tokens that the answer may still have.
    pub output_tokens: u32,
    /// The node's own data centre.
    pub data_centre: Option<DataCentreId>,
    /// Whether it may run twice without harm, and so may try a server that was ejected.
    pub idempotent: bool,
}

impl RoutingRequest {
    /// Tokens of an engine's memory that the request may come to hold.
    pub fn memory_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.output_tokens)
    }
}

/// A backend server that the settings allow, as the node believes it to be.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// The backend server.
    pub backend: &'a BackendId,
    /// Its data centre.
    pub data_centre: &'a DataCentreId,
    /// Requests that run or wait there, with the node's own corrections.
    pub outstanding: u32,
    /// Tokens of prompts that wait there for their first token, with the node's own corrections.
    pub backlog_tokens: u64,
    /// Tokens of memory that the node may still fill there.
    pub free_tokens: u64,
    /// Leading blocks of the prompt that its cache is believed to hold.
    pub cached_blocks: u32,
    /// Its weight as a home of the prompt's prefix, the same at every node; 0 without a prefix.
    pub home_weight: u64,
    /// Share of its full weight, from 0 for ejected to 1 for healthy.
    pub health: f32,
    /// Its recent time between tokens in milliseconds, or 0 when unknown.
    pub token_ms: f32,
    /// Its recent times to the first token over those expected of it; 1 when unknown.
    pub slowdown: f32,
    /// Why it can't be chosen, where the node's table knows already.
    pub skip_reason: Option<SkipReason>,
}

/// Why a candidate was passed over.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum SkipReason {
    /// Another scored better.
    Score,
    /// It is ejected.
    Ejected,
    /// The request does not fit its memory.
    Memory,
    /// Enough waits there for its first token; more waits better at the node.
    Busy,
    /// It is about to leave.
    Leaving,
    /// It has not loaded the version.
    Unloaded,
    /// The request was lost there before.
    Excluded,
}

impl SkipReason {
    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            SkipReason::Score => "score",
            SkipReason::Ejected => "ejected",
            SkipReason::Memory => "memory",
            SkipReason::Busy => "busy",
            SkipReason::Leaving => "leaving",
            SkipReason::Unloaded => "unloaded",
            SkipReason::Excluded => "excluded",
        }
    }
}

/// A policy's choice.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The chosen candidate's index; none where no candidate is fit.
    pub index: Option<usize>,
    /// Each candidate's score, lower is better, with the reason it was passed over.
    pub scores: Vec<(f64, Option<SkipReason>)>,
}

/// Chooses among candidates.
pub trait Policy: Send + Sync {
    /// Chooses; `random` is a fresh random number for ties and samples.
    fn choose(&self, ask: &RoutingRequest, candidates: &[Candidate<'_>], random: u64) -> Choice;
}

inventory::collect!(Plugin<Box<dyn Policy>>);

/// Builds the policy of a name, if one registered it.
///
/// # Examples
///
/// ```
/// use cassiareel::kernel::routing::policy;
///
/// assert!(policy("least-outstanding").is_some());
/// assert!(policy("no-such-policy").is_none());
/// ```
pub fn policy(name: &str) -> Option<Box<dyn Policy>> {
    named_policy(name).map(|(_, policy)| policy)
}

/// Builds the policy of a name, with the name as it was registered.
pub fn named_policy(name: &str) -> Option<(&'static str, Box<dyn Policy>)> {
    inventory::iter::<Plugin<Box<dyn Policy>>>()
        .find(|plugin| plugin.name == name)
        .map(|plugin| (plugin.name, (plugin.build)()))
}

/// Names of the policies that registered themselves, in order.
pub fn policy_names() -> Vec<&'static str> {
    let mut names: Vec<_> = inventory::iter::<Plugin<Box<dyn Policy>>>()
        .map(|plugin| plugin.name)
        .collect();
    names.sort_unstable();
    names
}
