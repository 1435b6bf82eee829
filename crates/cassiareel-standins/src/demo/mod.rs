/*!
The demo: a deployment of stand-ins and six nodes in one process, and a scenario of failures.

[`Deployment`] starts the backend servers that a settings tree names. [`run_scenario`] sends streams
and orders, kills an engine and a node during streams, changes a setting, and checks every token
against the model's expected answer and every order against the services' ledger. It returns the
results as a [`Report`].
*/

mod deployment;
mod orders;
mod report;
mod scenario;
mod serve;
mod streams;
mod tree;

pub use deployment::{Deployment, Ports, NODES};
pub use report::{Report, Timing};
pub use scenario::{run_scenario, ScenarioSize};
pub use serve::serve;

/// The API key of the demo's caller.
pub const KEY: &str = "demo-key";

/// The API key of the demo's operator.
pub const OPERATOR_KEY: &str = "demo-operator-key";
/// The name of the demo's client account.
pub const ACCOUNT: &str = "demo";
