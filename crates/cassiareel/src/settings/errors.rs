//! Why the tree could not be read or an edit was not accepted.

use snafu::Snafu;

use super::{AcceptedRevision, Change, Faults};
use crate::{kernel::Revision, store::StoreError};

/// Why the tree could not be read.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum LoadError {
    /// The store failed.
    #[snafu(context(false), display("settings could not be read: {source}"))]
    Store {
        /// The failure.
        source: StoreError,
    },
    /// A part that the head names is not in the store.
    #[snafu(display("part {name} of the settings is missing"))]
    Missing {
        /// The part's name.
        name: String,
    },
    /// A part is not what the head names.
    #[snafu(display("part {name} of the settings does not have the digest that the head names"))]
    Damaged {
        /// The part's name.
        name: String,
    },
    /// The head or the text can't be read.
    #[snafu(display("settings are malformed: {cause}"))]
    Malformed {
        /// What is wrong.
        cause: String,
    },
}

/// Why an edit was not accepted.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum ApplyError {
    /// The tree is wrong; nothing was changed.
    #[snafu(context(false), display("{source}"))]
    InvalidTree {
        /// Every fault.
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
    /// The edit does not say which revision it was made from.
    #[snafu(display(
        "the edit does not say which revision it was made from; {accepted} is accepted"
    ))]
    MissingBase {
        /// The accepted revision.
        accepted: Revision,
    },
    /// The edit was made from a revision that is not remembered.
    #[snafu(display("revision {base} is not remembered; the oldest that is, is {oldest}"))]
    UnknownBase {
        /// The edit's revision.
        base: Revision,
        /// The oldest remembered revision, or 0.
        oldest: Revision,
    },
    /// Others have edited meanwhile; nothing was changed.
    #[snafu(display("revision {} by {} came after {base}", accepted.revision, accepted.author))]
    Conflict {
        /// The revision that both edits were made from.
        base: Revision,
        /// The accepted revision.
        accepted: Box<AcceptedRevision>,
        /// What others have changed since.
        theirs: Vec<Change>,
        /// What the edit changes.
        yours: Vec<Change>,
        /// Whether both touch the same path.
        overlap: bool,
    },
    /// The store's answers were lost, and it can't be read: the edit may be accepted or not.
    #[snafu(display("it is not known whether revision {revision} was accepted"))]
    OutcomeUnknown {
        /// The revision that the edit would be.
        revision: Revision,
        /// The random number by which the head's history names the edit.
        nonce: u64,
    },
    /// Others were first each time; nothing was changed.
    #[snafu(display("other edits were accepted first each time"))]
    Contended,
    /// Writing the parts took too long for the edit to be accepted safely; nothing was changed.
    #[snafu(display("the store took too long to take the parts"))]
    TimedOut,
}
