//! Tickets in event ids, and the requests that come back with one.

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
const FREE_FIELDS: [&str; 2] = ["stream", "stream_options"];

/// What tickets of one request are made of.
pub(super) struct Tickets {
    keys: TicketKeys,
    owner: ShortDigest,
    body: ShortDigest,
}

/// An answer that was begun by another connection.
pub(super) struct Resumed {
    /// Where it stands.
    pub(super) ticket: Ticket,
    /// The tokens that the caller has, where it gave them.
    pub(super) prior: Option<Vec<TokenId>>,
}

/// Where an answer stands at its node.
pub(super) struct Standing<'a> {
    pub(super) generation: &'a RequestId,
    pub(super) version: &'a VersionId,
    pub(super) backend: SocketAddr,
    pub(super) attempt: Attempt,
    pub(super) tokens: usize,
    pub(super) text: usize,
    pub(super) digest: &'a TokenDigest,
}

impl Tickets {
    /// Tickets of a caller's request, signed by the keys of the settings.
    pub(super) fn new(snapshot: &Snapshot, identity: &Identity, prompt: &Prompt) -> Tickets {
        let mut body = (*prompt.body).clone();
        for field in FREE_FIELDS {
            body.remove(field);
        }
        let body = Value::Object(body).to_string();
        Tickets {
            keys: TicketKeys::new(&snapshot.tree.platform.ticket_keys),
            owner: short_digest(&[identity.account.as_bytes(), identity.caller.as_bytes()]),
            body: short_digest(&[prompt.endpoint.path().as_bytes(), body.as_bytes()]),
        }
    }

    /// The digest of the request's content beneath its caller, whatever its name.
    pub(super) fn content(&self) -> ShortDigest {
        short_digest(&[&self.owner, &self.body])
    }

    /// Reports whether callers can come back.
    pub(super) fn are_given(&self) -> bool {
        !self.keys.is_empty()
    }

    /// The id of an event after which an answer stands so; none without keys.
    pub(super) fn id(&self, at: &Standing<'_>) -> Option<String> {
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
    ) -> Result<Option<Resumed>, Refusal> {
        let Some(header) = req.header(LAST_EVENT_ID) else {
            return match prompt.prior {
                None => Ok(None),
                Some(_) => Err(wrong(
                    "\"prior_token_ids\" needs a Last-Event-ID".to_owned(),
                )),
            };
        };
        let ticket = self
            .keys
            .verify(header.as_str())
            .map_err(|err| wrong(err.to_string()))?;
        if !prompt.stream {
            return Err(wrong("only a streamed answer is taken up again".to_owned()));
        }
        if ticket.owner != self.owner {
            return Err(wrong("the ticket is another caller's".to_owned()));
        }
        if ticket.body != self.body {
            return Err(wrong("the ticket is another request's".to_owned()));
        }
        let prior = prompt.prior.clone();
        if let Some(prior) = &prior {
            let mut digest = TokenDigest::default();
            digest.update(prior);
            if digest.value() != ticket.tokens {
                return Err(wrong(
                    "\"prior_token_ids\" are not the answer's tokens".to_owned(),
                ));
            }
        }
        Ok(Some(Resumed { ticket, prior }))
    }
}

/// The refusal of a ticket that does not fit.
fn wrong(message: String) -> Refusal {
    Refusal::invalid(LAST_EVENT_ID, message).with_code("ticket_invalid")
}

/// The refusal of an answer whose version is not placed any more.
pub(super) fn gone(ticket: &Ticket) -> Refusal {
    let message = format!(
        "the answer is whole up to token {} and can't go on: version {:?} is gone",
        ticket.position, ticket.version
    );
    Refusal::new(StatusCode::Gone, message)
        .with_code("partial")
        .with_outcome(Outcome::Ran)
}
