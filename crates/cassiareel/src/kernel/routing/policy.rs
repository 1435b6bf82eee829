//! The policy trait and its registry.

use crate::{
    kernel::{quota::Purpose, BackendId, DataCentreId},
    plugin::Plugin,
};

/// The properties of a request that the choice of a backend server depends on.
#[derive(Clone, Debug, Default)]
pub struct RoutingRequest {
    /// Chained hashes of the prompt's blocks, in order.
    pub prefix: Vec<u64>,
    /// Estimated tokens of the prompt, plus the tokens of the answer so far.
    pub prompt_tokens: u32,
    /// The most tokens that the answer may still have.
    pub output_tokens: u32,
    /// The data centre of the node.
    pub data_centre: Option<DataCentreId>,
    /// Whether the request may safely run twice, and so may serve as a trial of an ejected server.
    pub idempotent: bool,
    /// What the request would use a permit for, at a backend server that names a limit.
    pub purpose: Purpose,
}

impl RoutingRequest {
    /// Returns the most engine memory, in tokens, that the request may use.
    pub fn memory_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.output_tokens)
    }
}

/// A backend server that the settings allow, with the node's current estimates.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// The backend server.
    pub backend: &'a BackendId,
    /// Its data centre.
    pub data_centre: &'a DataCentreId,
    /// Requests that run or wait at the server, with the node's own corrections.
    pub outstanding: u32,
    /// Prompt tokens that wait for their first token, with the node's own corrections.
    pub backlog_tokens: u64,
    /// Tokens of memory that the node may still reserve at the server.
    pub free_tokens: u64,
    /// Leading blocks of the prompt that its cache probably holds.
    pub cached_blocks: u32,
    /// Its weight as the home of the prompt's prefix, the same on every node; 0 without a prefix.
    pub home_weight: u64,
    /// Fraction of its full weight, from 0 for ejected to 1 for healthy.
    pub health: f32,
    /// Its recent time between tokens in milliseconds, or 0 if unknown.
    pub token_ms: f32,
    /// The recent ratio of its measured to its expected time to first token; 1 if unknown.
    pub slowdown: f32,
    /// Why it can't be chosen, if the node's table already rules it out.
    pub skip_reason: Option<SkipReason>,
}

/// Why a candidate was not chosen.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum SkipReason {
    /// Another candidate scored better.
    Score,
    /// The server is ejected.
    Ejected,
    /// The request does not fit into its memory.
    Memory,
    /// Its backlog has reached the limit; further requests wait at the node instead.
    Busy,
    /// The server is about to shut down.
    Leaving,
    /// The server has not loaded the version.
    Unloaded,
    /// The request was lost at this server before.
    Excluded,
    /// The server takes no more requests from all nodes, by the limit that it names.
    Limit,
}

impl SkipReason {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            SkipReason::Score => "score",
            SkipReason::Ejected => "ejected",
            SkipReason::Memory => "memory",
            SkipReason::Busy => "busy",
            SkipReason::Leaving => "leaving",
            SkipReason::Unloaded => "unloaded",
            SkipReason::Excluded => "excluded",
            SkipReason::Limit => "limit",
        }
    }
}

/// The choice made by a policy.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The index of the chosen candidate, or `None` if no candidate is eligible.
    pub index: Option<usize>,
    /// The score of each candidate, lower is better, with the reason why it was not chosen.
    pub scores: Vec<(f64, Option<SkipReason>)>,
}

/// A strategy for choosing a backend server.
pub trait Policy: Send + Sync {
    /// Chooses a candidate. `random` is a fresh random number for ties and samples.
    fn choose(&self, request: &RoutingRequest, candidates: &[Candidate<'_>], random: u64)
        -> Choice;
}

inventory::collect!(Plugin<Box<dyn Policy>>);

/// Builds the policy with the given name, or returns `None` if no such policy is registered.
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

/// Builds the policy with the given name and returns it with its registered name.
pub fn named_policy(name: &str) -> Option<(&'static str, Box<dyn Policy>)> {
    inventory::iter::<Plugin<Box<dyn Policy>>>()
        .find(|plugin| plugin.name == name)
        .map(|plugin| (plugin.name, (plugin.build)()))
}

/// Returns the names of all registered policies in alphabetical order.
pub fn policy_names() -> Vec<&'static str> {
    let mut names: Vec<_> = inventory::iter::<Plugin<Box<dyn Policy>>>()
        .map(|plugin| plugin.name)
        .collect();
    names.sort_unstable();
    names
}
