//! Requests of callers: connections, checks, plain requests and event streams.

mod backup;
mod body;
mod choose;
mod generation;
mod handler;
mod loss;
mod plain;
mod probe;
mod refusal;
mod report;
mod request;
mod send;
mod server;

pub(crate) use body::{whole, Reply};
pub(crate) use server::{listen, serve_callers, serve_metrics, serve_ready, serve_simple, Open};
