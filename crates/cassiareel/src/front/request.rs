//! Parsing and validation of requests for generations.

use std::sync::Arc;

use serde_json::{json, Map, Value};

use super::Refusal;
use crate::kernel::TokenId;

/// Limit on an answer's tokens if the request sets none.
const DEFAULT_MAX_TOKENS: u64 = 1024;

/// Largest limit on an answer's tokens that a request may set.
const MAX_TOKENS_LIMIT: u64 = 1 << 20;

/// Fields that would change the format of the answer and are not supported.
const UNSUPPORTED_FIELDS: [&str; 7] = [
    "best_of",
    "echo",
    "functions",
    "logprobs",
    "suffix",
    "tools",
    "top_logprobs",
];

/// An endpoint for generations.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Endpoint {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Completions,
}

impl Endpoint {
    /// Returns the path, which is the same at nodes and engines.
    pub fn path(self) -> &'static str {
        match self {
            Endpoint::Chat => "/v1/chat/completions",
            Endpoint::Completions => "/v1/completions",
        }
    }
}

/// A validated request for a generation.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The model, which is the service's name.
    pub model: String,
    /// The prompt's text, by whose prefixes engines are chosen.
    pub text: String,
    /// The limit on the answer's tokens.
    pub max_tokens: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether a stream ends with the token counts.
    pub include_usage: bool,
    /// Whether events carry token ids, so that the caller can send them when it resumes.
    pub token_ids: bool,
    /// Tokens that the caller already has of the answer that it resumes.
    pub prior_tokens: Option<Vec<TokenId>>,
    /// The body for engines, without the fields that the node sets itself.
    pub body: Arc<Map<String, Value>>,
}

impl Prompt {
    /// Parses and validates a body.
    ///
    /// # Errors
    ///
    /// The refusal names the first invalid field and its value.
    ///
    /// # Examples
    ///
    /// ```
    /// use cassiareel::front::{Endpoint, Prompt};
    ///
    /// let body = br#"{"model": "draft", "prompt": "Once", "max_tokens": 5}"#;
    /// let prompt = Prompt::parse(Endpoint::Completions, body).unwrap();
    /// assert_eq!((prompt.text.as_str(), prompt.max_tokens), ("Once", 5));
    /// assert!(Prompt::parse(Endpoint::Completions, b"{}").is_err());
    /// ```
    pub fn parse(endpoint: Endpoint, body: &[u8]) -> Result<Prompt, Refusal> {
        let mut body = parse_object(body)?;
        if let Some(field) = UNSUPPORTED_FIELDS.iter().find(|f| is_set(body.get(**f))) {
            let message = format!("{field:?} is not served; leave it out");
            return Err(Refusal::invalid(field, message));
        }
        if let Some(n) = body.remove("n").filter(|n| !n.is_null() && *n != json!(1)) {
            return Err(Refusal::invalid(
                "n",
                format!("\"n\" is {n}, only 1 is served"),
            ));
        }
        let token_ids = bool_field(&body, "return_token_ids")?;
        body.remove("return_token_ids");
        let prior_tokens = take_prior_tokens(&mut body)?;
        let model = string_field(&body, "model")?;
        let text = match endpoint {
            Endpoint::Completions => prompt_text(&mut body)?,
            Endpoint::Chat => messages_text(&body)?,
        };
        let max_tokens = take_max_tokens(&mut body)?;
        body.insert("max_tokens".into(), json!(max_tokens));
        check_stop(&body)?;
        let stream = bool_field(&body, "stream")?;
        let include_usage = body
            .get("stream_options")
            .and_then(|options| options.get("include_usage"))
            .is_some_and(|value| *value == json!(true));
        Ok(Prompt {
            endpoint,
            model,
            text,
            max_tokens,
            stream,
            include_usage,
            token_ids,
            prior_tokens,
            body: Arc::new(body),
        })
    }
}

/// Parses a JSON object.
fn parse_object(body: &[u8]) -> Result<Map<String, Value>, Refusal> {
    let invalid = |message: String| Refusal::new(http_types::StatusCode::BadRequest, message);
    let text =
        std::str::from_utf8(body).map_err(|err| invalid(format!("body is not UTF-8: {err}")))?;
    match serde_json::from_str(text) {
        Ok(Value::Object(map)) => Ok(map),
        Ok(_) => Err(invalid("body is JSON but not an object".into())),
        Err(err) => Err(invalid(format!("body is not JSON: {err}"))),
    }
}

