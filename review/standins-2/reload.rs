//! Case 9: the settings file sets a shorter bound on withdrawn keys, and the node is told so by SIGHUP.
//! Does a node that is then cut off from the store keep the new bound?

mod common;

use std::{
    io,
    net::SocketAddr,
    path::Path,
    process,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use common::{call, entry, finish, has_trouble, listen, serve, wait_for, Conn, Node, Record, Store};

/// The bound at the node's start, and the one that the settings file has later.
const OLD_REVOKE_MS: u64 = 5000;
const NEW_REVOKE_MS: u64 = 2000;

/// How long the node is cut off from the store: the site's time for this disruption.
const CUT_TIME: Duration = Duration::from_millis(5500);

/// The interval between the requests after the key is withdrawn.
const INTERVAL: Duration = Duration::from_millis(100);

fn config(version: u64, keys: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-stamp\",\"host\":\"a.example\",\"path-prefix\":\"/stamp/\",\
         \"kind\":\"non_idempotent\",\"timeout-ms\":800,\"target-latency-ms\":150,\"priority\":2,\"service\":\"desk\",\
         \"attempts\":1,\"public\":false}}],\"services\":[{{\"name\":\"desk\",\"health-path\":\"/health\",\
         \"max-connections\":96,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max-header-bytes\":16384,\
         \"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"tenant-a\",\"api-keys\":[{keys}],\"priority\":1}}]}}"
    )
}

/// The requests that ran, each with the time at which it began.
type Runs = Arc<Mutex<Vec<String>>>;

fn serve_one(mut conn: Conn, runs: &Runs) -> io::Result<()> {
    while let Some(request) = conn.read_request()? {
        let id = request.header("x-cassiareel-request-id").unwrap_or("-").to_owned();
        runs.lock().unwrap().push(id.clone());
        let headers = format!("X-Cassiareel-Request-Id: {id}\r\nX-Cassiareel-Runner-Signature: s-{id}\r\n");
        conn.answer("200 OK", &headers, "stamped")?;
    }
    Ok(())
}

fn stamp(front: SocketAddr, id: &str, key: &str) -> Option<u16> {
    let text = format!(
        "POST /stamp/x HTTP/1.1\r\nHost: a.example\r\nX-Cassiareel-Request-Id: {id}\r\nApi-Key: {key}\r\n\
         X-Cassiareel-Deadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n"
    );
    let answer = call(front, &text, Duration::from_secs(2));
    answer.ok().map(|answer| answer.status)
}

/// Plays the case; returns whether the rule held.
fn play(record: &Record, dir: &Path) -> Result<bool, String> {
    let store = Store::start();
    store.put("config", "main", &config(7, "\"key-one\",\"key-two\""));
    let runs = Runs::default();
    let (listener, address) = listen();
    let shared = runs.clone();
    serve(listener, move |conn| serve_one(conn, &shared));
    store.put("servers", "i-1", &entry("desk", address, 6, "ready"));
    // With START_BOUND=new the node starts with the bound that it otherwise gets later.
    let starts_with_new = std::env::var("START_BOUND").as_deref() == Ok("new");
    let first_bound = if starts_with_new { NEW_REVOKE_MS } else { OLD_REVOKE_MS };
    let node = Node::start(dir, store.address, first_bound)?;
    record.line(&format!("the node is ready, with a bound of {first_bound} ms on withdrawn keys"));
    if !wait_for(Duration::from_secs(5), || stamp(node.front, "first", "key-one") == Some(200)) {
        return Err("no request is served".to_owned());
    }
    node.write_settings(NEW_REVOKE_MS).map_err(|err| err.to_string())?;
    node.signal("HUP");
    record.line(&format!("platform: the settings file has a bound of {NEW_REVOKE_MS} ms, and SIGHUP is sent"));
    // A node reads the file again every few seconds in any case.
    thread::sleep(Duration::from_secs(5));
    if has_trouble() {
        store.set_silent(true);
        record.line("the node is cut off from the store");
    }
    thread::sleep(Duration::from_millis(100));
    store.put("config", "main", &config(8, "\"key-two\""));
    let acknowledged = Instant::now();
    record.line("operator: version 8 without key-one is acknowledged");
    let mut late_runs = 0;
    let mut number = 0;
    while acknowledged.elapsed() < CUT_TIME - Duration::from_millis(200) {
        thread::sleep(INTERVAL);
        let id = format!("stamp-{number}");
        number += 1;
        let sent = acknowledged.elapsed();
        let status = stamp(node.front, &id, "key-one");
        let ran = runs.lock().unwrap().contains(&id);
        let is_late = sent > Duration::from_millis(NEW_REVOKE_MS);
        late_runs += usize::from(ran && is_late);
        record.line(&format!("caller: {id} sent {} ms after the acknowledgement, status {status:?}, ran: {ran}",
            sent.as_millis()));
    }
    store.set_silent(false);
    record.line(&format!("{late_runs} requests ran that were sent later than {NEW_REVOKE_MS} ms after it"));
    Ok(late_runs == 0)
}

fn main() {
    let mut args = std::env::args().skip(1);
    let (file, dir) = (args.next().expect("a record"), args.next().expect("a folder"));
    let record = Record::create(&file);
    let outcome = play(&record, Path::new(&dir));
    process::exit(finish(&record, outcome));
}
