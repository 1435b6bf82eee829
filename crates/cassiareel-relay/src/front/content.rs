/*!
Identifies the work of a request independently of its request id.

A caller that retries sends the same work under another id, and possibly to another node. The digest
is the same for all attempts at the same work. It differs between client accounts, so that no
account is quarantined for requests that another account sends.
*/

use std::sync::Arc;

use cassiareel::kernel::{suspect::PartKey, ticket::ShortDigest};
use http::{Method, Uri};
use xxhash_rust::xxh3::{xxh3_64_with_seed, Xxh3};

use crate::model::{Prompt, RequestHead};

/// Returns the digest of a request, which includes its client account.
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
        // The length prefix keeps bytes from moving between adjacent parts without changing the
        // digest.
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest128().to_le_bytes()
}

/// Returns the keys of the parts of a prompt in order. The last part is left out, since it belongs to
/// the request alone. A part has another key at each service, whose models differ.
pub(super) fn part_keys(prompt: &Prompt, service: &str) -> Arc<[PartKey]> {
    let parts = prompt.parts.iter().map(|(id, _)| *id);
    let shared = parts.take(prompt.parts.len().saturating_sub(1));
    shared
        .map(|id| xxh3_64_with_seed(service.as_bytes(), id))
        .collect()
}

/// Returns the first 8 bytes of a digest in hexadecimal for logs, long enough to distinguish the
/// requests of a day.
pub(super) fn short_hex(content: &ShortDigest) -> String {
    content[..8]
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}
