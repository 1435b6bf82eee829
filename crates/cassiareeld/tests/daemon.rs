//! Tests of the daemon as a process: start, readiness, shutdown on SIGTERM and exit codes.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    process::{Child, Command, Output, Stdio},
    thread,
    time::{Duration, Instant},
};

use cassiareel_standins::objects::ObjectApi;

/// How long a test waits for the daemon to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

const TREE: &str = "[regions.r.data_centres.d1]\n";

fn daemon(flags: &[&str]) -> Child {
    Command::new(env!("CARGO_BIN_EXE_cassiareeld"))
        .args(flags)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the daemon can be started")
}

/// Returns an address that was free a moment ago; another process may take it.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has ports");
    listener.local_addr().expect("the listener has an address")
}

fn wait_ready(addr: SocketAddr) {
    let until = Instant::now() + READY_TIMEOUT;
    while !get(addr, "/readyz").starts_with("HTTP/1.1 200") {
        assert!(Instant::now() < until, "the daemon was not ready in time");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Returns the text of an answer, empty if there is none.
fn get(addr: SocketAddr, path: &str) -> String {
    let mut answer = String::new();
    if let Ok(mut stream) = TcpStream::connect(addr) {
        let head = format!("GET {path} HTTP/1.1\r\nhost: n\r\nconnection: close\r\n\r\n");
        let _ = stream.write_all(head.as_bytes());
        let _ = stream.read_to_string(&mut answer);
    }
    answer
}

fn signal(child: &Child, name: &str) {
    let status = Command::new("kill")
        .args(["-s", name, &child.id().to_string()])
        .status()
        .expect("signals can be sent");
    assert!(status.success());
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn daemon_serves_and_stops_on_sigterm() {
    let objects = ObjectApi::start().expect("loopback has ports");
    cassiareel_standins::fleet::publish_settings(objects.addr(), 1, TREE)
        .expect("the store accepts the settings");
    let (listen, control) = (free_address(), free_address());
    let child = daemon(&[
        "--name=n1",
        "--data-centre=d1",
        &format!("--listen={listen}"),
        &format!("--control={control}"),
        &format!("--objects={}", objects.addr()),
        "--grace=50ms",
    ]);
    wait_ready(listen);
    assert!(get(control, "/operator/status").starts_with("HTTP/1.1 401"));
    signal(&child, "TERM");
    let Output { status, stdout, .. } = child.wait_with_output().expect("the daemon ends");
    assert_eq!(status.code(), Some(0));
    let lines: Vec<serde_json::Value> = text(&stdout)
        .lines()
        .map(|line| serde_json::from_str(line).expect("each line is JSON"))
        .collect();
    let messages: Vec<&str> = lines
        .iter()
        .filter_map(|line| line["msg"].as_str())
        .collect();
    assert_eq!(messages.first(), Some(&"started"));
    assert!(messages.contains(&"settings in force"));
    assert_eq!(messages.last(), Some(&"stopped"));
}

#[test]
fn invalid_settings_are_all_reported_and_nothing_starts() {
    let child = daemon(&["--name=n1", "--listen=nowhere", "--threads=0"]);
    let Output { status, stderr, .. } = child.wait_with_output().expect("the daemon ends");
    assert_eq!(status.code(), Some(2));
    let stderr = text(&stderr);
    for path in ["--listen", "control", "data_centre", "objects", "threads"] {
        assert!(stderr.contains(path), "{path} is not in: {stderr}");
    }
}

#[test]
fn address_in_use_is_reported() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("loopback has ports");
    let listen = taken.local_addr().expect("the listener has an address");
    let child = daemon(&[
        "--name=n1",
        "--data-centre=d1",
        &format!("--listen={listen}"),
        &format!("--control={}", free_address()),
        "--objects=127.0.0.1:9",
    ]);
    let Output { status, stderr, .. } = child.wait_with_output().expect("the daemon ends");
    assert_eq!(status.code(), Some(2));
    assert!(text(&stderr).contains("could not be started"));
}

#[test]
fn example_file_passes_the_check() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/node.toml");
    let child = daemon(&["--settings", file, "--check"]);
    let Output { status, stdout, .. } = child.wait_with_output().expect("the daemon ends");
    assert_eq!(status.code(), Some(0));
    assert_eq!(text(&stdout), "the daemon's settings are valid\n");
}
