//! Case 7: one of five servers answers one request with interim heads without end. Do the other requests
//! of the node get answers?

mod common;

use std::{
    io,
    net::SocketAddr,
    path::Path,
    process,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use common::{call, entry, finish, has_trouble, listen, serve, Conn, Node, Record, Store};

/// The servers of the service, of which one is in trouble.
const SERVERS: usize = 5;

/// Requests before the disruption; the one garbled answer is one of more than this number.
const WARM_UP: usize = 200;

/// How long the server writes: the site's time for this disruption. The pages set no end but the caller's
/// close.
const TROUBLE_TIME: Duration = Duration::from_secs(5);

/// What a link of 1,000 Mbit/s carries, in bytes a second.
const LINK_BYTES_PER_S: f64 = 125e6;

/// The route's timeout, and how long after it an answer is due.
const TIMEOUT: Duration = Duration::from_millis(800);
const SLACK: Duration = Duration::from_millis(500);

/// Requests during the disruption, and the interval between them.
const REQUESTS: usize = 40;
const INTERVAL: Duration = Duration::from_millis(60);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-lookup","host":"a.example","path-prefix":"/lookup/","kind":"idempotent","timeout-ms":800,"target-latency-ms":150,"priority":2,"service":"desk","attempts":2,"public":true}],"services":[{"name":"desk","health-path":"/health","max-connections":96,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#;

/// What the servers share.
#[derive(Clone)]
struct Servers {
    record: Record,
    /// Whether the next answer is garbled.
    is_due: Arc<Mutex<bool>>,
    answers: Arc<AtomicUsize>,
}

impl Servers {
    fn serve_one(&self, number: usize, mut conn: Conn) -> io::Result<()> {
        while let Some(request) = conn.read_request()? {
            let id = request
                .header("x-cassiareel-request-id")
                .unwrap_or("-")
                .to_owned();
            // The server that gets the next request is the one in trouble.
            let garbles = std::mem::take(&mut *self.is_due.lock().unwrap());
            if garbles {
                return self.write_endless(number, &id, conn);
            }
            thread::sleep(Duration::from_millis(10));
            let headers = format!(
                "X-Cassiareel-Request-Id: {id}\r\nX-Cassiareel-Runner-Signature: s-{id}\r\n\
                 X-Cassiareel-Runner-Load: 1,0,6\r\n"
            );
            conn.answer("200 OK", &headers, &format!("answer to {id}"))?;
            self.answers.fetch_add(1, Ordering::SeqCst);
        }
        Ok(())
    }

    /// Writes interim heads until the caller closes, or the time of the disruption is over.
    fn write_endless(&self, number: usize, id: &str, mut conn: Conn) -> io::Result<()> {
        self.record.line(&format!(
            "server-{number}: answers {id} with interim heads without end"
        ));
        let block = interim_head().repeat(100);
        let (began, mut bytes) = (Instant::now(), 0_u64);
        let written = loop {
            if began.elapsed() >= TROUBLE_TIME {
                break Ok(());
            }
            if bytes as f64 > began.elapsed().as_secs_f64() * LINK_BYTES_PER_S {
                thread::sleep(Duration::from_micros(50));
                continue;
            }
            if let Err(err) = conn.write(block.as_bytes()) {
                break Err(err);
            }
            bytes += block.len() as u64;
        };
        let cause = if written.is_err() {
            "the caller closed"
        } else {
            "its time was over"
        };
        let millis = began.elapsed().as_millis();
        self.record.line(&format!(
            "server-{number}: ends after {millis} ms and {bytes} bytes, since {cause}"
        ));
        written
    }
}

/// Returns an interim head with many short headers.
fn interim_head() -> String {
    let letters = 'a'..='i';
    let names = letters.clone().flat_map(|first| {
        letters
            .clone()
            .map(move |second| format!("{first}{second}"))
    });
    let headers: String = names.map(|name| format!("{name}: 1\r\n")).collect();
    format!("HTTP/1.1 102 Processing\r\n{headers}\r\n")
}

/// Sends one lookup; returns its status, or `None` where no answer came in the time.
fn look_up(front: SocketAddr, id: &str) -> (Option<u16>, Duration) {
    let text = format!(
        "GET /lookup/x HTTP/1.1\r\nHost: a.example\r\nX-Cassiareel-Request-Id: {id}\r\n\
         X-Cassiareel-Deadline-Ms: 1500\r\n\r\n"
    );
    let began = Instant::now();
    let answer = call(front, &text, TIMEOUT + SLACK);
    (answer.ok().map(|answer| answer.status), began.elapsed())
}

/// Plays the case; returns whether the rule held.
fn play(record: &Record, dir: &Path) -> Result<bool, String> {
    let store = Store::start();
    store.put("config", "main", CONFIG);
    let servers = Servers {
        record: record.clone(),
        is_due: Arc::default(),
        answers: Arc::default(),
    };
    for number in 0..SERVERS {
        let (listener, address) = listen();
        let shared = servers.clone();
        serve(listener, move |conn| shared.serve_one(number, conn));
        store.put(
            "servers",
            &format!("i-{number}"),
            &entry("desk", address, 6, "ready"),
        );
    }
    let node = Node::start(dir, store.address, 5000)?;
    record.line("the node is ready");
    for number in 0..WARM_UP {
        let (status, _) = look_up(node.front, &format!("warm-{number}"));
        if status != Some(200) {
            return Err(format!("a lookup before the disruption got {status:?}"));
        }
    }
    record.line(&format!(
        "{} lookups answered before the disruption",
        servers.answers.load(Ordering::SeqCst)
    ));
    *servers.is_due.lock().unwrap() = has_trouble();
    // Lookups go on until one reaches the server in trouble.
    let reached = Instant::now();
    let mut number = 0;
    while *servers.is_due.lock().unwrap() {
        if reached.elapsed() > Duration::from_secs(20) {
            return Err("no lookup reached the server in trouble".to_owned());
        }
        let front = node.front;
        thread::spawn(move || look_up(front, &format!("probe-{number}")));
        number += 1;
        thread::sleep(Duration::from_millis(20));
    }
    let callers: Vec<_> = (0..REQUESTS)
        .map(|number| {
            thread::sleep(INTERVAL);
            let (front, record) = (node.front, record.clone());
            thread::spawn(move || {
                let (status, took) = look_up(front, &format!("lookup-{number}"));
                let text =
                    status.map_or("no answer".to_owned(), |status| format!("status {status}"));
                record.line(&format!(
                    "caller: lookup-{number} {text} after {} ms",
                    took.as_millis()
                ));
                (status, took)
            })
        })
        .collect();
    let is_ready = node.is_ready(Duration::from_secs(1));
    record.line(&format!(
        "balancer: the node answers the readiness check with 200: {is_ready}"
    ));
    let answers = callers
        .into_iter()
        .map(|caller| caller.join().unwrap_or((None, TIMEOUT)));
    let open: Vec<Option<u16>> = answers
        .filter(|(status, took)| status.is_none() || *took > TIMEOUT)
        .map(|(status, _)| status)
        .collect();
    let unanswered = open.iter().filter(|status| status.is_none()).count();
    record.line(&format!(
        "{} of {REQUESTS} lookups were open at the route's timeout of {} ms, and {unanswered} of these {} ms later",
        open.len(),
        TIMEOUT.as_millis(),
        SLACK.as_millis()
    ));
    thread::sleep(TROUBLE_TIME);
    let (status, _) = look_up(node.front, "after");
    record.line(&format!(
        "caller: a lookup after the disruption got {status:?}"
    ));
    Ok(2 * unanswered <= open.len())
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
