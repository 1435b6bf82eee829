//! Helpers for tests over loopback: a node with settings in force, and raw requests.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use cassiareel::{
    node::{Node, Options},
    settings::key_digest,
    store::{MemoryObjects, Object, Objects},
};
use serde_json::json;

/// The API key of the tests' caller.
pub const KEY: &str = "test-key";

/// Returns settings with one model and one plain service, without backend servers.
pub fn settings() -> String {
    let digest = hex::encode(key_digest(KEY));
    format!(
        r#"
[regions.r.data_centres.d1]

[services.draft]
version = "v1"
[services.draft.versions.v1]

[services.orders]
kind = "plain"
version = "v1"
[services.orders.versions.v1]

[accounts.shops]
services = ["draft", "orders"]
[accounts.shops.callers.desk]
keys.first = "{digest}"
"#
    )
}

/// Starts a node on loopback and waits until the settings are in force.
pub fn node(tree: &str) -> Node {
    let objects = Arc::new(MemoryObjects::new(1));
    let head = Object::new("settings", "head", json!({"revision": 1, "tree": tree}));
    smol::block_on(objects.create(&head)).expect("the in-memory store accepts the object");
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let node = Node::start(Options::new("n1", "d1"), objects, &log).expect("loopback has ports");
    let deadline = Instant::now() + Duration::from_secs(30);
    while node.settings().revision == 0 {
        assert!(
            Instant::now() < deadline,
            "the node does not apply the settings"
        );
        thread::sleep(Duration::from_millis(1));
    }
    node
}

/// Sends bytes on a new connection, closes its sending side, and returns everything received.
pub fn exchange(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).expect("the node listens");
    // The server may answer and close the connection before it has read everything.
    let _ = stream.write_all(bytes);
    let _ = stream.shutdown(Shutdown::Write);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}
