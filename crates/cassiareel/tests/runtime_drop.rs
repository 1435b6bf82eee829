//! Tests that dropping a runtime closes the sockets of its servers.

use std::{io::Read, net::TcpStream, sync::Arc};

use cassiareel::{
    runtime::Runtime,
    wire::{serve, BoxFuture, Handler, ServerLimits},
};
use http_types::{Request, Response};
use smol::net::TcpListener;

struct NeverAnswers;

impl Handler for NeverAnswers {
    fn handle(&self, _: Request, _: std::net::SocketAddr) -> BoxFuture<'_, Response> {
        Box::pin(std::future::pending())
    }
}

#[test]
fn dropping_a_runtime_closes_its_connections_and_its_listener() {
    let runtime = Runtime::new("dropped", 2);
    let listener = smol::block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    let server = serve(
        &runtime.spawner(),
        listener,
        ServerLimits::default(),
        Arc::new(NeverAnswers),
    )
    .unwrap();
    let addr = server.addr;
    let mut client = TcpStream::connect(addr).unwrap();
    std::io::Write::write_all(&mut client, b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
    client
        .set_read_timeout(Some(std::time::Duration::from_secs(10)))
        .unwrap();
    std::thread::sleep(std::time::Duration::from_millis(50));
    drop(runtime);
    let mut buf = [0; 1];
    match client.read(&mut buf) {
        Ok(n) => assert_eq!(n, 0),
        Err(err) => assert_eq!(err.kind(), std::io::ErrorKind::ConnectionReset),
    }
    assert!(TcpStream::connect(addr).is_err());
    drop(server);
}
