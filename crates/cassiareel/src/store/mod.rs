/*!
Services of the platform: the object API, the VM list and the weight store.

Each is a trait with a thin adapter for its published interface. The object API's adapter follows the
Kubernetes API conventions for custom objects: resource versions, conditional updates and watches.
Support for another platform takes one more adapter and no change to any decision logic.
*/

mod conditional;
mod entries;
mod http_objects;
mod http_vms;
mod memory;
#[cfg(test)]
mod memory_tests;
mod objects;
mod version;
mod vms;

pub use conditional::ConditionalStore;
pub use http_objects::HttpObjects;
pub use http_vms::HttpVms;
pub use memory::{Call, CallCounts, Fault, FaultRates, MemoryObjects, MAX_OBJECT_BYTES};
pub use objects::{Listing, Object, Objects, StoreError};
pub use version::{StoreEra, StoreVersion};
pub use vms::{Vm, VmList, VmState};
