/*!
What the platform gives: the object API, the VM list and the weight store.

Each is a trait, met by a thin adapter at its published interface. The object API's adapter speaks
the Kubernetes API conventions for custom objects: resource versions, conditional updates and
watches. Another platform is one more adapter and touches no decision.
*/

mod http_objects;
mod http_vms;
mod memory;
#[cfg(test)]
mod memory_tests;
mod objects;
mod vms;

pub use http_objects::HttpObjects;
pub use http_vms::HttpVms;
pub use memory::{Call, CallCounts, Fault, FaultRates, MemoryObjects, OBJECT_LIMIT};
pub use objects::{Listing, Object, Objects, StoreError, StoreVersion};
pub use vms::{Vm, VmList, VmState};
