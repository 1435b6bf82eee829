//! The trait of the platform's VM list.

use std::net::IpAddr;

use async_trait::async_trait;

use super::StoreError;
use crate::kernel::DataCentreId;

/// Whether a VM remains.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VmState {
    /// The VM is live.
    Live,
    /// The VM is about to be removed.
    Leaving,
}

/// A VM in the list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Vm {
    /// The VM's name; a replacement VM has another name.
    pub name: String,
    /// The VM's address.
    pub addr: IpAddr,
    /// The data centre of the VM.
    pub data_centre: DataCentreId,
    /// Whether the VM remains.
    pub state: VmState,
}

/// The platform's list of VMs, which lags behind the actual state.
#[async_trait]
pub trait VmList: Send + Sync {
    /// Lists the VMs.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform can't be reached or its answer is invalid; the caller keeps its
    /// previous list.
    async fn list(&self) -> Result<Vec<Vm>, StoreError>;
}
