/*!
Simulates plain services of few servers and the many nodes that send to them, in virtual time.

The decisions are the relay's own, from its kernel. A node learns a server's load only from the
answers to its own requests. Servers run a fixed number of requests at once, queue a few and reject
the rest. The seed determines what arrives; sums over accounts in a hash map make runs differ a little.
*/

mod choice;
mod node;
mod pattern;
mod result;
mod run;
mod server;
mod speed;

pub use choice::{Choice, Estimate};
pub use node::Rules;
pub use pattern::PlainPattern;
pub use result::PlainOutcome;
pub use run::run_plain;
