/*!
Application of an edit: accepts it as the next revision, or rejects it with both sides' changes.

An edit names the revision that it was made from, its base. If the base is still the accepted
revision, the edit becomes the next one. Otherwise, the edit's changes and those of the revisions
accepted since are compared by path, both against the base. If no paths conflict and the author asks
for a rebase, the edit is applied on top of the accepted revision. Any other edit is rejected, with
the changes of both sides.
*/

use std::time::{Duration, Instant};

use super::{
    collect::collect_unreferenced_parts,
    diff, patch, read_revision, store,
    store::{write_head, write_parts, HeadWrite},
    text_digest, AcceptedRevision, ApplyError, Change, Head, LoadedRevision, PartRef, Tree,
};
use crate::{
    kernel::{next_number, Revision},
    store::{Objects, StoreVersion},
};

/// The longest time to write an edit's parts before the head is written.
///
/// Well below [`PART_GRACE_PERIOD`](super::PART_GRACE_PERIOD), after which unreferenced parts are
/// deleted.
const MAX_WRITE_TIME: Duration = Duration::from_secs(600);

/// The most tries to accept an edit when other edits are accepted first.
const MAX_ACCEPT_TRIES: usize = 8;

/// Unreferenced parts are deleted after every revision that is a multiple of this.
const REVISIONS_PER_COLLECTION: Revision = 20;

/// An edit of the tree.
#[derive(Clone, Debug, PartialEq)]
pub struct Edit {
    /// The revision that it was made from; `None` for the first tree of a store.
    pub base: Option<Revision>,
    /// The whole edited tree.
    pub tree: Tree,
    /// The author.
    pub author: String,
    /// The author's note on the edit.
    pub note: String,
    /// When the edit is applied, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Whether it may be applied on top of edits that changed other paths.
    pub rebase: bool,
}

/// The result of an applied edit.
#[derive(Clone, Debug, PartialEq)]
pub struct Applied {
    /// The accepted revision.
    pub revision: Revision,
    /// The changes; empty if the accepted tree was equal already and no revision was created.
    pub changes: Vec<Change>,
    /// The number of part objects that were written.
    pub parts_written: usize,
}

/// Applies an edit as the next revision.
///
/// # Errors
///
/// Fails with [`ApplyError::Conflict`] if another edit was accepted after the base. Fails with
/// [`ApplyError::OutcomeUnknown`] if the store's answers were lost and the head can't be read back;
/// the edit may then be accepted. After any other error, the accepted revision is unchanged.
pub async fn apply(objects: &dyn Objects, edit: &Edit) -> Result<Applied, ApplyError> {
    edit.tree.check()?;
    for _ in 0..MAX_ACCEPT_TRIES {
        let current = store::load(objects).await?;
        let tree = rebase_tree(objects, edit, current.as_ref()).await?;
        if let Some(applied) = try_accept(objects, edit, &tree, current).await? {
            return Ok(applied);
        }
    }
    Err(ApplyError::Contended)
}

/// Returns the tree to accept: the edited tree, or the accepted tree with the edit's changes.
async fn rebase_tree(
    objects: &dyn Objects,
    edit: &Edit,
    current: Option<&LoadedRevision>,
) -> Result<Tree, ApplyError> {
    let (base, current) = match (edit.base, current) {
        (None, None) => return Ok(edit.tree.clone()),
        (Some(base), None) => return Err(ApplyError::UnknownBase { base, oldest: 0 }),
        (None, Some(current)) => {
            return Err(ApplyError::MissingBase {
                accepted: current.revision(),
            })
        }
        (Some(base), Some(current)) => (base, current),
    };
    if base == current.revision() {
        return Ok(edit.tree.clone());
    }
    let Some(base_revision) = current.head.find(base) else {
        let oldest = current
            .head
            .revisions()
            .last()
            .map_or(0, |old| old.revision);
        return Err(ApplyError::UnknownBase { base, oldest });
    };
    let base_tree = read_revision(objects, base_revision).await?;
    let theirs = diff(&base_tree, &current.tree);
    let yours = diff(&base_tree, &edit.tree);
    let overlap = yours
        .iter()
        .any(|own| theirs.iter().any(|change| own.conflicts_with(change)));
    if overlap || !edit.rebase {
        return Err(ApplyError::Conflict {
            base,
            accepted: Box::new(current.head.accepted.clone()),
            theirs,
            yours,
            overlap,
        });
    }
    Ok(patch(&current.tree, &yours)?)
}

/// Writes a tree as the next revision; `None` if another writer's revision was accepted first.
async fn try_accept(
    objects: &dyn Objects,
    edit: &Edit,
    tree: &Tree,
    current: Option<LoadedRevision>,
) -> Result<Option<Applied>, ApplyError> {
    let start = Instant::now();
    let (version, head, old_tree) = match current {
        Some(current) => {
            let head = ensure_parts(objects, current.head, &current.text, edit.time_ms).await?;
            (current.version, Some(head), current.tree)
        }
        None => (StoreVersion::NONE, None, Tree::default()),
    };
    let changes = diff(&old_tree, tree);
    if let (Some(head), true) = (&head, changes.is_empty()) {
        return Ok(Some(Applied {
            revision: head.accepted.revision,
            changes,
            parts_written: 0,
        }));
    }
    let text = tree.to_toml();
    let parts = store::split_text(&text);
    let written = write_parts(objects, &parts, head.as_ref(), edit.time_ms).await?;
    if start.elapsed() > MAX_WRITE_TIME {
        return Err(ApplyError::TimedOut);
    }
    let last = head.as_ref().map_or(0, |head| head.accepted.revision);
    // The writes above have shown the store's era; an existing head is replaced in its own era only.
    let era = if version.is_none() {
        objects.era()
    } else {
        version.era()
    };
    let revision = next_number(last, era);
    let references = parts.iter().map(|part| part.reference.clone()).collect();
    let accepted = accepted_revision(edit, revision, &text, references);
    let next = Head::next(head.as_ref(), accepted);
    match write_head(objects, &next, version).await? {
        HeadWrite::Superseded => return Ok(None),
        HeadWrite::Accepted => {}
    }
    if revision % REVISIONS_PER_COLLECTION == 0 {
        // A failure is ignored: parts that are left now are deleted by a later collection.
        let _ = collect_unreferenced_parts(objects, edit.time_ms).await;
    }
    Ok(Some(Applied {
        revision,
        changes,
        parts_written: written,
    }))
}

/// Writes the parts of an accepted revision whose whole tree is in the head object, so that it can
/// be read back from the history.
async fn ensure_parts(
    objects: &dyn Objects,
    head: Head,
    text: &str,
    time: u64,
) -> Result<Head, ApplyError> {
    if !head.accepted.parts.is_empty() {
        return Ok(head);
    }
    let parts = store::split_text(text);
    write_parts(objects, &parts, None, time).await?;
    let parts = parts.iter().map(|part| part.reference.clone()).collect();
    let accepted = AcceptedRevision {
        parts,
        ..head.accepted
    };
    Ok(Head { accepted, ..head })
}

fn accepted_revision(
    edit: &Edit,
    revision: Revision,
    text: &str,
    parts: Vec<PartRef>,
) -> AcceptedRevision {
    AcceptedRevision {
        revision,
        digest: text_digest(text),
        parts,
        author: edit.author.clone(),
        time: edit.time_ms,
        note: edit.note.clone(),
        nonce: fastrand::u64(1..),
    }
}
