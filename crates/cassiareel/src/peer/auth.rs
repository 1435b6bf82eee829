//! Keyed digests that authenticate messages between nodes.

use hmac::{Hmac, Mac};
use sha2::Sha256;
use snafu::Snafu;

/// Minimum length of a key, which is the length of a SHA-256 digest.
const MIN_KEY_BYTES: usize = 32;

/// An error in a list of keys.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum KeysError {
    /// The list is empty.
    #[snafu(display("no peer key is given; give one of 64 hexadecimal digits"))]
    Missing,
    /// A key is not hexadecimal or is too short.
    #[snafu(display("peer key {number} is not at least 64 hexadecimal digits"))]
    Malformed {
        /// The key's position in the list, from 1.
        number: usize,
    },
}

/// The secret keys that the nodes share.
///
/// Messages are signed with the first key and accepted with any of them. A key is rotated in three
/// steps, each of which is in force on every node before the next: append the new key, move it to the
/// front, remove the old one.
///
/// # Examples
///
/// ```
/// use cassiareel::peer::Keys;
///
/// let old = Keys::new(&["00".repeat(32)]).unwrap();
/// let both = Keys::new(&["11".repeat(32), "00".repeat(32)]).unwrap();
/// let digest = old.sign("/peer/exchange", b"body");
/// assert!(both.accepts("/peer/exchange", b"body", &digest));
/// assert!(!both.accepts("/peer/exchange", b"other", &digest));
/// ```
#[derive(Clone)]
pub struct Keys {
    keys: Vec<Vec<u8>>,
}

impl Keys {
    /// Parses keys in hexadecimal.
    ///
    /// # Errors
    ///
    /// Returns an error if the list is empty, or for the first key that is not hexadecimal or shorter
    /// than 32 bytes.
    pub fn new<S>(keys: &[S]) -> Result<Keys, KeysError>
    where
        S: AsRef<str>,
    {
        if keys.is_empty() {
            return Err(KeysError::Missing);
        }
        let keys = keys
            .iter()
            .enumerate()
            .map(|(i, key)| {
                hex::decode(key.as_ref())
                    .ok()
                    .filter(|key| key.len() >= MIN_KEY_BYTES)
                    .ok_or(KeysError::Malformed { number: i + 1 })
            })
            .collect::<Result<_, _>>()?;
        Ok(Keys { keys })
    }

    /// Returns the digest of a body that is sent to a path, in hexadecimal.
    pub fn sign(&self, path: &str, body: &[u8]) -> String {
        let mac = mac(&self.keys[0], path, body);
        hex::encode(mac.finalize().into_bytes())
    }

    /// Reports whether a digest was made with one of the keys. Each comparison takes constant time.
    pub fn accepts(&self, path: &str, body: &[u8], digest: &str) -> bool {
        let Ok(digest) = hex::decode(digest) else {
            return false;
        };
        self.keys
            .iter()
            .any(|key| mac(key, path, body).verify_slice(&digest).is_ok())
    }
}

impl std::fmt::Debug for Keys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Keys({})", self.keys.len())
    }
}

fn mac(key: &[u8], path: &str, body: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC accepts keys of any length");
    mac.update(path.as_bytes());
    mac.update(b"\n");
    mac.update(body);
    mac
}
