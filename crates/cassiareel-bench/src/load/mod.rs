/*!
The cost of a node on the path between callers and engines.

The same streams go three ways in one run on loopback: directly to the stand-in engine, through a
bare [`Relay`] (the same HTTP library, server and client ends, and nothing of ours), and through a
node. What the direct way costs is taken off, so that a node is compared with the relay alone.
*/

mod arms;
mod figures;
mod measure;
mod relay;
mod streams;

pub use arms::{Arm, Arms, Way};
pub use figures::{Figures, Target, Verdict};
pub use measure::{burst, first_token, load, memory, Plan};
pub use relay::Relay;
pub use streams::{run_streams, Ask, Got};
