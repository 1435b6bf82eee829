//! What nodes send each other, in its form on the wire.

use bytes::Bytes;
use http::{Response, StatusCode};
use serde::Serialize;
use slog::warn;

use crate::{
    front::{empty_reply, full_body, Reply},
    state::State,
};

/// A question's body; `None` where it has no form, which is logged.
pub(super) fn question<T>(state: &State, question: &T) -> Option<Bytes>
where
    T: Serialize + ?Sized,
{
    match rmp_serde::to_vec(question) {
        Ok(body) => Some(Bytes::from(body)),
        Err(err) => {
            warn!(state.log, "question not written"; "cause" => %err);
            None
        }
    }
}

/// An answer.
pub(super) fn answer<T>(state: &State, told: &T) -> Reply
where
    T: Serialize,
{
    match rmp_serde::to_vec(told) {
        Ok(body) => Response::new(full_body(Bytes::from(body))),
        Err(err) => {
            warn!(state.log, "news not told"; "cause" => %err);
            empty_reply(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}