/// Reports whether an unsupported field is used.
///
/// Null, `false` and numbers other than integers above 1 count as unused.
fn is_set(value: Option<&Value>) -> bool {
    !matches!(
        value,
        None | Some(Value::Null | Value::Bool(false)) | Some(Value::Number(_))
    ) || value.is_some_and(|v| v.as_u64().is_some_and(|n| n > 1))
}

/// Removes and parses the tokens that the caller already has.
fn take_prior_tokens(body: &mut Map<String, Value>) -> Result<Option<Vec<TokenId>>, Refusal> {
    let field = "prior_token_ids";
    match body.remove(field) {
        None | Some(Value::Null) => Ok(None),
        Some(value) => serde_json::from_value(value).map(Some).map_err(|err| {
            Refusal::invalid(field, format!("{field:?} is not a list of tokens: {err}"))
        }),
    }
}

/// Reads a required string field that must not be empty.
fn string_field(body: &Map<String, Value>, field: &str) -> Result<String, Refusal> {
    match body.get(field) {
        Some(Value::String(text)) if !text.is_empty() => Ok(text.clone()),
        Some(other) => Err(Refusal::invalid(
            field,
            format!("{field:?} is {other}, not a string that is not empty"),
        )),
        None => Err(Refusal::invalid(field, format!("{field:?} is missing"))),
    }
}

/// Reads an optional boolean field, which defaults to false.
fn bool_field(body: &Map<String, Value>, field: &str) -> Result<bool, Refusal> {
    match body.get(field) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(value)) => Ok(*value),
        Some(other) => Err(Refusal::invalid(
            field,
            format!("{field:?} is {other}, not true or false"),
        )),
    }
}

/// Reads the prompt, and replaces a list of one string by that string.
fn prompt_text(body: &mut Map<String, Value>) -> Result<String, Refusal> {
    let only = match body.get("prompt") {
        Some(Value::Array(list)) if list.len() == 1 => Some(list[0].clone()),
        Some(Value::Array(list)) => {
            let message = format!(
                "\"prompt\" is a list of {}, only one string is served",
                list.len()
            );
            return Err(Refusal::invalid("prompt", message));
        }
        _ => None,
    };
    if let Some(only) = only {
        body.insert("prompt".into(), only);
    }
    string_field(body, "prompt")
}

/// Reads the texts of the chat messages, joined by newlines.
fn messages_text(body: &Map<String, Value>) -> Result<String, Refusal> {
    let messages = match body.get("messages") {
        Some(Value::Array(list)) if !list.is_empty() => list,
        Some(other) => {
            let message = format!("\"messages\" is {other}, not a list that is not empty");
            return Err(Refusal::invalid("messages", message));
        }
        None => return Err(Refusal::invalid("messages", "\"messages\" is missing")),
    };
    let texts: Result<Vec<&str>, Refusal> = messages.iter().enumerate().map(message_text).collect();
    Ok(texts?.join("\n"))
}

/// Reads the text of a chat message.
fn message_text((i, message): (usize, &Value)) -> Result<&str, Refusal> {
    if !message.get("role").is_some_and(Value::is_string) {
        let message = format!("message {i} has no \"role\"");
        return Err(Refusal::invalid("messages", message));
    }
    message
        .get("content")
        .and_then(Value::as_str)
        .ok_or_else(|| {
            let message = format!("message {i} has no \"content\" that is a string");
            Refusal::invalid("messages", message)
        })
}

/// Removes and validates the limit on the answer's tokens, which has two field names.
fn take_max_tokens(body: &mut Map<String, Value>) -> Result<u32, Refusal> {
    let newer = body.remove("max_completion_tokens");
    let older = body.remove("max_tokens");
    match newer.or(older) {
        None | Some(Value::Null) => Ok(DEFAULT_MAX_TOKENS as u32),
        Some(value) => match value.as_u64() {
            Some(n) if (1..=MAX_TOKENS_LIMIT).contains(&n) => Ok(n as u32),
            _ => Err(Refusal::invalid(
                "max_tokens",
                format!(
                    "\"max_tokens\" is {value}, not a whole number from 1 to {MAX_TOKENS_LIMIT}"
                ),
            )),
        },
    }
}

/// Checks that `stop` is a string or a list of at most four strings.
fn check_stop(body: &Map<String, Value>) -> Result<(), Refusal> {
    let is_valid = match body.get("stop") {
        None | Some(Value::Null | Value::String(_)) => true,
        Some(Value::Array(list)) => list.len() <= 4 && list.iter().all(Value::is_string),
        Some(_) => false,
    };
    if is_valid {
        return Ok(());
    }
    let message = "\"stop\" is not a string or a list of at most four strings";
    Err(Refusal::invalid("stop", message))
}
