//! The signed resume ticket in the id of an event.

use std::net::SocketAddr;

use base64::{engine::general_purpose::URL_SAFE_NO_PAD, Engine as _};
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use snafu::Snafu;

use crate::kernel::{Attempt, Position, RequestId, TokenId, VersionId};

/// Bytes of a signature: HMAC-SHA-256 cut to its half (RFC 2104, section 5).
const SIGNATURE_BYTES: usize = 16;

/// Bytes of a digest in a ticket.
const DIGEST_BYTES: usize = 16;

/// A digest cut to the length that a ticket carries.
pub type ShortDigest = [u8; DIGEST_BYTES];

/// Where an answer stands, for whichever node the caller comes back to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ticket {
    /// Digest of client account and caller.
    pub owner: ShortDigest,
    /// Digest of the request's body, so that a ticket continues no other request.
    pub body: ShortDigest,
    /// The generation.
    pub generation: RequestId,
    /// The version, which is pinned for the generation's life.
    pub version: VersionId,
    /// The engine.
    pub backend: SocketAddr,
    /// The attempt whose stream runs there.
    pub attempt: Attempt,
    /// Tokens that the caller has with this event.
    pub position: Position,
    /// Bytes of text that the caller has with this event.
    pub text: u32,
    /// Digest of these tokens.
    pub tokens: ShortDigest,
}

/// Why a ticket is not taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum TicketError {
    /// It is not of this form.
    #[snafu(display("the event id is not a ticket"))]
    Malformed,
    /// No key of the settings signed it.
    #[snafu(display("the ticket's signature is not right"))]
    Forged,
}

/// The keys that sign and check tickets, the newest first.
///
/// The first key signs, and all check, so that a key is replaced by putting the new one in front
/// and taking the old one out when no answer of its time runs any more.
///
/// # Examples
///
/// ```
/// use cassiareel::kernel::ticket::{TicketKeys, Ticket};
///
/// let ticket = Ticket {
///     owner: [1; 16],
///     body: [2; 16],
///     generation: "g-1".into(),
///     version: "v1".into(),
///     backend: "10.0.0.1:80".parse().unwrap(),
///     attempt: 1,
///     position: 7,
///     text: 31,
///     tokens: [3; 16],
/// };
/// let old = TicketKeys::new(&["old"]);
/// let id = old.sign(&ticket).unwrap();
/// assert_eq!(TicketKeys::new(&["new", "old"]).verify(&id), Ok(ticket));
/// assert!(TicketKeys::new(&["new"]).verify(&id).is_err());
/// ```
#[derive(Clone, Debug, Default)]
pub struct TicketKeys {
    keys: Vec<Vec<u8>>,
}

impl TicketKeys {
    /// Keys, the newest first.
    pub fn new<S>(keys: &[S]) -> TicketKeys
    where
        S: AsRef<str>,
    {
        TicketKeys {
            keys: keys
                .iter()
                .map(|key| key.as_ref().as_bytes().to_vec())
                .collect(),
        }
    }

    /// Writes a ticket as an event id; none without a key.
    ///
    /// # Panics
    ///
    /// Never: a ticket has a form in MessagePack, and HMAC takes keys of any length.
    pub fn sign(&self, ticket: &Ticket) -> Option<String> {
        let key = self.keys.first()?;
        let mut bytes = rmp_serde::to_vec(ticket).expect("a ticket has a form");
        let signature = mac(key, &bytes).finalize().into_bytes();
        bytes.extend_from_slice(&signature[..SIGNATURE_BYTES]);
        Some(URL_SAFE_NO_PAD.encode(bytes))
    }

    /// Reads a ticket from an event id.
    ///
    /// # Errors
    ///
    /// An id that no key signed is not read any further.
    pub fn verify(&self, id: &str) -> Result<Ticket, TicketError> {
        let bytes = URL_SAFE_NO_PAD
            .decode(id)
            .map_err(|_| TicketError::Malformed)?;
        if bytes.len() <= SIGNATURE_BYTES {
            return Err(TicketError::Malformed);
        }
        let (data, signature) = bytes.split_at(bytes.len() - SIGNATURE_BYTES);
        // The comparison takes the same time whatever the signature.
        let signed = |key: &Vec<u8>| mac(key, data).verify_truncated_left(signature).is_ok();
        if !self.keys.iter().any(signed) {
            return Err(TicketError::Forged);
        }
        rmp_serde::from_slice(data).map_err(|_| TicketError::Malformed)
    }

    /// Reports whether there is no key, so that no tickets are given.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}

/// A running digest of an answer's tokens.
///
/// # Examples
///
/// ```
/// use cassiareel::kernel::ticket::TokenDigest;
///
/// let mut whole = TokenDigest::default();
/// whole.update(&[1, 2, 3]);
/// let mut parts = TokenDigest::default();
/// parts.update(&[1]);
/// parts.update(&[2, 3]);
/// assert_eq!(whole.value(), parts.value());
/// ```
#[derive(Clone, Debug, Default)]
pub struct TokenDigest {
    hash: Sha256,
}

impl TokenDigest {
    /// Adds the next tokens.
    pub fn update(&mut self, ids: &[TokenId]) {
        for id in ids {
            self.hash.update(id.to_le_bytes());
        }
    }

    /// The digest of the tokens so far.
    pub fn value(&self) -> ShortDigest {
        cut(&self.hash.clone().finalize())
    }
}

/// The digest of parts in order; the length of each counts.
pub fn short_digest(parts: &[&[u8]]) -> ShortDigest {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    cut(&hash.finalize())
}

fn cut(digest: &[u8]) -> ShortDigest {
    let mut short = ShortDigest::default();
    short.copy_from_slice(&digest[..DIGEST_BYTES]);
    short
}

fn mac(key: &[u8], data: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length");
    mac.update(data);
    mac
}
