/*!
What a request asks for, whatever its id.

A caller that comes back sends the same work under another id, at any node. The digest is the same for
all of its attempts, and differs between client accounts, so that none can be held for what another one
sends.
*/

use cassiareel::kernel::ticket::ShortDigest;
use http::{Method, Uri};
use xxhash_rust::xxh3::Xxh3;

use crate::model::RequestHead;

/// The digest of a request beneath its client account.
pub(super) fn digest(
    ask: &RequestHead,
    tenant: Option<&str>,
    method: &Method,
    target: &Uri,
    body: &[u8],
) -> ShortDigest {
    let target = target.path_and_query().map_or("/", |path| path.as_str());
    let parts = [
        tenant.unwrap_or_default().as_bytes(),
        ask.host.as_bytes(),
        method.as_str().as_bytes(),
        target.as_bytes(),
        body,
    ];
    let mut hasher = Xxh3::new();
    for part in parts {
        // The length keeps the end of one part apart from the start of the next.
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest128().to_le_bytes()
}

/// The start of a digest as logs have it, long enough to tell requests of a day apart.
pub(super) fn short_hex(content: &ShortDigest) -> String {
    content[..8]
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}
