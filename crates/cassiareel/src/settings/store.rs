/*!
The tree in the object API.

An accepted configuration is one revision. Its text goes first, as part objects named by their
digests; then one conditional write of the head object names the parts, and that write is the
acceptance. Until it, nobody sees anything of the edit; after it, every reader gets all of it, or
sees by the digests that it has not.

A store that loses answers leaves the writer in doubt. The head carries a random number of the
author's, so that reading it back tells whose write it is; the condition on its version makes a
second try harmless.
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

/// Tries of one call before its error counts.
const TRIES: usize = 6;

/// Pause before the second try of a call; it doubles with each further one.
const PAUSE: Duration = Duration::from_millis(20);

/// The longest pause that a throttled call waits.
const PAUSE_MAX: Duration = Duration::from_secs(5);

/// A revision as it was read.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadedRevision {
    /// The head that names it.
    pub head: Head,
    /// The head's version in the store.
    pub version: StoreVersion,
    /// The tree's text.
    pub text: Arc<str>,
    /// The tree.
    pub tree: Tree,
}

impl LoadedRevision {
    /// The revision.
    pub fn revision(&self) -> Revision {
        self.head.accepted.revision
    }
}

/// Reads the accepted revision; none where there is none yet.
///
/// # Errors
///
/// Fails where the store does, and where a part is missing or is not what the head names.
pub async fn load(objects: &dyn Objects) -> Result<Option<LoadedRevision>, LoadError> {
    match read(objects, HEAD_KIND, HEAD_NAME).await? {
        Some(object) => load_from_head(objects, &object).await.map(Some),
        None => Ok(None),
    }
}

/// Reads the revision that a head object names, such as one that a watch gave.
///
/// # Errors
///
/// As [`load`].
pub async fn load_from_head(
    objects: &dyn Objects,
    object: &Object,
) -> Result<LoadedRevision, LoadError> {
    let (head, text) = match object.spec.get("tree").and_then(|tree| tree.as_str()) {
        // A head may hold the whole tree, as somebody without this tool writes it.
        Some(text) => (whole_head(object, text), text.to_owned()),
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

/// Reads an earlier revision that the head remembers.
///
/// # Errors
///
/// As [`load`].
pub async fn read_revision(
    objects: &dyn Objects,
    accepted: &AcceptedRevision,
) -> Result<Tree, LoadError> {
    parse_accepted_tree(&read_text(objects, accepted).await?)
}

/// Reads a tree from the text of an accepted revision, without the checks that an edit must pass.
///
/// A node runs an accepted revision even where a newer program would refuse to accept it.
///
/// # Errors
///
/// Fails where the text is no tree.
pub fn parse_accepted_tree(text: &str) -> Result<Tree, LoadError> {
    toml::from_str(text).map_err(|err| LoadError::Malformed {
        cause: err.message().to_owned(),
    })
}

/// Checks a text against the digest of an accepted revision, such as a peer gives it.
pub fn matches_digest(text: &str, digest: Digest) -> bool {
    text_digest(text) == digest
}

/// The head that stands for a whole tree in the head object.
fn whole_head(object: &Object, text: &str) -> Head {
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

async fn read_text(
    objects: &dyn Objects,
    accepted: &AcceptedRevision,
) -> Result<String, LoadError> {
    let mut text = String::new();
    for part in &accepted.parts {
        let name = part.digest.to_string();
        let Some(object) = read(objects, PART_KIND, &name).await? else {
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

/// Reads an object, trying again where the store is briefly away.
pub(super) async fn read(
    objects: &dyn Objects,
    kind: &str,
    name: &str,
) -> Result<Option<Object>, StoreError> {
    let mut tries = 0;
    loop {
        match objects.get(kind, name).await {
            Err(err) if tries + 1 < TRIES => pause(&mut tries, &err).await,
            answer => return answer,
        }
    }
}

/// Waits before the next try; longer each time, and as long as a throttling store asks.
async fn pause(tries: &mut usize, err: &StoreError) {
    let own = PAUSE * (1 << *tries);
    let asked = match err {
        StoreError::Throttled { wait } => *wait,
        _ => Duration::ZERO,
    };
    // The random part keeps writers that failed together from coming back together.
    let wait = own.max(asked).min(PAUSE_MAX).mul_f64(1.0 + fastrand::f64());
    *tries += 1;
    Timer::after(wait).await;
}

/// Writes the parts of a text that the store lacks or might soon lose.
///
/// A part that no revision of `current` needs may be about to be collected, so it is written again
/// with a new time even where it exists; see [`collect_unreferenced_parts`](super::collect_unreferenced_parts).
pub(super) async fn write_parts(
    objects: &dyn Objects,
    parts: &[Part<'_>],
    current: Option<&Head>,
    time: u64,
) -> Result<usize, StoreError> {
    let needed = current.map(Head::needed).unwrap_or_default();
    let mut written = 0;
    for part in parts {
        if !needed.contains(&part.reference.digest) {
            write_part(objects, part, time).await?;
            written += 1;
        }
    }
    Ok(written)
}

/// Writes one part until it certainly stands in the store with this time.
async fn write_part(objects: &dyn Objects, part: &Part<'_>, time: u64) -> Result<(), StoreError> {
    let name = part.reference.digest.to_string();
    let spec = json!({ "text": part.text, "time": time });
    let mut object = Object::new(PART_KIND, &name, spec);
    let mut tries = 0;
    loop {
        let answer = match object.version {
            0 => objects.create(&object).await,
            _ => objects.update(&object).await,
        };
        let err = match answer {
            Ok(_) => return Ok(()),
            Err(err) => err,
        };
        if tries + 1 >= TRIES || matches!(err, StoreError::Invalid { .. }) {
            return Err(err);
        }
        pause(&mut tries, &err).await;
        let kept = read(objects, PART_KIND, &name).await?;
        if kept.as_ref().is_some_and(|kept| kept.spec == object.spec) {
            return Ok(());
        }
        object.version = kept.map_or(0, |kept| kept.version);
    }
}

/// What became of the head's write.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Acceptance {
    /// The revision is accepted.
    Done,
    /// Another writer was first.
    Lost,
}

/// Writes the head on the condition that nobody else has, and settles lost answers by reading back.
pub(super) async fn accept(
    objects: &dyn Objects,
    head: &Head,
    version: StoreVersion,
) -> Result<Acceptance, ApplyError> {
    let nonce = head.accepted.nonce;
    let mut object = Object::new(HEAD_KIND, HEAD_NAME, head.encode());
    object.version = version;
    let mut in_doubt = false;
    let mut tries = 0;
    loop {
        let answer = match version {
            0 => objects.create(&object).await,
            _ => objects.update(&object).await,
        };
        let err = match answer {
            Ok(_) => return Ok(Acceptance::Done),
            Err(err @ StoreError::Invalid { .. }) => return Err(err.into()),
            Err(err) => err,
        };
        in_doubt |= matches!(err, StoreError::Ambiguous { .. });
        match objects.get(HEAD_KIND, HEAD_NAME).await {
            Ok(Some(kept)) if names(&kept, nonce) => return Ok(Acceptance::Done),
            Ok(Some(kept)) if kept.version > version => return Ok(Acceptance::Lost),
            // Still the old head, or no answer: the same write can be tried again.
            _ => {}
        }
        if tries + 1 >= TRIES {
            return Err(match in_doubt {
                true => ApplyError::OutcomeUnknown {
                    revision: head.accepted.revision,
                    nonce,
                },
                false => err.into(),
            });
        }
        pause(&mut tries, &err).await;
    }
}

/// Reports whether a head or its history holds an author's write.
fn names(object: &Object, nonce: u64) -> bool {
    Head::decode(object).is_ok_and(|head| head.revisions().any(|old| old.nonce == nonce))
}

/// Cuts a tree's text into parts for [`write_parts`].
pub(super) fn cut(text: &str) -> Vec<Part<'_>> {
    split_into_parts(text)
}
