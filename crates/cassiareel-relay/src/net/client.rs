//! A client for short calls with a whole body each way, as the store takes them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use cassiareel::{
    body_budget::BodyBudget,
    runtime::{within, Spawner},
};
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode};
use http_body_util::Full;

use super::{build_request, read_body, Pool, SendError};
use crate::{
    clock::{self, Moment},
    source::SourceError,
};

/// The longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The largest body of an answer, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Makes short calls to one address.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool,
    /// The memory for answers.
    budget: Arc<BodyBudget>,
    /// Headers of each request.
    headers: HeaderMap,
}

/// The answer to a call.
#[derive(Clone, Debug)]
pub struct ClientResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl Client {
    /// Creates a client for calls to `address`, whose answers are charged to a budget.
    pub fn new(address: SocketAddr, spawner: Spawner, budget: Arc<BodyBudget>) -> Client {
        Client {
            pool: Pool::new(address, spawner),
            budget,
            headers: HeaderMap::new(),
        }
    }

    /// Returns a client with the same connections that adds a header to all requests.
    pub fn with_header(&self, name: &'static str, value: HeaderValue) -> Client {
        let mut client = self.clone();
        client.headers.insert(name, value);
        client
    }

    /// Returns the address to which it makes calls.
    pub fn address(&self) -> SocketAddr {
        self.pool.address()
    }

    /// Causes connections that are closed to drop what was not sent yet: a call that was given up then
    /// does not arrive later, when a lost link is back.
    pub fn drop_unsent(self) -> Client {
        Client {
            pool: self.pool.drop_unsent(),
            ..self
        }
    }

    /// Makes one call. A connection on which a call failed is not used again.
    ///
    /// # Errors
    ///
    /// Fails when no whole answer comes within `limit`; a write may then still take effect.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<ClientResponse, SourceError> {
        let request =
            build_request(self.address(), method, path, body).map_err(connection_error)?;
        self.send(request, limit).await
    }

    /// Sends one request, as [`Client::call`] does. It is not sent after the limit, where the process was
    /// suspended before.
    ///
    /// # Errors
    ///
    /// Fails as [`Client::call`] does.
    pub async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<ClientResponse, SourceError> {
        request.headers_mut().extend(self.headers.clone());
        let end = clock::now() + limit;
        within(limit, self.exchange(request, end))
            .await
            .unwrap_or(Err(SourceError::Timeout { limit }))
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        end: Moment,
    ) -> Result<ClientResponse, SourceError> {
        let mut lease = self
            .pool
            .take(Duration::MAX, CONNECT_TIMEOUT)
            .await
            .map_err(connection_error)?;
        check_time(end)?;
        let answer = match lease.conn.send(request.clone()).await {
            Err(SendError::NotSent { .. }) => {
                lease = self
                    .pool
                    .open(CONNECT_TIMEOUT)
                    .await
                    .map_err(connection_error)?;
                check_time(end)?;
                lease.conn.send(request).await.map_err(connection_error)?
            }
            answer => answer.map_err(connection_error)?,
        };
        let (parts, body) = answer.into_parts();
        let body = read_body(body, MAX_BODY_BYTES, &self.budget)
            .await
            .map_err(connection_error)?;
        lease.put_back(None);
        Ok(ClientResponse {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }
}

/// Checks that a request may still be sent.
fn check_time(end: Moment) -> Result<(), SourceError> {
    if clock::now() < end {
        return Ok(());
    }
    Err(connection_error("it was too late to send the request"))
}

fn connection_error<E>(err: E) -> SourceError
where
    E: std::fmt::Display,
{
    SourceError::Connection {
        cause: err.to_string(),
    }
}
