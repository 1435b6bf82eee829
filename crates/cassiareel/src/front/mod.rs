/*!
The interface of callers: the completions and chat endpoints of the OpenAI HTTP API, and plain
services by path.

Every request is identified by its caller's key, checked whole before anything runs, and given a
name that its answer carries, so that nothing is matched by the order of arrival. Each refusal says
in `x-outcome` whether the work was not run, ran, or is unknown.
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
