//! Answers in the formats of the OpenAI HTTP API.

use std::time::{SystemTime, UNIX_EPOCH};

use serde::Serialize;

use super::Endpoint;
use crate::kernel::{generation::FinishReason, TokenId};

/// Encodes one answer, with the fields that all its parts carry.
#[derive(Clone, Debug)]
pub(super) struct AnswerFormat {
    /// The request id.
    pub(super) id: String,
    /// The model's name, as in the request.
    pub(super) model: String,
    /// Start time of the answer, in seconds since the Unix epoch.
    pub(super) created: u64,
    /// The endpoint.
    pub(super) endpoint: Endpoint,
}

/// The token counts of an answer.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct Usage {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
}

impl Usage {
    /// Creates the counts for a prompt and its answer.
    pub(super) fn new(prompt: u32, completion: u32) -> Usage {
        Usage {
            prompt_tokens: prompt,
            completion_tokens: completion,
            total_tokens: prompt + completion,
        }
    }
}

impl AnswerFormat {
    /// Creates the format of an answer that starts now.
    pub(super) fn new(id: &str, model: &str, endpoint: Endpoint) -> AnswerFormat {
        let created = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| since.as_secs());
        AnswerFormat {
            id: id.to_owned(),
            model: model.to_owned(),
            created,
            endpoint,
        }
    }

    /// Appends an event with text, and with token ids if there are any, to a buffer.
    ///
    /// `first` marks the first event of the answer, which carries the role in a chat.
    pub(super) fn write_text(&self, out: &mut Vec<u8>, text: &str, ids: &[TokenId], first: bool) {
        let token_ids = (!ids.is_empty()).then_some(ids);
        let choice = match self.endpoint {
            Endpoint::Completions => Choice {
                text: Some(text),
                token_ids,
                ..Choice::default()
            },
            Endpoint::Chat => Choice {
                token_ids,
                delta: Some(Delta {
                    role: first.then_some("assistant"),
                    content: Some(text),
                }),
                ..Choice::default()
            },
        };
        self.write_event(out, &[choice], None);
    }

    /// Appends the events that end a stream to a buffer.
    pub(super) fn write_finish(
        &self,
        out: &mut Vec<u8>,
        reason: FinishReason,
        usage: Option<Usage>,
    ) {
        let mut choice = Choice {
            finish_reason: Some(reason),
            ..Choice::default()
        };
        match self.endpoint {
            Endpoint::Completions => choice.text = Some(""),
            Endpoint::Chat => choice.delta = Some(Delta::default()),
        }
        self.write_event(out, &[choice], None);
        if usage.is_some() {
            self.write_event(out, &[], usage);
        }
        out.extend_from_slice(b"data: [DONE]\n\n");
    }

    /// Returns the body of an answer that is not streamed.
    pub(super) fn full_body(&self, text: &str, reason: FinishReason, usage: Usage) -> Vec<u8> {
        let mut choice = Choice {
            finish_reason: Some(reason),
            ..Choice::default()
        };
        match self.endpoint {
            Endpoint::Completions => choice.text = Some(text),
            Endpoint::Chat => {
                choice.message = Some(Delta {
                    role: Some("assistant"),
                    content: Some(text),
                });
            }
        }
        let object = match self.endpoint {
            Endpoint::Completions => "text_completion",
            Endpoint::Chat => "chat.completion",
        };
        let mut out = Vec::new();
        self.write_object(&mut out, object, &[choice], Some(usage));
        out
    }

    fn write_event(&self, out: &mut Vec<u8>, choices: &[Choice<'_>], usage: Option<Usage>) {
        let object = match self.endpoint {
            Endpoint::Completions => "text_completion",
            Endpoint::Chat => "chat.completion.chunk",
        };
        out.extend_from_slice(b"data: ");
        self.write_object(out, object, choices, usage);
        out.extend_from_slice(b"\n\n");
    }

    fn write_object(
        &self,
        out: &mut Vec<u8>,
        object: &str,
        choices: &[Choice<'_>],
        usage: Option<Usage>,
    ) {
        let answer = AnswerObject {
            id: &self.id,
            object,
            created: self.created,
            model: &self.model,
            choices,
            usage,
        };
        // INVARIANT: the fields are strings and numbers, which can always be encoded as JSON.
        serde_json::to_writer(out, &answer).expect("an answer object can be encoded as JSON");
    }
}

/// A completion object, or one chunk of a stream.
#[derive(Serialize)]
struct AnswerObject<'a> {
    id: &'a str,
    object: &'a str,
    created: u64,
    model: &'a str,
    choices: &'a [Choice<'a>],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

/// The single choice of an answer.
#[derive(Default, Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Delta<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Delta<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    token_ids: Option<&'a [TokenId]>,
    logprobs: Option<()>,
    finish_reason: Option<FinishReason>,
}

/// A chat message, or the delta of one.
#[derive(Default, Serialize)]
struct Delta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}
