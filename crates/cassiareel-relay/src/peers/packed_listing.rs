//! A whole list of backend servers in a message between nodes.

use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use super::{
    list_digest::list_digest,
    list_error::{check_digest, ListError, PackedSnafu},
    packed_entries::PackedEntries,
};
use crate::{model::StoreRevision, source::Listing};

/// An encoded list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct PackedListing {
    revision: StoreRevision,
    latest: StoreRevision,
    unreadable: Vec<String>,
    digest: u64,
    entries: PackedEntries,
}

impl PackedListing {
    /// Encodes a list.
    pub(super) fn pack(listing: &Listing) -> PackedListing {
        PackedListing {
            revision: listing.revision,
            latest: listing.newest(),
            unreadable: listing.unreadable.clone(),
            digest: list_digest(&listing.entries),
            entries: PackedEntries::pack(&listing.entries),
        }
    }

    /// Decodes the list.
    ///
    /// # Errors
    ///
    /// Fails where it can't be decoded, or is not the one that the sender has.
    pub(super) fn unpack(self) -> Result<Listing, ListError> {
        let listing = Listing {
            entries: self.entries.unpack().context(PackedSnafu)?,
            unreadable: self.unreadable,
            revision: self.revision,
            latest: self.latest,
        };
        check_digest(&listing, self.digest)?;
        Ok(listing)
    }
}
