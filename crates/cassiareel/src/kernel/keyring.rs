//! Keys that the nodes of a fleet share, with rotation.

use std::fmt;

use hmac::{Hmac, Mac as _};
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// Bytes of a code: HMAC-SHA256 cut to half, as RFC 2104 allows.
pub const MAC_BYTES: usize = 16;

/// A code that proves that a holder of the key wrote some parts.
pub type Mac = [u8; MAC_BYTES];

/// The number of a key; codes carry it.
pub type KeyId = u8;

/// A secret with its number.
#[derive(Clone)]
struct Key {
    id: KeyId,
    mac: Hmac<Sha256>,
}

/// Keys of a fleet: the first one signs, all of them verify.
///
/// A key is rotated in three steps, each of them on every node before the next: the new key is
/// added behind the old one, the two change places, the old one is taken out.
///
/// # Examples
///
/// ```
/// use cassiareel::kernel::Keyring;
///
/// let old = Keyring::new(&[(1, b"first")]);
/// let both = Keyring::new(&[(2, b"second"), (1, b"first")]);
/// let (id, mac) = old.sign(&[b"text"]);
/// assert!(both.verify(id, &mac, &[b"text"]));
/// assert!(!both.verify(id, &mac, &[b"other"]));
/// ```
#[derive(Clone)]
pub struct Keyring {
    keys: Vec<Key>,
}

impl Keyring {
    /// A keyring of numbered secrets, the signing one first.
    ///
    /// # Panics
    ///
    /// Panics without any secret.
    pub fn new(secrets: &[(KeyId, &[u8])]) -> Keyring {
        assert!(!secrets.is_empty(), "a keyring needs a secret");
        let keys = secrets
            .iter()
            .map(|&(id, secret)| Key {
                id,
                // INVARIANT: HMAC takes keys of any length.
                mac: Hmac::new_from_slice(secret).expect("HMAC takes any key"),
            })
            .collect();
        Keyring { keys }
    }

    /// A keyring of one random secret, for a node without peers.
    pub fn random() -> Keyring {
        let secret: Vec<u8> = (0..32).map(|_| fastrand::u8(..)).collect();
        Keyring::new(&[(0, &secret)])
    }

    /// Signs parts; where one ends and the next begins counts too.
    pub fn sign(&self, parts: &[&[u8]]) -> (KeyId, Mac) {
        let key = &self.keys[0];
        (key.id, code(key, parts))
    }

    /// Reports whether a code of a key is that of the parts.
    pub fn verify(&self, id: KeyId, mac: &Mac, parts: &[&[u8]]) -> bool {
        self.keys
            .iter()
            .filter(|key| key.id == id)
            .any(|key| bool::from(code(key, parts).ct_eq(mac)))
    }
}

impl fmt::Debug for Keyring {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ids: Vec<KeyId> = self.keys.iter().map(|key| key.id).collect();
        f.debug_struct("Keyring").field("ids", &ids).finish()
    }
}

/// The code of parts, each preceded by its length.
fn code(key: &Key, parts: &[&[u8]]) -> Mac {
    let mut mac = key.mac.clone();
    for part in parts {
        mac.update(&(part.len() as u64).to_le_bytes());
        mac.update(part);
    }
    let whole = mac.finalize().into_bytes();
    let mut cut = [0; MAC_BYTES];
    cut.copy_from_slice(&whole[..MAC_BYTES]);
    cut
}
