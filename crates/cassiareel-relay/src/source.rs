//! The platform's store, from which a node reads the operator's configuration and the backend
//! servers.

use std::{net::SocketAddr, time::Duration};

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::{
    kernel::Tally,
    model::{
        DataCentre, Entry, Policy, Revision, Rollout, RolloutState, ServiceId, StoreEra,
        StoreRevision,
    },
};

/// The platform's store, as far as a relay reads and writes it.
///
/// Reads are linearizable: an answer holds all changes that were acknowledged before the call
/// began.
#[async_trait]
pub trait Source: Send + Sync {
    /// Reads the newest configuration; `None` where none was written yet.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer in time, refuses the call or sends what can't be read.
    async fn policy(&self) -> Result<Option<PolicyRead>, SourceError>;

    /// Reads the registry of backend servers.
    ///
    /// # Errors
    ///
    /// Fails as [`Source::policy`] does.
    async fn registry(&self) -> Result<Listing, SourceError>;

    /// Reads the operator's orders to roll services out to other versions.
    ///
    /// # Errors
    ///
    /// Fails as [`Source::policy`] does.
    async fn orders(&self) -> Result<Orders, SourceError>;

    /// Writes the state of a rollout for the operator, unless the order has changed since it was
    /// read; returns the object's revision that the write made, with the era in which the store took
    /// it. Where the store was restored since the read, the state may stand at another order that has
    /// the same revision.
    ///
    /// # Errors
    ///
    /// Fails as [`Source::policy`] does, and with [`SourceError::Conflict`] when the order has
    /// changed. After any other error the write may still take effect.
    async fn write_rollout_state(
        &self,
        rollout: &Rollout,
        state: RolloutState,
    ) -> Result<StoreRevision, SourceError>;

    /// Writes a node's record, in place of its earlier one.
    ///
    /// # Errors
    ///
    /// Fails as [`Source::policy`] does; the write may then still take effect.
    async fn write_record(&self, record: &NodeRecord) -> Result<(), SourceError>;

    /// Reads the records of all nodes.
    ///
    /// # Errors
    ///
    /// Fails as [`Source::policy`] does.
    async fn read_records(&self, state: Freshness) -> Result<ReadObjects<NodeRecord>, SourceError>;
}

/// The required freshness of a read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Freshness {
    /// The result holds all changes that were acknowledged before the read.
    Newest,
    /// The result may be seconds old, which costs the store less.
    Recent,
}

/// The objects of a kind that could be read, and the names of the others.
///
/// An object may come from another writer; one that can't be read must not hide those that can.
#[derive(Clone, Debug)]
pub struct ReadObjects<T> {
    /// The objects that could be read.
    pub items: Vec<T>,
    /// The names of objects that could not be read.
    pub unreadable: Vec<String>,
    /// The revision of the store: all changes up to it are included, unless the read allowed for
    /// older contents.
    pub revision: StoreRevision,
}

/// The configuration, as read from the store.
#[derive(Clone, Debug)]
pub struct PolicyRead {
    /// The configuration.
    pub policy: Policy,
    /// The store's era at the time of the read.
    pub era: StoreEra,
}

/// The registry, as read from the store.
///
/// A list of several pages is not of one moment: an entry that was changed during the read is as it
/// was when its own page was read.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Listing {
    /// The entries that could be read.
    pub entries: Vec<Entry>,
    /// The names of entries that could not be read; they name no backend server.
    pub unreadable: Vec<String>,
    /// The revision at the first page: all changes up to it are included.
    pub revision: StoreRevision,
    /// The revision at the last page: no change after it is included. It is not part of messages of
    /// earlier builds, which is why [`Listing::newest`] is used instead.
    #[serde(skip)]
    pub latest: StoreRevision,
}

impl Listing {
    /// Returns the revision that no entry is newer than.
    pub fn newest(&self) -> StoreRevision {
        self.latest.max(self.revision)
    }
}

/// The operator's orders to roll out services, at one revision.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Orders {
    /// The orders that could be read.
    pub rollouts: Vec<Rollout>,
    /// The names of orders that could not be read.
    pub unreadable: Vec<String>,
    /// The revision: all orders up to it are included.
    pub revision: StoreRevision,
}

/// A node's record of itself in the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct NodeRecord {
    /// The name, unique in the fleet.
    pub name: String,
    /// The address at which its peers reach it.
    pub address: SocketAddr,
    /// The data centre.
    pub data_centre: DataCentre,
    /// The node's counts of rollouts that are under way.
    pub counts: Vec<Counts>,
    /// The rate of the node's link in Mbit/s, where its settings state it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub link_mbps: Option<u32>,
}

/// A node's counts of one rollout.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Counts {
    /// The service.
    pub service: ServiceId,
    /// The revision that identifies the order.
    pub order: Revision,
    /// The era of the store in which it does; `None` where an earlier build wrote the counts.
    #[serde(default)]
    pub era: Option<StoreEra>,
    /// For how long the node has known the order, in milliseconds.
    pub known_ms: u64,
    /// Runs of the old version.
    pub old: Tally,
    /// Runs of the new version.
    pub new: Tally,
}

/// A failed call of the store.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum SourceError {
    /// No answer came in time.
    #[snafu(display("the store did not answer within {limit:?}"))]
    Timeout {
        /// The limit of the call.
        limit: Duration,
    },
    /// The connection failed; a write may have taken effect.
    #[snafu(display("the connection to the store failed: {cause}"))]
    Connection {
        /// What failed.
        cause: String,
    },
    /// The store refused the call.
    #[snafu(display("the store refused the call with status {status}"))]
    Refused {
        /// The status of the answer.
        status: u16,
    },
    /// The object has changed.
    #[snafu(display("the object has changed since it was read"))]
    Conflict,
    /// The answer can't be read.
    #[snafu(display("the store's answer can't be read: {cause}"))]
    Unreadable {
        /// What is wrong with it.
        cause: String,
    },
}
