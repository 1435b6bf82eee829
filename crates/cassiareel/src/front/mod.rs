/*!
The HTTP interface for callers: the completions and chat endpoints of the OpenAI API, and plain
services by path.

Every request is authenticated by its caller's key and fully validated before any work starts. Its
answer carries the request id in `x-request-id`, so that answers are not matched by the order of
arrival. Each refusal states in `x-outcome` whether the work did not run, ran, or may have run.
*/

mod answer;
mod api;
mod choose;
mod context;
mod deliver;
mod generate;
mod operator;
#[cfg(test)]
mod operator_tests;
mod order;
mod probe;
mod refusal;
mod request;
#[cfg(test)]
mod request_tests;
mod resume;
mod service;
mod suspect;

pub use api::CallerApi;
pub use context::FrontContext;
pub use operator::{Decisions, NodeStatus, OperatorApi, StatusSource, OPERATOR_PATH};
pub use refusal::{Outcome, Refusal};
pub use request::{Endpoint, Prompt};

use choose::Chooser;
