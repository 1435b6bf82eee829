/*!
Storage of the tree in the object API.

An accepted tree is one revision. Its text is written first, as part objects named by their digests.
One conditional write of the head object then references the parts; this write accepts the revision.
Before it, readers see nothing of the edit. After it, every reader gets the whole edit, or detects
by the digests that it did not.

A writer whose answers the store loses does not know whether its write was applied. The head
contains a random nonce of the writer, so reading the head back shows whose write it is. The write
is conditional on the head's version, so trying it again is harmless.
*/

use std::{sync::Arc, time::Duration};

use serde_json::json;
use smol::Timer;

use super::{
    parts::{split_into_parts, text_digest, Part},
    units::Digest,
    AcceptedRevision, ApplyError, Head, LoadError, Tree,
};
use crate::{
    kernel::Revision,
    store::{Object, Objects, StoreError, StoreVersion},
};

/// The kind of the head object.
pub const HEAD_KIND: &str = "settings";

/// The name of the head object.
pub const HEAD_NAME: &str = "head";

/// The kind of part objects.
pub const PART_KIND: &str = "settingsparts";

/// The most tries of one call to the store before its error is returned.
const MAX_TRIES: usize = 6;

/// The delay before the second try of a call, before jitter. It doubles with each further try.
const BASE_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The longest delay before a further try, before jitter; also if the store asks for a longer one.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// A revision that was read from the store.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadedRevision {
    /// The head that lists it as the accepted revision.
    pub head: Head,
    /// The head's version in the store.
    pub version: StoreVersion,
    /// The tree's text.
    pub text: Arc<str>,
    /// The tree.
    pub tree: Tree,
}

impl LoadedRevision {
    /// Returns the revision number.
    pub fn revision(&self) -> Revision {
        self.head.accepted.revision
    }
}

/// Loads the accepted revision; `None` if no revision is accepted yet.
///
/// # Errors
///
/// Fails if the store fails, if a part is missing or does not match its digest, or if the head or
/// the tree is malformed.
pub async fn load(objects: &dyn Objects) -> Result<Option<LoadedRevision>, LoadError> {
    match read_object(objects, HEAD_KIND, HEAD_NAME).await? {
        Some(object) => load_from_head(objects, &object).await.map(Some),
        None => Ok(None),
    }
}

/// Loads the accepted revision of a head object, such as one received from a watch.
///
/// # Errors
///
/// Fails as [`load`] does.
pub async fn load_from_head(
    objects: &dyn Objects,
    object: &Object,
) -> Result<LoadedRevision, LoadError> {
    let (head, text) = match object.spec.get("tree").and_then(|tree| tree.as_str()) {
        // A head that was written without this tool may contain the whole tree.
        Some(text) => (head_of_whole_tree(object, text), text.to_owned()),
        None => {
            let head = Head::decode(object)?;
            let text = read_text(objects, &head.accepted).await?;
            (head, text)
        }
    };
    let tree = parse_accepted_tree(&text)?;
    Ok(LoadedRevision {
        head,
        version: object.version,
        text: text.into(),
        tree,
    })
}

/// Reads the tree of a revision that the head lists.
///
/// # Errors
///
/// Fails as [`load`] does.
pub async fn read_revision(
    objects: &dyn Objects,
    accepted: &AcceptedRevision,
) -> Result<Tree, LoadError> {
    parse_accepted_tree(&read_text(objects, accepted).await?)
}

/// Parses the text of an accepted revision, without the checks that an edit must pass.
///
/// A node uses an accepted revision even if a newer program would reject it as an edit.
///
/// # Errors
///
/// Fails if the text can't be parsed as a tree.
pub fn parse_accepted_tree(text: &str) -> Result<Tree, LoadError> {
    toml::from_str(text).map_err(|err| LoadError::Malformed {
        cause: err.message().to_owned(),
    })
}

/// Reports whether a text, such as one received from a peer, has the digest of a revision or part.
pub fn matches_digest(text: &str, digest: Digest) -> bool {
    text_digest(text) == digest
}

/// Returns a head for a head object that contains the whole tree.
fn head_of_whole_tree(object: &Object, text: &str) -> Head {
    Head {
        accepted: AcceptedRevision {
            revision: object.spec["revision"].as_u64().unwrap_or(0),
            digest: text_digest(text),
            parts: Vec::new(),
            author: "unknown".to_owned(),
            time: 0,
            note: String::new(),
            nonce: 0,
        },
        history: Vec::new(),
    }
}

/// Reads the text of a revision, and checks each part and the whole against their digests.
async fn read_text(
    objects: &dyn Objects,
    accepted: &AcceptedRevision,
) -> Result<String, LoadError> {
    let mut text = String::new();
    for part in &accepted.parts {
        let name = part.digest.to_string();
        let Some(object) = read_object(objects, PART_KIND, &name).await? else {
            return Err(LoadError::Missing { name });
        };
        match part_text(&object) {
            Some(found) if matches_digest(found, part.digest) => text.push_str(found),
            _ => return Err(LoadError::Damaged { name }),
        }
    }
    if matches_digest(&text, accepted.digest) {
        return Ok(text);
    }
    Err(LoadError::Damaged {
        name: HEAD_NAME.to_owned(),
    })
}

