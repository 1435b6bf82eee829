//! The encoding of messages between nodes.

use bytes::Bytes;
use http::{Response, StatusCode};
use serde::Serialize;
use slog::warn;

use crate::{
    front::{empty_reply, full_body, Reply},
    state::State,
};

/// Encodes the body of a request; logs an error and returns `None` where it can't be encoded.
pub(super) fn encode_request<T>(state: &State, request: &T) -> Option<Bytes>
where
    T: Serialize + ?Sized,
{
    match rmp_serde::to_vec(request) {
        Ok(body) => Some(Bytes::from(body)),
        Err(err) => {
            warn!(state.log, "peer request not encoded"; "cause" => %err);
            None
        }
    }
}

/// Encodes a reply; logs an error and replies with status 500 where it can't be encoded.
pub(super) fn encode_reply<T>(state: &State, message: &T) -> Reply
where
    T: Serialize,
{
    encode_sized_reply(state, message).0
}

/// Encodes a reply, and returns the size of its body too.
pub(super) fn encode_sized_reply<T>(state: &State, message: &T) -> (Reply, usize)
where
    T: Serialize,
{
    match rmp_serde::to_vec(message) {
        Ok(body) => {
            let size = body.len();
            (Response::new(full_body(Bytes::from(body))), size)
        }
        Err(err) => {
            warn!(state.log, "peer reply not encoded"; "cause" => %err);
            (empty_reply(StatusCode::INTERNAL_SERVER_ERROR), 0)
        }
    }
}
