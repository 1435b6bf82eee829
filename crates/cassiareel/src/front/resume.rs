//! TicketIssuer in event ids, and the requests that come back with one.

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

/// The header with the id of the last event that a caller has (HTML, server-sent events).
const LAST_EVENT_ID: &str = "last-event-id";

/// Fields of a body that may differ between a request and the one that takes its answer up.
const UNBOUND_FIELDS: [&str; 2] = ["stream", "stream_options"];

/// What tickets of one request are made of.
pub(super) struct TicketIssuer {
    keys: TicketKeys,
    owner: ShortDigest,
    body: ShortDigest,
}

/// An answer that was begun by another connection.
pub(super) struct ResumedAnswer {
    /// Where it stands.
    pub(super) ticket: Ticket,
    /// The tokens that the caller has, where it gave them.
    pub(super) prior_tokens: Option<Vec<TokenId>>,
}

/// Where an answer stands at its node.
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
    /// TicketIssuer of a caller's request, signed by the keys of the settings.
    pub(super) fn new(snapshot: &Snapshot, identity: &Identity, prompt: &Prompt) -> TicketIssuer {
        let mut body = (*prompt.body).clone();
        for field in UNBOUND_FIELDS {
            body.remove(field);
        }
        let body = Value::Object(body).to_string();
        TicketIssuer {
            keys: TicketKeys::new(&snapshot.tree.platform.ticket_keys),
            owner: short_digest(&[identity.account.as_bytes(), identity.caller.as_bytes()]),
            body: short_digest(&[prompt.endpoint.path().as_bytes(), body.as_bytes()]),
        }
    }

    /// The digest of the request's content beneath its caller, whatever its name.
    pub(super) fn content_digest(&self) -> ShortDigest {
        short_digest(&[&self.owner, &self.body])
    }

    /// Reports whether callers can come back.
    pub(super) fn is_enabled(&self) -> bool {
        !self.keys.is_empty()
    }

    /// The id of an event after which an answer stands so; none without keys.
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

    /// Reads the ticket of a request that takes an answer up; none where it begins one.
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

/// The refusal of a ticket that does not fit.
fn invalid_ticket(message: String) -> Refusal {
    Refusal::invalid(LAST_EVENT_ID, message).with_code("ticket_invalid")
}

/// The refusal of an answer whose version is not placed any more.
pub(super) fn version_gone(ticket: &Ticket) -> Refusal {
    let message = format!(
        "the answer is whole up to token {} and can't go on: version {:?} is gone",
        ticket.position, ticket.version
    );
    Refusal::new(StatusCode::Gone, message)
        .with_code("partial")
        .with_outcome(Outcome::Ran)
}
