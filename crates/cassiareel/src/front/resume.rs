//! Resumption tickets in event ids, and requests that resume an answer with one.

use std::net::SocketAddr;

use http_types::{Request, StatusCode};
use serde_json::Value;

use super::{Outcome, Prompt, Refusal};
use crate::{
    kernel::{
        ticket::{short_digest, ShortDigest, Ticket, TicketKeys, TokenDigest},
        Attempt, RequestId, TokenId, VersionId,
    },
    settings::{Identity, Snapshot},
};

/// The header with the id of the last event that a caller received (HTML, server-sent events).
const LAST_EVENT_ID: &str = "last-event-id";

/// Fields that the digest of a body leaves out, so that they may differ between a request and the
/// one that resumes its answer.
const EXCLUDED_FIELDS: [&str; 2] = ["stream", "stream_options"];

/// Issues and checks the tickets of one request.
pub(super) struct TicketIssuer {
    keys: TicketKeys,
    owner: ShortDigest,
    body: ShortDigest,
}

/// An answer that was started on another connection.
pub(super) struct ResumedAnswer {
    /// The caller's ticket, with its position in the answer.
    pub(super) ticket: Ticket,
    /// The tokens that the caller has, if it sent them.
    pub(super) prior_tokens: Option<Vec<TokenId>>,
}

/// The position of an answer at its node, from which a ticket is made.
pub(super) struct AnswerPosition<'a> {
    pub(super) generation: &'a RequestId,
    pub(super) version: &'a VersionId,
    pub(super) backend: SocketAddr,
    pub(super) attempt: Attempt,
    pub(super) tokens: usize,
    pub(super) text: usize,
    pub(super) digest: &'a TokenDigest,
}

impl TicketIssuer {
    /// Creates an issuer for a caller's request that signs with the keys in the settings.
    pub(super) fn new(snapshot: &Snapshot, identity: &Identity, prompt: &Prompt) -> TicketIssuer {
        let mut body = (*prompt.body).clone();
        for field in EXCLUDED_FIELDS {
            body.remove(field);
        }
        let body = Value::Object(body).to_string();
        TicketIssuer {
            keys: TicketKeys::new(&snapshot.tree.platform.ticket_keys),
            owner: short_digest(&[identity.account.as_bytes(), identity.caller.as_bytes()]),
            body: short_digest(&[prompt.endpoint.path().as_bytes(), body.as_bytes()]),
        }
    }

    /// Returns the digest of the request's content and its caller, without the request id.
    pub(super) fn content_digest(&self) -> ShortDigest {
        short_digest(&[&self.owner, &self.body])
    }

    /// Reports whether events carry tickets, so that callers can resume.
    pub(super) fn is_enabled(&self) -> bool {
        !self.keys.is_empty()
    }

    /// Returns the id of the event after which the answer is at a position, or none if the settings
    /// have no ticket keys.
    pub(super) fn event_id(&self, at: &AnswerPosition<'_>) -> Option<String> {
        if self.keys.is_empty() {
            return None;
        }
        self.keys.sign(&Ticket {
            owner: self.owner,
            body: self.body,
            generation: at.generation.clone(),
            version: at.version.clone(),
            backend: at.backend,
            attempt: at.attempt,
            position: at.tokens as u32,
            text: at.text as u32,
            tokens: at.digest.value(),
        })
    }

    /// Reads and checks the ticket of a request that resumes an answer; none if the request starts
    /// a new answer.
    pub(super) fn resumed(
        &self,
        req: &Request,
        prompt: &Prompt,
    ) -> Result<Option<ResumedAnswer>, Refusal> {
        let Some(header) = req.header(LAST_EVENT_ID) else {
            return match prompt.prior_tokens {
                None => Ok(None),
                Some(_) => Err(invalid_ticket(
                    "\"prior_token_ids\" needs a Last-Event-ID".to_owned(),
                )),
            };
        };
        let ticket = self
            .keys
            .verify(header.as_str())
            .map_err(|err| invalid_ticket(err.to_string()))?;
        if !prompt.stream {
            return Err(invalid_ticket(
                "only a streamed answer is taken up again".to_owned(),
            ));
        }
        if ticket.owner != self.owner {
            return Err(invalid_ticket("the ticket is another caller's".to_owned()));
        }
        if ticket.body != self.body {
            return Err(invalid_ticket("the ticket is another request's".to_owned()));
        }
        let prior = prompt.prior_tokens.clone();
        if let Some(prior) = &prior {
            let mut digest = TokenDigest::default();
            digest.update(prior);
            if digest.value() != ticket.tokens {
                return Err(invalid_ticket(
                    "\"prior_token_ids\" are not the answer's tokens".to_owned(),
                ));
            }
        }
        Ok(Some(ResumedAnswer {
            ticket,
            prior_tokens: prior,
        }))
    }
}

/// Returns the refusal of a ticket that is not valid for the request.
fn invalid_ticket(message: String) -> Refusal {
    Refusal::invalid(LAST_EVENT_ID, message).with_code("ticket_invalid")
}

/// Returns the refusal of an answer whose version is no longer placed.
pub(super) fn version_gone(ticket: &Ticket) -> Refusal {
    let message = format!(
        "the answer is whole up to token {} and can't go on: version {:?} is gone",
        ticket.position, ticket.version
    );
    Refusal::new(StatusCode::Gone, message)
        .with_code("partial")
        .with_outcome(Outcome::Ran)
}
