//! Admits a request: reads it, checks its key, and finds its route.

use std::{
    sync::{atomic::AtomicBool, Arc},
    time::Duration,
};

use bytes::Bytes;
use cassiareel::runtime::within;
use futures_lite::FutureExt;
use http::request;
use hyper::body::Incoming;
use slog::info;

use super::{
    content,
    refusal::{Refusal, STOPPING_RETRY_AFTER},
    request::{Request, SendCount},
    suspect,
};
use crate::{
    admission::Admitted,
    clock::{self, Moment},
    kernel::{AdmissionRequest, Lookup},
    model::{AccountId, RequestHead, Route, ServiceId},
    net::{self, BodyError},
    state::State,
};

/// Longest time for a body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a request waits for a fresh read of the configuration before its key or path is
/// rejected as unknown.
const CONFIG_REFRESH_TIMEOUT: Duration = Duration::from_millis(400);

/// How long a request waits for a node that has just started to load its routes.
const STARTUP_WAIT: Duration = Duration::from_millis(600);

/// Fraction of a request's deadline for which it may wait for that.
const STARTUP_WAIT_FRACTION: f64 = 0.125;

/// How long a caller should wait before it retries at a node that has just started.
const STARTUP_RETRY_AFTER: Duration = Duration::from_millis(500);

/// How long a caller should wait before it retries at a node whose cached keys are stale, in
/// fractions of the time for which keys stay valid. The delay is random within this range, so that
/// callers don't return together.
const STALE_KEYS_RETRY_FRACTION: std::ops::Range<f64> = 0.2..0.4;

/// The rejection of a request that can't end before the node exits.
const STOPPING: Refusal = Refusal::NoBackend {
    after: STOPPING_RETRY_AFTER,
};

/// Deadline of a request that names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);

/// Reads, checks and routes a request.
pub(super) async fn admit(
    state: &State,
    parts: request::Parts,
    body: Incoming,
    arrived: Moment,
) -> Result<Request, (Option<RequestHead>, Refusal)> {
    let ask = match state.protocol.read_request(&parts) {
        Ok(ask) => ask,
        Err(err) => {
            info!(state.log, "malformed request"; "cause" => %err);
            return Err((None, Refusal::BadRequest));
        }
    };
    if head_size(&parts) > state.limits().header_bytes {
        return Err((Some(ask), Refusal::HeadTooLarge));
    }
    let reading = read_and_authorize(state, &ask, body, arrived);
    let stopping = async {
        state.wait_requests_end().await;
        Err(STOPPING)
    };
    let (body, access) = match reading.or(stopping).await {
        Ok(read) => read,
        Err(refusal) => return Err((Some(ask), refusal)),
    };
    let Access {
        route,
        tenant,
        priority,
    } = access;
    let service = choose_service(&route);
    let done = ask
        .last_event
        .map_or(0, |event| state.speeds().tokens(&service, event));
    if state.has_ended_requests() || !state.has_time_to_run(&route, &service, &ask.prompt, done) {
        return Err((Some(ask), STOPPING));
    }
    let content = content::digest(&ask, tenant.as_deref(), &parts.method, &parts.uri, &body);
    let prompt_parts = content::part_keys(&ask.prompt, &service);
    if let Some(after) = suspect::hold_left(state, &ask.id, &content, &prompt_parts) {
        return Err((Some(ask), Refusal::Held { after }));
    }
    let admitted = match admit_share(state, &ask, &route, &service, tenant.as_ref(), priority) {
        Ok(admitted) => admitted,
        Err(refusal) => return Err((Some(ask), refusal)),
    };
    let limit = ask.deadline.unwrap_or(DEFAULT_DEADLINE).min(route.timeout);
    Ok(Request {
        content,
        parts: prompt_parts,
        service,
        headers: state.protocol.forwarded_headers(&parts.headers),
        method: parts.method,
        target: origin_form(parts.uri),
        body,
        route,
        tenant,
        priority,
        admitted,
        arrived,
        end: arrived + limit,
        sends: SendCount::default(),
        is_counted: AtomicBool::new(false),
        ask,
    })
}

/// Reads the body and checks the key. The body is read before any other rejection, so that the
/// connection can be kept.
async fn read_and_authorize(
    state: &State,
    ask: &RequestHead,
    body: Incoming,
    arrived: Moment,
) -> Result<(Bytes, Access), Refusal> {
    let body = read_request_body(state, ask, body).await?;
    let patience = ask
        .deadline
        .unwrap_or(DEFAULT_DEADLINE)
        .mul_f64(STARTUP_WAIT_FRACTION);
    state.wait_informed(patience.min(STARTUP_WAIT)).await;
    let access = authorize(state, ask, arrived).await?;
    Ok((body, access))
}

/// Returns the size of a head in bytes, with one space after each colon.
fn head_size(parts: &request::Parts) -> usize {
    const LINE: usize = "  HTTP/1.1\r\n".len();
    const FIELD: usize = ": \r\n".len();
    const END: usize = "\r\n".len();
    let uri = &parts.uri;
    let scheme = uri.scheme_str().map_or(0, |scheme| scheme.len() + 3);
    let authority = uri.authority().map_or(0, |host| host.as_str().len());
    let query = uri.query().map_or(0, |query| query.len() + 1);
    let target = scheme + authority + uri.path().len() + query;
    let fields: usize = parts
        .headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + FIELD)
        .sum();
    parts.method.as_str().len() + target + LINE + fields + END
}

