//! Case 9: machines are replaced one after the other, and later the store is away for eight seconds. When is a
//! configuration in force that the operator writes after its return?

mod common;

use std::{
    io,
    net::{SocketAddr, TcpListener},
    path::Path,
    process,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use common::{
    call, entry, finish, has_trouble, listen, serve, wait_for, Conn, Node, Record, Setup, Store,
};

/// Machines that were removed for good, a few at a time, and those that are left.
const GONE: usize = 72;
const AT_A_TIME: usize = 12;
const LEFT: usize = 3;

/// The site's bounds.
const APPLY: Duration = Duration::from_millis(3000);
const CONTACT: Duration = Duration::from_millis(4000);

/// How long the store is away: the site's time for this disruption.
const OUTAGE: Duration = Duration::from_secs(8);

/// How long after its return requests are sent.
const WATCHED: Duration = Duration::from_secs(10);
const INTERVAL: Duration = Duration::from_millis(100);

fn config(version: u64, service: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-stamp\",\"host\":\"a.example\",\"path-prefix\":\"/stamp/\",\
         \"kind\":\"non_idempotent\",\"timeout-ms\":800,\"target-latency-ms\":150,\"priority\":2,\"service\":\"{service}\",\
         \"attempts\":1,\"public\":true}}],\"services\":[{{\"name\":\"desk-old\",\"health-path\":\"/health\",\
         \"max-connections\":96,\"protocol\":\"h1\",\"tls\":false}},{{\"name\":\"desk-new\",\"health-path\":\"/health\",\
         \"max-connections\":96,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max-header-bytes\":16384,\
         \"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}"
    )
}

