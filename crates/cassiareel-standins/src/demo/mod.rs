/*!
The demo: a deployment of stand-ins and six nodes in one process, and a story of failures.

[`Deployment`] starts what a settings tree names. The [`story`] sends streams and orders, kills an
engine and a node in the middle of streams, changes a setting, and checks every token against the
model's true answer and every order against the services' ledger. The [`Report`] says what came of
it.
*/

mod deployment;
mod orders;
mod report;
mod serve;
mod story;
mod streams;
mod tree;

pub use deployment::{Deployment, Ports, NODES};
pub use report::{Report, Timing};
pub use serve::serve;
pub use story::{story, Sizes};

/// The key of the demo's own caller.
pub const KEY: &str = "demo-key";

/// The key of the demo's operator.
pub const OPERATOR_KEY: &str = "demo-operator-key";
/// The demo's own client account.
pub const ACCOUNT: &str = "demo";
