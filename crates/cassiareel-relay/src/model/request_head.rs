//! A caller's request as far as the relay has to understand it.

use std::time::Duration;

use super::RequestId;

/// The facts of a request that decide how it is handled.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The id of this attempt, given by the caller.
    pub id: RequestId,
    /// The host that the caller named, without a port.
    pub host: String,
    /// The path, as sent.
    pub path: String,
    /// The caller's key.
    pub key: Option<String>,
    /// How long the caller will wait, from the request's arrival.
    pub deadline: Option<Duration>,
    /// The last event that the caller has, when it resumes a stream.
    pub last_event: Option<u64>,
    /// The size of a generation.
    pub prompt: Prompt,
}

/// The size of a generation; zero tokens for other requests.
#[derive(Clone, Debug, Default)]
pub struct Prompt {
    /// Tokens to prefill.
    pub input: u64,
    /// The largest number of tokens to generate.
    pub max_output: u64,
    /// The caller's estimate of the number of tokens to generate.
    pub hint: Option<u64>,
    /// The parts of the prompt in order: an id and a number of tokens.
    pub parts: Vec<(u64, u64)>,
}

impl Prompt {
    /// The memory that the generation needs at its end, in tokens.
    ///
    /// A caller's estimate is often far off, so that half of the difference to the allowed output is
    /// kept in reserve.
    pub fn peak_tokens(&self) -> u64 {
        let output = match self.hint {
            Some(hint) if hint < self.max_output => hint + (self.max_output - hint) / 2,
            _ => self.max_output,
        };
        self.input + output
    }
}