/// The service and the id of each request that ran.
type Runs = Arc<Mutex<Vec<(&'static str, String)>>>;

fn serve_one(mut conn: Conn, service: &'static str, runs: &Runs) -> io::Result<()> {
    while let Some(request) = conn.read_request()? {
        let id = request
            .header("x-cassiareel-request-id")
            .unwrap_or("-")
            .to_owned();
        runs.lock().unwrap().push((service, id.clone()));
        let headers =
            format!("X-Cassiareel-Request-Id: {id}\r\nX-Cassiareel-Runner-Signature: s-{id}\r\n");
        conn.answer("200 OK", &headers, service)?;
    }
    Ok(())
}

fn start_server(store: &Store, service: &'static str, runs: &Runs) {
    let (listener, address) = listen();
    let runs = runs.clone();
    serve(listener, move |conn| serve_one(conn, service, &runs));
    store.put(
        "servers",
        &format!("i-{service}"),
        &entry(service, address, 6, "ready"),
    );
}

fn stamp(front: SocketAddr, id: &str) -> Option<u16> {
    let text = format!(
        "POST /stamp/x HTTP/1.1\r\nHost: a.example\r\nX-Cassiareel-Request-Id: {id}\r\n\
         X-Cassiareel-Deadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n"
    );
    let answer = call(front, &text, Duration::from_secs(2));
    answer.ok().map(|answer| answer.status)
}

fn spawn(dir: &Path, store: &Store, number: usize) -> Result<Node, String> {
    let setup = Setup::new(&format!("front-zone-a-{number}"), store.address);
    let apply_ms = APPLY.as_millis() as u64;
    Node::spawn(dir, Setup { apply_ms, ..setup })
}

/// Starts machines and removes them for good, a few at a time. Their addresses answer nothing from then on.
fn replace_machines(
    record: &Record,
    dir: &Path,
    store: &Store,
    count: usize,
) -> Result<Vec<TcpListener>, String> {
    let mut silent = Vec::new();
    let mut started = 0;
    while store.count("relay-nodes") < count {
        let joined = store.count("relay-nodes");
        let batch = AT_A_TIME.min(count - joined);
        let nodes: Vec<Node> = (started..started + batch)
            .map(|number| spawn(dir, store, number))
            .collect::<Result<_, _>>()?;
        started += batch;
        // A node whose port was taken meanwhile does not start; another one is then started.
        wait_for(Duration::from_secs(2), || {
            store.count("relay-nodes") >= joined + batch
        });
        if started > 2 * count + AT_A_TIME {
            return Err("the nodes do not join".to_owned());
        }
        let addresses: Vec<SocketAddr> = nodes.iter().map(|node| node.peers).collect();
        drop(nodes);
        for address in addresses {
            // Another process may have taken the port.
            silent.extend(TcpListener::bind(address));
        }
    }
    record.line(&format!(
        "platform: {} machines were added and removed for good",
        store.count("relay-nodes")
    ));
    Ok(silent)
}

/// Starts the machines that are left. One whose port was taken meanwhile does not start; others take its place.
fn start_left(dir: &Path, store: &Store) -> Result<Vec<Node>, String> {
    for try_number in 0..3 {
        let first = 900 + try_number * LEFT;
        let nodes: Vec<Node> = (first..first + LEFT)
            .map(|number| spawn(dir, store, number))
            .collect::<Result<_, _>>()?;
        let are_ready = || {
            // Something else in the store changes now and then: case 6 shows nodes that wait for that.
            store.put("others", "one", "{}");
            thread::sleep(Duration::from_millis(500));
            let is_ready = |node: &Node| node.is_ready(Duration::from_millis(500));
            nodes.iter().all(is_ready)
        };
        if wait_for(Duration::from_secs(15), are_ready) {
            return Ok(nodes);
        }
    }
    Err("the nodes are not ready".to_owned())
}

/// Plays the case; returns whether the rule held.
fn play(record: &Record, dir: &Path) -> Result<bool, String> {
    let store = Store::start();
    store.put("config", "main", &config(7, "desk-old"));
    let runs = Runs::default();
    start_server(&store, "desk-old", &runs);
    start_server(&store, "desk-new", &runs);
    let gone = std::env::var("GONE")
        .ok()
        .and_then(|gone| gone.parse().ok());
    let _silent = replace_machines(record, dir, &store, gone.unwrap_or(GONE))?;
    let nodes = start_left(dir, &store)?;
    record.line(&format!("{LEFT} nodes are ready"));
    thread::sleep(Duration::from_secs(6));
    for (number, node) in nodes.iter().enumerate() {
        if stamp(node.front, &format!("first-{number}")) != Some(200) {
            return Err("a stamp before the disruption was not served".to_owned());
        }
    }
    if has_trouble() {
        record.line("the store is silent");
        store.set_silent(true);
        thread::sleep(OUTAGE);
        store.set_silent(false);
        record.line("the store is back");
    }
    let back = Instant::now();
    thread::sleep(Duration::from_millis(100));
    store.put("config", "main", &config(8, "desk-new"));
    let acknowledged = back.elapsed();
    record.line("operator: version 8, which moves the route to desk-new, is acknowledged");
    let in_touch = if has_trouble() {
        CONTACT
    } else {
        Duration::ZERO
    };
    let mut stale = 0;
    let mut number = 0;
    while back.elapsed() < WATCHED {
        thread::sleep(INTERVAL);
        for (place, node) in nodes.iter().enumerate() {
            let id = format!("stamp-{place}-{number}");
            let sent = back.elapsed();
            let status = stamp(node.front, &id);
            let service = runs
                .lock()
                .unwrap()
                .iter()
                .find(|(_, run)| *run == id)
                .map(|(service, _)| *service);
            let is_due = sent > acknowledged + APPLY && sent > in_touch;
            let is_stale = is_due && service == Some("desk-old");
            stale += usize::from(is_stale);
            let note = if is_stale { ", TOO LATE" } else { "" };
            record.line(&format!(
                "caller: {id} sent at {} ms, status {status:?}, run by {service:?}{note}",
                sent.as_millis()
            ));
        }
        number += 1;
    }
    record.line(&format!(
        "{stale} stamps were run by desk-old that were sent later than {} ms after the \
        acknowledgement, and {} ms after the store was back",
        APPLY.as_millis(),
        in_touch.as_millis()
    ));
    Ok(stale == 0)
}

fn main() {
    let mut args = std::env::args().skip(1);
    let (file, dir) = (
        args.next().expect("a record"),
        args.next().expect("a folder"),
    );
    let record = Record::create(&file);
    let outcome = play(&record, Path::new(&dir));
    process::exit(finish(&record, outcome));
}
