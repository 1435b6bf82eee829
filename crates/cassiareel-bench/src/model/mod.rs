/*!
A small model of engines in virtual time, which compares routing policies.

The nodes of a run are the library's own [`BackendTable`](cassiareel::engines::BackendTable) and
[`FairQueue`](cassiareel::kernel::admission::FairQueue); only engines, callers and the clock are
modelled. A run is decided by its seed.
*/

mod cache;
mod engine;
mod node;
mod result;
mod run;
mod workload;

pub use engine::EngineProfile;
pub use result::{jain, RunResult};
pub use run::{run, Scenario};
pub use workload::{Demand, Workload};
