/*!
Measures the cost of a node on the path between callers and engines.

One run sends the same streams over three paths on loopback: directly to the stand-in engine,
through a bare [`Relay`] (only the server and client of the same HTTP library), and through a node.
The cost of the direct path is subtracted from the other two, so that a node's own cost is compared
with the relay's own cost.
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
