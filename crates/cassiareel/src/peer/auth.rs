//! Keyed digests of messages between nodes.

use hmac::{Hmac, Mac};
use sha2::Sha256;
use snafu::Snafu;

/// The shortest key in bytes: that of the digest.
const SHORTEST: usize = 32;

/// Why keys can't be used.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum BadKeys {
    /// There is none.
    #[snafu(display("no peer key is given; give one of 64 hexadecimal digits"))]
    Missing,
    /// One is not hexadecimal or too short.
    #[snafu(display("peer key {number} is not at least 64 hexadecimal digits"))]
    Malformed {
        /// Its place in the list, from 1.
        number: usize,
    },
}

/// The keys that nodes share.
///
/// The first signs, each is accepted. A key is rotated in three steps, each in force on every node
/// before the next: add the new key at the end, move it to the front, drop the old one.
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
    /// Reads keys in hexadecimal.
    ///
    /// # Errors
    ///
    /// Names the first key that can't be used.
    pub fn new<S>(keys: &[S]) -> Result<Keys, BadKeys>
    where
        S: AsRef<str>,
    {
        if keys.is_empty() {
            return Err(BadKeys::Missing);
        }
        let keys = keys
            .iter()
            .enumerate()
            .map(|(i, key)| {
                hex::decode(key.as_ref())
                    .ok()
                    .filter(|key| key.len() >= SHORTEST)
                    .ok_or(BadKeys::Malformed { number: i + 1 })
            })
            .collect::<Result<_, _>>()?;
        Ok(Keys { keys })
    }

    /// The digest of a body sent to a path, in hexadecimal.
    pub fn sign(&self, path: &str, body: &[u8]) -> String {
        let mac = mac(&self.keys[0], path, body);
        hex::encode(mac.finalize().into_bytes())
    }

    /// Reports whether a digest was made with one of the keys, in constant time for each.
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
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("any length of key will do");
    mac.update(path.as_bytes());
    mac.update(b"\n");
    mac.update(body);
    mac
}
