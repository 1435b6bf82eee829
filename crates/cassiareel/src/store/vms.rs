//! The platform's list of VMs as a trait.

use std::net::IpAddr;

use async_trait::async_trait;

use super::StoreError;
use crate::kernel::DataCentreId;

/// Whether a VM stays.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VmState {
    /// The VM is live.
    Live,
    /// The VM is about to be taken away.
    Leaving,
}

/// A VM in the list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Vm {
    /// The VM's name; a replaced VM has another.
    pub name: String,
    /// Its address.
    pub addr: IpAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Whether it stays.
    pub state: VmState,
}

/// The platform's list of VMs, which lags behind the truth.
#[async_trait]
pub trait VmList: Send + Sync {
    /// Lists the VMs.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be reached; the caller keeps its older list.
    async fn list(&self) -> Result<Vec<Vm>, StoreError>;
}
