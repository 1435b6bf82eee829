//! Lists of backend servers, and changes of them, that a node does not take from a peer.

use snafu::{ensure, Snafu};

use super::{list_digest::list_digest, packed_entries::UnpackError};
use crate::{model::StoreRevision, source::Listing};

/// The reason why a list or a change is not used. The node asks for the whole list.
#[derive(Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(super)))]
pub(crate) enum ListError {
    /// The message can't be decoded.
    #[snafu(display("the message can't be decoded: {cause}"))]
    Undecodable {
        /// What is wrong with it.
        cause: String,
    },
    /// The entries can't be decoded.
    #[snafu(display("the entries can't be decoded: {source}"))]
    Packed {
        /// What is wrong with them.
        source: UnpackError,
    },
    /// The change is one of another list.
    #[snafu(display("a change of list {from}, while list {held} is known"))]
    Base {
        /// The revision to which the change applies.
        from: StoreRevision,
        /// The revision of the node's own list.
        held: StoreRevision,
    },
    /// The list is not the one that the sender has.
    #[snafu(display("the list differs from that of the sender"))]
    Digest,
}

/// Checks that a list is the one of which the sender stated the digest.
///
/// # Errors
///
/// Fails where it is another one.
pub(super) fn check_digest(listing: &Listing, digest: u64) -> Result<(), ListError> {
    ensure!(list_digest(&listing.entries) == digest, DigestSnafu);
    Ok(())
}
