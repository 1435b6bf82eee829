//! A bare relay: only the server and the client of the HTTP library.

use std::{io, net::SocketAddr};

use cassiareel::{runtime::Runtime, wire::bind_listener};
use http_types::{Body, Request, Response};
use smol::net::TcpStream;

/// A running relay, which stops when it is dropped.
#[derive(Debug)]
pub struct Relay {
    addr: SocketAddr,
    _runtime: Runtime,
}

impl Relay {
    /// Starts a relay to the server at `target`, on `threads` threads.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn start(target: SocketAddr, threads: usize) -> io::Result<Relay> {
        let listener = bind_listener(([127, 0, 0, 1], 0).into())?;
        let addr = listener.local_addr()?;
        let runtime = Runtime::new("relay", threads);
        let spawner = runtime.spawner();
        let accept = async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                let serve = async_h1::accept(stream, move |request| forward(target, request));
                spawner.spawn(serve).detach();
            }
        };
        runtime.spawn(accept).detach();
        Ok(Relay {
            addr,
            _runtime: runtime,
        })
    }

    /// Returns the address that the relay listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

/// Forwards a request and returns its answer.
async fn forward(target: SocketAddr, mut request: Request) -> http_types::Result<Response> {
    let body = request.body_bytes().await?;
    let mut forwarded = Request::new(request.method(), request.url().clone());
    forwarded.set_body(body);
    let stream = TcpStream::connect(target).await?;
    stream.set_nodelay(true)?;
    let mut server_response = async_h1::connect(stream, forwarded).await?;
    let mut response = Response::new(server_response.status());
    let body = server_response.take_body();
    let len = body.len();
    response.set_body(Body::from_reader(body, len));
    Ok(response)
}