/// Reads the complete body. Where there is no memory for it, the request is refused at once.
async fn read_request_body(
    state: &State,
    ask: &RequestHead,
    body: Incoming,
) -> Result<Bytes, Refusal> {
    let timeout = ask.deadline.unwrap_or(BODY_TIMEOUT).min(BODY_TIMEOUT);
    let limit = state.limits().body_bytes;
    let reading = net::read_body(body, limit, &state.body_budget);
    let Some(read) = within(timeout, reading).await else {
        return Err(Refusal::SlowBody);
    };
    read.map_err(|err| match err {
        BodyError::TooLarge { .. } => Refusal::TooLarge,
        BodyError::NoMemory => Refusal::NoBackend {
            after: STARTUP_RETRY_AFTER,
        },
        BodyError::Broken { .. } => Refusal::BadRequest,
    })
}

/// What the configuration allows a request.
struct Access {
    route: Arc<Route>,
    tenant: Option<AccountId>,
    priority: u8,
}

/// Finds the route and the client account in a configuration that is fresh enough.
async fn authorize(state: &State, ask: &RequestHead, arrived: Moment) -> Result<Access, Refusal> {
    let not_started = Refusal::NotReady {
        after: STARTUP_RETRY_AFTER,
    };
    let fraction = STALE_KEYS_RETRY_FRACTION.start
        + fastrand::f64() * (STALE_KEYS_RETRY_FRACTION.end - STALE_KEYS_RETRY_FRACTION.start);
    let stale_keys = Refusal::NotReady {
        after: state.settings.load().bounds.revoke.mul_f64(fraction),
    };
    let mut catalog = state.catalog().ok_or(not_started)?;
    let mut found = catalog.find(&ask.host, &ask.path, ask.key.as_deref());
    if !matches!(found, Lookup::Found { .. }) {
        // A newer version may contain the path or the key, so a rejection needs a configuration
        // that was confirmed recently enough.
        let since = arrived.saturating_sub(state.max_config_age());
        if !state.wait_config_read(since, CONFIG_REFRESH_TIMEOUT).await {
            return Err(stale_keys);
        }
        catalog = state.catalog().ok_or(not_started)?;
        found = catalog.find(&ask.host, &ask.path, ask.key.as_deref());
    }
    match found {
        Lookup::Found {
            route,
            account: tenant,
            priority,
        } => {
            if tenant.is_some() && !state.authority().is_fresh(clock::now()) {
                return Err(stale_keys);
            }
            Ok(Access {
                route,
                tenant,
                priority,
            })
        }
        Lookup::NoRoute => Err(Refusal::NoRoute),
        Lookup::UnknownKey => Err(Refusal::UnknownKey),
    }
}

/// Admits a request as far as its client account's share of the service allows. A stream that its
/// caller resumes is always admitted, since it was admitted before.
fn admit_share(
    state: &State,
    ask: &RequestHead,
    route: &Route,
    service: &ServiceId,
    tenant: Option<&AccountId>,
    rank: u8,
) -> Result<Admitted, Refusal> {
    let admission = &state.admission;
    let claim = AdmissionRequest {
        account: tenant.cloned().unwrap_or_else(|| AccountId::from("")),
        priority: rank,
        weight: state.settings.load().weight(tenant),
        cost: admission.units(service, &ask.prompt),
    };
    let reserve = match admission.admit(service, &claim) {
        Ok(reserve) => reserve,
        Err(_) if ask.last_event.is_some() => 0.0,
        Err(excess) => {
            let after = admission.retry_after(service, route.objective);
            state.record_refusal(service);
            info!(state.log, "account over its share"; "request" => &*ask.id,
                "service" => &**service, "tenant" => tenant.map(|tenant| tenant.to_string()),
                "units" => claim.cost, "asked" => excess.demand, "share" => excess.allowance,
                "served_part" => excess.served_fraction, "come_back_ms" => after.as_millis() as u64);
            return Err(Refusal::OverShare { after });
        }
    };
    Ok(Admitted { claim, reserve })
}

/// Chooses one of the route's services at random by their weights.
fn choose_service(route: &Route) -> ServiceId {
    let total: u32 = route.targets.iter().map(|target| target.weight).sum();
    let mut drawn = fastrand::u32(0..total.max(1));
    for target in &route.targets {
        if drawn < target.weight {
            return target.service.clone();
        }
        drawn -= target.weight;
    }
    route
        .targets
        .first()
        .map_or_else(|| ServiceId::from(""), |target| target.service.clone())
}

/// Returns path and query, as sent.
fn origin_form(uri: http::Uri) -> http::Uri {
    match uri.into_parts().path_and_query {
        Some(path) => http::Uri::from(path),
        None => http::Uri::from_static("/"),
    }
}
