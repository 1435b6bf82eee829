//! The parts of a caller's request that the relay interprets.

use std::time::Duration;

use super::RequestId;

/// The parts of a request's head that decide how the request is handled.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The id of this attempt, chosen by the caller.
    pub id: RequestId,
    /// The requested host, without a port.
    pub host: String,
    /// The path, as sent.
    pub path: String,
    /// The caller's API key.
    pub key: Option<String>,
    /// How long the caller waits for the answer, counted from the request's arrival.
    pub deadline: Option<Duration>,
    /// The number of the last event that the caller has received, when it resumes a stream.
    pub last_event: Option<u64>,
    /// The size of the generation; empty for other requests.
    pub prompt: Prompt,
}

/// The size of a generation; zero tokens for other requests.
#[derive(Clone, Debug, Default)]
pub struct Prompt {
    /// The length of the prompt, in tokens.
    pub input: u64,
    /// The largest number of tokens to generate.
    pub max_output: u64,
    /// The caller's estimate of the number of tokens that will be generated.
    pub hint: Option<u64>,
    /// The consecutive parts of the prompt, each with its id and its length in tokens.
    pub parts: Vec<(u64, u64)>,
}

impl Prompt {
    /// Returns the memory that the generation is expected to occupy when it ends, in tokens.
    ///
    /// Callers' estimates are often far off, so half of the difference between the estimate and the
    /// allowed output is added as a reserve.
    pub fn peak_tokens(&self) -> u64 {
        let output = match self.hint {
            Some(hint) if hint < self.max_output => hint + (self.max_output - hint) / 2,
            _ => self.max_output,
        };
        self.input + output
    }
}
