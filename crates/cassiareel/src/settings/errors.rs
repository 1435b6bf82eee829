//! Errors of reading the settings tree and of applying an edit.

use snafu::Snafu;

use super::{AcceptedRevision, Change, Faults};
use crate::{kernel::Revision, store::StoreError};

/// The settings tree could not be read.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum LoadError {
    /// The store failed.
    #[snafu(context(false), display("settings could not be read: {source}"))]
    Store {
        /// The failure.
        source: StoreError,
    },
    /// A part that the head references is not in the store.
    #[snafu(display("part {name} of the settings is missing"))]
    Missing {
        /// The part's name.
        name: String,
    },
    /// The text of a part does not match the digest in the head.
    #[snafu(display("part {name} of the settings does not match the digest in the head"))]
    Damaged {
        /// The part's name.
        name: String,
    },
    /// The head or the text could not be parsed.
    #[snafu(display("settings are malformed: {cause}"))]
    Malformed {
        /// The parse error.
        cause: String,
    },
}

/// An edit was not accepted, or it is unknown whether it was.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum ApplyError {
    /// The edited tree has faults; nothing was changed.
    #[snafu(context(false), display("{source}"))]
    InvalidTree {
        /// All faults of the tree.
        source: Faults,
    },
    /// The accepted tree could not be read; nothing was changed.
    #[snafu(context(false), display("{source}"))]
    Load {
        /// The failure.
        source: LoadError,
    },
    /// The store failed before the edit could be accepted; nothing was changed.
    #[snafu(context(false), display("settings could not be written: {source}"))]
    Store {
        /// The failure.
        source: StoreError,
    },
    /// The edit does not name the revision that it was made from; nothing was changed.
    #[snafu(display(
        "the edit does not name its base revision; the accepted revision is {accepted}"
    ))]
    MissingBase {
        /// The accepted revision.
        accepted: Revision,
    },
    /// The edit was made from a revision that is not in the history; nothing was changed.
    #[snafu(display("revision {base} is not in the history; the oldest one in it is {oldest}"))]
    UnknownBase {
        /// The revision that the edit was made from.
        base: Revision,
        /// The oldest revision in the history, or 0 if no revision is accepted.
        oldest: Revision,
    },
    /// Another edit was accepted after the edit's base; nothing was changed.
    #[snafu(display(
        "revision {} by {} was accepted after revision {base}",
        accepted.revision,
        accepted.author
    ))]
    Conflict {
        /// The revision that both edits were made from.
        base: Revision,
        /// The accepted revision.
        accepted: Box<AcceptedRevision>,
        /// The changes from the base to the accepted revision.
        theirs: Vec<Change>,
        /// The changes from the base to the edited tree.
        yours: Vec<Change>,
        /// Whether a change of one side conflicts with a change of the other.
        overlap: bool,
    },
    /// The store's answers were lost and the head could not be read back: the edit may have been
    /// accepted.
    #[snafu(display("it is not known whether revision {revision} was accepted"))]
    OutcomeUnknown {
        /// The revision that the edit would become.
        revision: Revision,
        /// The nonce that identifies the edit in the head's history.
        nonce: u64,
    },
    /// Another edit was accepted first on every try; nothing was changed.
    #[snafu(display("other edits were accepted first on every try"))]
    Contended,
    /// Writing the parts took so long that they might be deleted before the edit is accepted; the
    /// accepted revision is unchanged.
    #[snafu(display("writing the parts to the store took too long"))]
    TimedOut,
}
