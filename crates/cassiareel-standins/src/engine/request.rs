//! The body of a request that starts a stream.

use cassiareel::kernel::{Position, TokenId};
use serde::Deserialize;
use serde_json::Value;

/// The token limit of an answer to `/v1/completions` if the caller sets none, as in the OpenAI API.
const DEFAULT_MAX_TOKENS: Position = 16;
/// The maximum number of tokens in an answer.
const MAX_TOKENS: Position = 32_768;
/// The number of bytes of prompt text that count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// The fields that the engine reads. Other fields are ignored.
#[derive(Debug, Deserialize)]
pub(super) struct Request {
    pub(super) model: String,
    #[serde(default)]
    prompt: Option<Value>,
    #[serde(default)]
    messages: Option<Vec<Message>>,
    #[serde(default)]
    max_tokens: Option<Position>,
    #[serde(default)]
    max_completion_tokens: Option<Position>,
    #[serde(default)]
    stop: Option<Stop>,
    #[serde(default)]
    pub(super) ignore_eos: bool,
    #[serde(default)]
    pub(super) request_id: Option<String>,
    #[serde(default)]
    pub(super) priority: i32,
    #[serde(default)]
    pub(super) prior_token_ids: Vec<TokenId>,
    #[serde(default)]
    pub(super) prior_text_bytes: usize,
}

#[derive(Debug, Deserialize)]
struct Message {
    content: Value,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Stop {
    One(String),
    Many(Vec<String>),
}

impl Request {
    /// Parses a body.
    ///
    /// # Errors
    ///
    /// Fails with a message for the client when the body is not valid.
    pub(super) fn parse(body: &[u8]) -> Result<Request, String> {
        serde_json::from_slice(body).map_err(|err| err.to_string())
    }

    /// Returns the prompt's text. The prompt of a chat is the texts of its messages joined by
    /// newlines.
    ///
    /// # Errors
    ///
    /// Fails with a message for the client when there is no prompt, or its form is not supported.
    pub(super) fn prompt_text(&self) -> Result<String, String> {
        match (&self.prompt, &self.messages) {
            (Some(Value::String(text)), None) => Ok(text.clone()),
            (Some(Value::Array(list)), None) => match &list[..] {
                [Value::String(text)] => Ok(text.clone()),
                _ => Err("prompt must be one string".to_owned()),
            },
            (None, Some(list)) if !list.is_empty() => {
                let texts: Option<Vec<_>> = list.iter().map(Message::text).collect();
                let texts = texts.ok_or("content must be text")?;
                Ok(texts.join("\n"))
            }
            _ => Err("give a prompt, or messages".to_owned()),
        }
    }

    /// Returns the maximum number of tokens in the whole answer.
    pub(super) fn token_limit(&self) -> Position {
        let default = if self.messages.is_some() {
            MAX_TOKENS
        } else {
            DEFAULT_MAX_TOKENS
        };
        self.max_completion_tokens
            .or(self.max_tokens)
            .unwrap_or(default)
            .min(MAX_TOKENS)
    }

    /// Returns the stop sequences that are not empty.
    pub(super) fn stop_sequences(&self) -> Vec<String> {
        let stops = match &self.stop {
            None => Vec::new(),
            Some(Stop::One(stop)) => vec![stop.clone()],
            Some(Stop::Many(stops)) => stops.clone(),
        };
        stops.into_iter().filter(|stop| !stop.is_empty()).collect()
    }
}

impl Message {
    fn text(&self) -> Option<String> {
        match &self.content {
            Value::String(text) => Some(text.clone()),
            Value::Array(parts) => parts.iter().map(|part| part["text"].as_str()).collect(),
            _ => None,
        }
    }
}

/// Returns the number of tokens in a prompt.
pub(super) fn count_tokens(prompt: &str) -> u32 {
    prompt.len().div_ceil(BYTES_PER_TOKEN) as u32
}
