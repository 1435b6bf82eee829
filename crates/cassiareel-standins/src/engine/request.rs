//! The start of a stream, as the body of a request.

use cassiareel::kernel::{Position, TokenId};
use serde::Deserialize;
use serde_json::Value;

/// Tokens of an answer to `/v1/completions` whose caller names no limit, as the OpenAI API has it.
const DEFAULT_TOKENS: Position = 16;
/// Most tokens of an answer.
const MOST_TOKENS: Position = 32_768;
/// Bytes of text that count as a token of a prompt.
const BYTES_PER_TOKEN: usize = 4;

/// The fields that the engine reads; others are ignored.
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
    Some(Vec<String>),
}

impl Request {
    /// Reads a body.
    ///
    /// # Errors
    ///
    /// Says what is wrong with the body.
    pub(super) fn parse(body: &[u8]) -> Result<Request, String> {
        serde_json::from_slice(body).map_err(|err| err.to_string())
    }

    /// The prompt's text; a chat's is the texts of its messages joined by newlines.
    ///
    /// # Errors
    ///
    /// Says what is wrong with the prompt.
    pub(super) fn text(&self) -> Result<String, String> {
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

    /// Most tokens of the whole answer.
    pub(super) fn limit(&self) -> Position {
        let default = if self.messages.is_some() {
            MOST_TOKENS
        } else {
            DEFAULT_TOKENS
        };
        self.max_completion_tokens
            .or(self.max_tokens)
            .unwrap_or(default)
            .min(MOST_TOKENS)
    }

    /// The stop sequences.
    pub(super) fn stops(&self) -> Vec<String> {
        let stops = match &self.stop {
            None => Vec::new(),
            Some(Stop::One(stop)) => vec![stop.clone()],
            Some(Stop::Some(stops)) => stops.clone(),
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

/// Tokens of a prompt.
pub(super) fn count_tokens(prompt: &str) -> u32 {
    prompt.len().div_ceil(BYTES_PER_TOKEN) as u32
}
