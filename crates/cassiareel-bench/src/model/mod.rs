/*!
Simulates engines in virtual time to compare routing policies.

Nodes use the library's own [`BackendTable`](cassiareel::engines::BackendTable) and
[`FairQueue`](cassiareel::kernel::admission::FairQueue); only engines, callers and the clock are
simulated. The seed determines the run.
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
