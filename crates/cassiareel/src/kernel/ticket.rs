//! The signed resume ticket that is sent as the id of an event.

use std::net::SocketAddr;

use base64::{engine::general_purpose::URL_SAFE_NO_PAD, Engine as _};
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use snafu::Snafu;

use crate::kernel::{Attempt, Position, RequestId, TokenId, VersionId};

/// Length of a signature in bytes: HMAC-SHA-256 truncated to half its length (RFC 2104, section 5).
const SIGNATURE_BYTES: usize = 16;

/// Length of a digest in a ticket, in bytes.
const DIGEST_BYTES: usize = 16;

/// A digest truncated to the length used in tickets.
pub type ShortDigest = [u8; DIGEST_BYTES];

/// The state of an answer, for any node that the caller reconnects to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ticket {
    /// Digest of the client account and caller.
    pub owner: ShortDigest,
    /// Digest of the request body, so that a ticket can't continue a different request.
    pub body: ShortDigest,
    /// The generation.
    pub generation: RequestId,
    /// The version, which is fixed for the life of the generation.
    pub version: VersionId,
    /// The address of the engine.
    pub backend: SocketAddr,
    /// The attempt whose stream runs on the engine.
    pub attempt: Attempt,
    /// Number of tokens that the caller has, including those of this event.
    pub position: Position,
    /// Bytes of text that the caller has, including that of this event.
    pub text: u32,
    /// Digest of the tokens that the caller has.
    pub tokens: ShortDigest,
}

/// The error for an event id that is not a valid ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum TicketError {
    /// The id is not in the format of a ticket.
    #[snafu(display("the event id is not a ticket"))]
    Malformed,
    /// No key in the settings has signed the ticket.
    #[snafu(display("the ticket's signature is not right"))]
    Forged,
}

/// The keys that sign and verify tickets, the newest first.
///
/// The first key signs and all keys verify. To replace a key, add the new one at the front and
/// remove the old one once no answer from its time is still running.
///
/// # Examples
///
/// ```
/// use cassiareel::kernel::ticket::{Ticket, TicketKeys};
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
    /// Creates the keys from their texts, the newest first.
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

    /// Encodes and signs a ticket as an event id. Returns `None` if there is no key.
    ///
    /// # Panics
    ///
    /// Never panics, since every ticket can be encoded as MessagePack and HMAC accepts keys of any
    /// length.
    pub fn sign(&self, ticket: &Ticket) -> Option<String> {
        let key = self.keys.first()?;
        let mut bytes = rmp_serde::to_vec(ticket).expect("a ticket can be encoded as MessagePack");
        let signature = keyed_mac(key, &bytes).finalize().into_bytes();
        bytes.extend_from_slice(&signature[..SIGNATURE_BYTES]);
        Some(URL_SAFE_NO_PAD.encode(bytes))
    }

    /// Verifies the signature of an event id and decodes its ticket.
    ///
    /// # Errors
    ///
    /// Fails if the id is malformed or none of the keys signed it. Unsigned data is not decoded.
    pub fn verify(&self, id: &str) -> Result<Ticket, TicketError> {
        let bytes = URL_SAFE_NO_PAD
            .decode(id)
            .map_err(|_| TicketError::Malformed)?;
        if bytes.len() <= SIGNATURE_BYTES {
            return Err(TicketError::Malformed);
        }
        let (data, signature) = bytes.split_at(bytes.len() - SIGNATURE_BYTES);
        // The comparison takes constant time.
        let signed = |key: &Vec<u8>| {
            keyed_mac(key, data)
                .verify_truncated_left(signature)
                .is_ok()
        };
        if !self.keys.iter().any(signed) {
            return Err(TicketError::Forged);
        }
        rmp_serde::from_slice(data).map_err(|_| TicketError::Malformed)
    }

    /// Reports whether there are no keys, so that no tickets are issued.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}

/// An incremental digest of the tokens of an answer.
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

    /// Returns the digest of the tokens added so far.
    pub fn value(&self) -> ShortDigest {
        truncate(&self.hash.clone().finalize())
    }
}

/// Returns the digest of a sequence of parts. It includes the length of each part.
pub fn short_digest(parts: &[&[u8]]) -> ShortDigest {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    truncate(&hash.finalize())
}

fn truncate(digest: &[u8]) -> ShortDigest {
    let mut short = ShortDigest::default();
    short.copy_from_slice(&digest[..DIGEST_BYTES]);
    short
}

fn keyed_mac(key: &[u8], data: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC accepts keys of any length");
    mac.update(data);
    mac
}
