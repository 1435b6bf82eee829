//! Serves requests of callers: connections, admission, plain requests and event streams.

mod activity;
mod admit;
mod backup;
mod body;
mod choose;
mod content;
#[cfg(test)]
mod content_tests;
mod engine_call;
mod engines;
mod generation;
mod handler;
#[cfg(test)]
mod handler_tests;
mod limit;
mod loss;
mod plain;
mod probe;
#[cfg(test)]
mod probe_tests;
mod process_status;
mod refusal;
mod report;
mod request;
mod reservation;
mod run;
mod send;
mod server;
mod stream_error;
mod suspect;
mod trials;

pub(crate) use activity::OpenRequests;
pub(crate) use body::{empty_reply, full_body, Reply};
pub(crate) use server::{bind_listener, serve_callers, serve_fn, serve_metrics, serve_readiness};
