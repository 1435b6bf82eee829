/*!
Tickets that let any node go on with a generation.

Each event of a streamed answer carries a ticket as its id. A caller that lost its connection sends
the last one back, to any node, with the same request. The ticket names the engine's stream and how
far the caller has come, so that nothing need be replicated; a code over the ticket, the caller and
the request proves that a node of the fleet wrote it for this very request.
*/

use base64::{engine::general_purpose::URL_SAFE_NO_PAD, Engine as _};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use xxhash_rust::xxh3::Xxh3;

use super::{
    keyring::{KeyId, Keyring, Mac},
    Attempt, BackendId, Position, RequestId, VersionId,
};

/// The longest ticket that is read, in bytes.
const TICKET_BYTES: usize = 512;

/// How far a caller has come with a generation, and where it runs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ticket {
    /// The name of the generation at its engine.
    pub generation: RequestId,
    /// The attempt.
    pub attempt: Attempt,
    /// The engine.
    pub backend: BackendId,
    /// The version, which stays.
    pub version: VersionId,
    /// Tokens that the caller has.
    pub position: Position,
    /// Bytes of text that the caller has.
    pub text: u32,
    /// The digest of that text.
    pub digest: u128,
}

/// What a ticket holds for: a caller's request.
#[derive(Clone, Copy, Debug)]
pub struct Binding<'a> {
    /// The client account.
    pub account: &'a str,
    /// The caller.
    pub caller: &'a str,
    /// The digest of the request.
    pub request: &'a [u8],
}

/// Why a ticket is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum TicketError {
    /// It is not in the form of a ticket.
    #[snafu(display("the event id is not one that a node gave"))]
    Malformed,
    /// No key of the fleet wrote it for this caller and request.
    #[snafu(display("the event id does not belong to this caller's request"))]
    Foreign,
}

/// A ticket as it is written: the contents, the key's number, the code.
#[derive(Deserialize, Serialize)]
struct Sealed<'a>(#[serde(with = "serde_bytes_ref")] &'a [u8], KeyId, Mac);

impl Ticket {
    /// Writes the ticket for a caller's request, in characters that an event's id may have.
    pub fn seal(&self, keyring: &Keyring, binding: &Binding) -> String {
        // INVARIANT: strings and numbers always have a MessagePack form.
        let contents = rmp_serde::to_vec(self).expect("a ticket is MessagePack");
        let (key, mac) = keyring.sign(&binding.parts(&contents));
        let sealed = Sealed(&contents, key, mac);
        URL_SAFE_NO_PAD.encode(rmp_serde::to_vec(&sealed).expect("a ticket is MessagePack"))
    }

    /// Reads a ticket and checks that it was written for this caller's request.
    ///
    /// # Errors
    ///
    /// Fails for any other text.
    pub fn open(text: &str, keyring: &Keyring, binding: &Binding) -> Result<Ticket, TicketError> {
        if text.len() > TICKET_BYTES {
            return Err(TicketError::Malformed);
        }
        let bytes = URL_SAFE_NO_PAD
            .decode(text)
            .map_err(|_| TicketError::Malformed)?;
        let Sealed(contents, key, mac) =
            rmp_serde::from_slice(&bytes).map_err(|_| TicketError::Malformed)?;
        if !keyring.verify(key, &mac, &binding.parts(contents)) {
            return Err(TicketError::Foreign);
        }
        rmp_serde::from_slice(contents).map_err(|_| TicketError::Malformed)
    }
}

impl<'a> Binding<'a> {
    fn parts(&self, contents: &'a [u8]) -> [&'a [u8]; 4] {
        [
            contents,
            self.account.as_bytes(),
            self.caller.as_bytes(),
            self.request,
        ]
    }
}

/// The digest of text that grows.
///
/// It is no secret and guards against mistakes only: a caller that forges its own text harms none
/// but its own answer, so that a fast hash will do.
#[derive(Clone, Default)]
pub struct TextDigest {
    hash: Xxh3,
}

impl TextDigest {
    /// Adds text.
    pub fn push(&mut self, text: &str) {
        self.hash.update(text.as_bytes());
    }

    /// The digest of all text so far.
    pub fn value(&self) -> u128 {
        self.hash.digest128()
    }
}

/// Byte strings in MessagePack, borrowed when read.
mod serde_bytes_ref {
    use serde::{Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<S>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_bytes(bytes)
    }

    pub(super) fn deserialize<'de, D>(deserializer: D) -> Result<&'de [u8], D::Error>
    where
        D: Deserializer<'de>,
    {
        <&[u8]>::deserialize(deserializer)
    }
}
