/*!
Accepting an edit, or refusing it with both sides shown.

An edit says which revision it was made from. Where the accepted revision is still that one, the
edit becomes the next. Where it is not, both edits are compared by path against the revision that
they share: an edit that touches nothing the others touched may be made on top of theirs if its
author asks for it; any other is refused, with both edits.
*/

use std::time::{Duration, Instant};

use super::{
    collect::collect_unreferenced_parts,
    diff, patch, read_revision, store,
    store::{accept, write_parts, Acceptance},
    text_digest, AcceptedRevision, ApplyError, Change, Head, LoadedRevision, PartRef, Tree,
};
use crate::{kernel::Revision, store::Objects};

/// Time in which an edit has to be accepted after its first part was written.
///
/// Well under the age at which parts are collected.
const ACCEPT_LIMIT: Duration = Duration::from_secs(600);

/// Edits of others that one edit is made on top of before it gives up.
const REBASES: usize = 8;

/// One revision in so many collects parts that nothing needs.
const COLLECT_EVERY: Revision = 20;

/// An edit.
#[derive(Clone, Debug, PartialEq)]
pub struct Edit {
    /// The revision that it was made from; none for the first tree of a store.
    pub base: Option<Revision>,
    /// The whole tree, edited.
    pub tree: Tree,
    /// Who makes it.
    pub author: String,
    /// What the author says of it.
    pub note: String,
    /// When, in milliseconds since 1970.
    pub time_ms: u64,
    /// Whether it may be made on top of edits that touch other paths.
    pub rebase: bool,
}

/// What an edit became.
#[derive(Clone, Debug, PartialEq)]
pub struct Applied {
    /// The accepted revision.
    pub revision: Revision,
    /// What it changed; empty where the tree was so already and no revision was made.
    pub changes: Vec<Change>,
    /// Part objects that were written.
    pub parts_written: usize,
}

/// Accepts an edit as the next revision.
///
/// # Errors
///
/// Fails with [`ApplyError::Conflict`] where others have edited meanwhile, with
/// [`ApplyError::OutcomeUnknown`] where the store's answers were lost and the head can't be read back, and
/// otherwise with nothing changed.
pub async fn apply(objects: &dyn Objects, edit: &Edit) -> Result<Applied, ApplyError> {
    edit.tree.check()?;
    for _ in 0..REBASES {
        let current = store::load(objects).await?;
        let tree = on_top(objects, edit, current.as_ref()).await?;
        if let Some(applied) = try_accept(objects, edit, &tree, current).await? {
            return Ok(applied);
        }
    }
    Err(ApplyError::Contended)
}

/// The tree that is to be accepted: the edit's, or the accepted one with the edit's changes.
async fn on_top(
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
    let Some(shared) = current.head.find(base) else {
        let oldest = current
            .head
            .revisions()
            .last()
            .map_or(0, |old| old.revision);
        return Err(ApplyError::UnknownBase { base, oldest });
    };
    let shared = read_revision(objects, shared).await?;
    let theirs = diff(&shared, &current.tree);
    let yours = diff(&shared, &edit.tree);
    let overlap = yours
        .iter()
        .any(|mine| theirs.iter().any(|change| mine.conflicts_with(change)));
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

/// Writes a tree as the next revision; none where another writer was first.
async fn try_accept(
    objects: &dyn Objects,
    edit: &Edit,
    tree: &Tree,
    current: Option<LoadedRevision>,
) -> Result<Option<Applied>, ApplyError> {
    let start = Instant::now();
    let (version, head, before) = match current {
        Some(current) => {
            let head = with_parts(objects, current.head, &current.text, edit.time_ms).await?;
            (current.version, Some(head), current.tree)
        }
        None => (0, None, Tree::default()),
    };
    let changes = diff(&before, tree);
    if let (Some(head), true) = (&head, changes.is_empty()) {
        return Ok(Some(Applied {
            revision: head.accepted.revision,
            changes,
            parts_written: 0,
        }));
    }
    let text = tree.to_toml();
    let parts = store::cut(&text);
    let written = write_parts(objects, &parts, head.as_ref(), edit.time_ms).await?;
    if start.elapsed() > ACCEPT_LIMIT {
        return Err(ApplyError::TimedOut);
    }
    let revision = head.as_ref().map_or(0, |head| head.accepted.revision) + 1;
    let references = parts.iter().map(|part| part.reference.clone()).collect();
    let accepted = accepted(edit, revision, &text, references);
    let next = Head::next(head.as_ref(), accepted);
    match accept(objects, &next, version).await? {
        Acceptance::Lost => return Ok(None),
        Acceptance::Done => {}
    }
    if revision % COLLECT_EVERY == 0 {
        // What is not collected now is collected later.
        let _ = collect_unreferenced_parts(objects, edit.time_ms).await;
    }
    Ok(Some(Applied {
        revision,
        changes,
        parts_written: written,
    }))
}

/// Writes the parts of a revision whose whole tree is in the head, so that it can be read back from
/// the history.
async fn with_parts(
    objects: &dyn Objects,
    head: Head,
    text: &str,
    time: u64,
) -> Result<Head, ApplyError> {
    if !head.accepted.parts.is_empty() {
        return Ok(head);
    }
    let parts = store::cut(text);
    write_parts(objects, &parts, None, time).await?;
    let parts = parts.iter().map(|part| part.reference.clone()).collect();
    let accepted = AcceptedRevision {
        parts,
        ..head.accepted
    };
    Ok(Head { accepted, ..head })
}

fn accepted(edit: &Edit, revision: Revision, text: &str, parts: Vec<PartRef>) -> AcceptedRevision {
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