fn part_text(object: &Object) -> Option<&str> {
    object.spec["text"].as_str()
}

/// Reads an object; tries again if the store fails.
pub(super) async fn read_object(
    objects: &dyn Objects,
    kind: &str,
    name: &str,
) -> Result<Option<Object>, StoreError> {
    let mut tries = 0;
    loop {
        match objects.get(kind, name).await {
            Err(err) if tries + 1 < MAX_TRIES => wait_before_retry(&mut tries, &err).await,
            answer => return answer,
        }
    }
}

/// Waits before the next try. The delay doubles with each try, and is at least as long as a
/// throttling store asks for, up to [`MAX_RETRY_DELAY`]; jitter then adds up to as much again.
async fn wait_before_retry(tries: &mut usize, err: &StoreError) {
    let backoff = BASE_RETRY_DELAY * (1 << *tries);
    let requested = match err {
        StoreError::Throttled { wait } => *wait,
        _ => Duration::ZERO,
    };
    // The jitter keeps writers that failed at the same time from trying again at the same time.
    let wait = backoff
        .max(requested)
        .min(MAX_RETRY_DELAY)
        .mul_f64(1.0 + fastrand::f64());
    *tries += 1;
    Timer::after(wait).await;
}

/// Writes the parts that no revision of `current` references, and returns how many.
///
/// Such a part is written again, with a new time, even if the store has it already, since it may be
/// about to be deleted; see [`collect_unreferenced_parts`](super::collect_unreferenced_parts).
pub(super) async fn write_parts(
    objects: &dyn Objects,
    parts: &[Part<'_>],
    current: Option<&Head>,
    time: u64,
) -> Result<usize, StoreError> {
    let referenced = current.map(Head::referenced_parts).unwrap_or_default();
    let mut written = 0;
    for part in parts {
        if !referenced.contains(&part.reference.digest) {
            write_part(objects, part, time).await?;
            written += 1;
        }
    }
    Ok(written)
}

/// Writes one part, trying again until the store certainly has it with this time.
async fn write_part(objects: &dyn Objects, part: &Part<'_>, time: u64) -> Result<(), StoreError> {
    let name = part.reference.digest.to_string();
    let spec = json!({ "text": part.text, "time": time });
    let mut object = Object::new(PART_KIND, &name, spec);
    let mut tries = 0;
    loop {
        let answer = if object.version.is_none() {
            objects.create(&object).await
        } else {
            objects.update(&object).await
        };
        let err = match answer {
            Ok(_) => return Ok(()),
            Err(err) => err,
        };
        if tries + 1 >= MAX_TRIES || matches!(err, StoreError::Invalid { .. }) {
            return Err(err);
        }
        wait_before_retry(&mut tries, &err).await;
        let stored = read_object(objects, PART_KIND, &name).await?;
        if stored
            .as_ref()
            .is_some_and(|stored| stored.spec == object.spec)
        {
            return Ok(());
        }
        object.version = stored.map_or(StoreVersion::NONE, |stored| stored.version);
    }
}

/// The outcome of writing the head.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum HeadWrite {
    /// The revision is accepted.
    Accepted,
    /// Another writer wrote the head first; the revision is not accepted.
    Superseded,
}

/// Writes the head if it still has the given version; resolves lost answers by reading it back.
pub(super) async fn write_head(
    objects: &dyn Objects,
    head: &Head,
    version: StoreVersion,
) -> Result<HeadWrite, ApplyError> {
    let nonce = head.accepted.nonce;
    let mut object = Object::new(HEAD_KIND, HEAD_NAME, head.encode());
    object.version = version;
    let mut is_ambiguous = false;
    let mut tries = 0;
    loop {
        let answer = if version.is_none() {
            objects.create(&object).await
        } else {
            objects.update(&object).await
        };
        let err = match answer {
            Ok(_) => return Ok(HeadWrite::Accepted),
            Err(err @ StoreError::Invalid { .. }) => return Err(err.into()),
            Err(err) => err,
        };
        is_ambiguous |= matches!(err, StoreError::Ambiguous { .. });
        match objects.get(HEAD_KIND, HEAD_NAME).await {
            Ok(Some(stored)) if has_nonce(&stored, nonce) => return Ok(HeadWrite::Accepted),
            Ok(Some(stored)) if stored.version > version => return Ok(HeadWrite::Superseded),
            // The head is still the old one, or could not be read: the write can be tried again.
            _ => {}
        }
        if tries + 1 >= MAX_TRIES {
            return Err(match is_ambiguous {
                true => ApplyError::OutcomeUnknown {
                    revision: head.accepted.revision,
                    nonce,
                },
                false => err.into(),
            });
        }
        wait_before_retry(&mut tries, &err).await;
    }
}

/// Reports whether a head or its history contains the write with a nonce.
fn has_nonce(object: &Object, nonce: u64) -> bool {
    Head::decode(object).is_ok_and(|head| head.revisions().any(|old| old.nonce == nonce))
}

/// Splits a tree's text into parts for [`write_parts`].
pub(super) fn split_text(text: &str) -> Vec<Part<'_>> {
    split_into_parts(text)
}
