/*!
A place and memory that an engine has set aside for one request.

What engines tell of their loads is a little old, and many nodes read the same: where engines are
nearly full, several would take the last place. The engine itself gives it to one of them.
*/

use std::{sync::Arc, time::Duration};

use cassiareel::runtime::within;
use http::Method;
use slog::debug;

use super::{engine_call::ask_engine, request::Request};
use crate::{backends::Backend, state::State};

/// How long an engine may take to set room aside.
const ASKING: Duration = Duration::from_millis(80);

/// How long room is set aside: the request is sent at once.
const KEPT: Duration = Duration::from_millis(500);

/// What came of asking for room.
pub(super) enum Reservation {
    /// It was set aside under this name.
    Made(Arc<str>),
    /// The engine has no room.
    Full,
    /// Engines of this service set nothing aside.
    Unknown,
}

/// Asks an engine to set a place and `tokens` of memory aside for a request.
pub(super) async fn reserve(
    state: &State,
    request: &Request,
    engine: &Backend,
    tokens: u64,
) -> Reservation {
    let shape = state.engine_shape(&request.service);
    let Some(most) = shape.and_then(|shape| shape.reservation) else {
        return Reservation::Unknown;
    };
    let call = state.protocol.reserve_call(tokens, KEPT.min(most));
    let asking = ask_engine(engine, Method::POST, call.path, call.body);
    let name = within(ASKING, asking)
        .await
        .flatten()
        .and_then(|body| state.protocol.read_reservation(&body));
    debug!(state.log, "room asked for"; "request" => &*request.ask.id,
        "backend" => &*engine.entry.id, "given" => name.is_some());
    match name {
        Some(name) => Reservation::Made(name.into()),
        None => Reservation::Full,
    }
}
