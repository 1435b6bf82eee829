/*!
Reserves a slot and memory at an engine for one request.

The load that engines report is slightly stale, and many nodes read the same report: if an engine is
nearly full, several nodes would send to its last slot. With a reservation the engine itself grants
the slot to one of them.
*/

use std::{sync::Arc, time::Duration};

use cassiareel::{kernel::quota::Purpose, runtime::within};
use http::Method;
use slog::debug;

use super::{
    engine_call::call_engine,
    limit::{is_limited, take_permit},
    request::Request,
};
use crate::{backends::Backend, state::State};

/// Timeout of the reservation call.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(80);

/// How long a reservation is held. It can be short since the request is sent at once.
const RESERVATION_TIME: Duration = Duration::from_millis(500);

/// Outcome of a reservation call.
pub(super) enum Reservation {
    /// The engine made the reservation under this name.
    Made(Arc<str>),
    /// The engine has no capacity left.
    Full,
    /// The engines of this service support no reservations.
    Unsupported,
}

/// Reserves a slot and `tokens` of memory at an engine for a request.
pub(super) async fn reserve(
    state: &State,
    request: &Request,
    engine: &Backend,
    tokens: u64,
) -> Reservation {
    let shape = state.engine_shape(&request.service);
    let Some(longest) = shape.and_then(|shape| shape.reservation) else {
        return Reservation::Unsupported;
    };
    // An engine that limits its requests gets the request itself only.
    if is_limited(state, engine) {
        return Reservation::Unsupported;
    }
    let Some(permit) = take_permit(state, engine, Purpose::New) else {
        return Reservation::Full;
    };
    let call = state
        .protocol
        .reserve_call(tokens, RESERVATION_TIME.min(longest));
    let calling = call_engine(state, engine, Method::POST, call.path, call.body, permit);
    let name = within(RESERVE_TIMEOUT, calling)
        .await
        .flatten()
        .and_then(|body| state.protocol.read_reservation(&body));
    debug!(state.log, "reservation requested"; "request" => &*request.ask.id,
        "backend" => &*engine.entry.id, "given" => name.is_some());
    match name {
        Some(name) => Reservation::Made(name.into()),
        None => Reservation::Full,
    }
}
