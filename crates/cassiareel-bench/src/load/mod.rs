/*!
The cost of a node on the path between callers and engines.

The same streams go three ways in one run on loopback: directly to the stand-in engine, through a
bare [`Relay`] (the same HTTP library, server and client ends, and nothing of ours), and through a
node. What the direct way costs is taken off, so that a node is compared with the relay alone.
*/

mod figures;
mod measure;
mod relay;
mod streams;
mod testbed;

pub use figures::{Figures, Target, Verdict};
pub use measure::{burst, first_token, load, memory, LoadPlan};
pub use relay::Relay;
pub use streams::{run_streams, StreamRequest, StreamResult};
pub use testbed::{CallPath, Endpoint, Testbed};
