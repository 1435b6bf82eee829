//! Requests of callers: connections, checks, plain requests and event streams.

mod admit;
mod backup;
mod body;
mod choose;
mod content;
#[cfg(test)]
mod content_tests;
mod end;
mod engine_call;
mod engines;
mod fate;
mod generation;
mod handler;
mod loss;
mod plain;
mod probe;
#[cfg(test)]
mod probe_tests;
mod refusal;
mod report;
mod request;
mod reservation;
mod room;
#[cfg(test)]
mod room_tests;
mod run;
mod send;
mod server;
mod suspect;
mod trials;
mod watch;

pub(crate) use body::{empty_reply, full_body, Reply};
pub(crate) use server::{bind_listener, serve_callers, serve_fn, serve_metrics, serve_readiness};
pub(crate) use watch::OpenRequests;
