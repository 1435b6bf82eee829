//! Processes that exceed their memory: a runner answers a call of the system itself with bytes that do
//! not end, or callers send large bodies in chunks.

use std::{
    io::{BufReader, Write},
    net::TcpStream,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{Client, Outcome},
    engine::Trouble,
    fleet::{Fleet, Size},
    http::{chunk, read_message, Message},
    record::Record,
    Verdict,
};

/// The deployment; the memory is that of the smaller site.
const SIZE: Size = Size {
    nodes: 3,
    engines: 12,
    memory_mb: 110,
    prompt_tokens: 5000,
};

/// Time without the disruption, and with it.
const CALM: Duration = Duration::from_secs(10);
const DISRUPTED: Duration = Duration::from_secs(30);

/// The time with it where calls for a copy bring it about, which are rare.
const LONG_DISRUPTED: Duration = Duration::from_secs(70);

/// Callers of streams, and of orders, at each node.
const STREAM_CALLERS: usize = 9;
const ORDER_CALLERS: usize = 4;

/// Requests of kept connections that may be lost at sound runners.
const ALLOWED_LOSSES: u64 = 3;

/// The time between two callers of a burst at each node: 13 a second, beside 20 a second otherwise.
const BURST_INTERVAL: Duration = Duration::from_millis(75);

/// The length of a burst, and the time between the beginnings of two.
const BURST: Duration = Duration::from_secs(3);
const BURST_PERIOD: Duration = Duration::from_secs(12);

/// The number of bursts.
const BURSTS: u32 = 2;

/// The time that a caller of a burst needs to send its body.
const BODY_TIME: Duration = Duration::from_secs(6);

/// The size of a body of a burst: what the configuration allows.
const BODY_BYTES: usize = 4_194_304;

/// The size of the parts in which a caller sends such a body: one chunk, or one packet of a usual network.
const CHUNK_BYTES: usize = 65_536;
const PACKET_BYTES: usize = 1460;

/// What goes wrong in a case.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Disruption {
    /// A runner's answer to a call for a copy does not end.
    EndlessBody,
    /// Some answers of a runner of the plain service do not end, and come byte by byte.
    DrippingAnswers,
    /// More callers come than usual, whose bodies are as large as allowed and come in chunks.
    ChunkedBodies,
    /// The same, but the bodies have a length and come packet by packet.
    PacketBodies,
}

/// Runs the case.
pub fn run(record: Record, disruption: Disruption, has_trouble: bool) -> Verdict {
    // The other small site has 260 MB.
    let memory_mb = std::env::var("MEMORY_MB")
        .ok()
        .and_then(|mb| mb.parse().ok());
    let memory_mb = memory_mb.unwrap_or(SIZE.memory_mb);
    let Some(fleet) = Fleet::start(&Size { memory_mb, ..SIZE }, record) else {
        return Verdict::NotRun;
    };
    let fleet = Arc::new(fleet);
    let is_over = Arc::new(AtomicBool::new(false));
    let losses = Arc::new(AtomicU64::new(0));
    let served = Arc::new(AtomicU64::new(0));
    let mut callers = Vec::new();
    for node in 0..SIZE.nodes {
        for caller in 0..STREAM_CALLERS + ORDER_CALLERS {
            let is_stream = caller < STREAM_CALLERS;
            let (fleet, is_over) = (fleet.clone(), is_over.clone());
            let (losses, served) = (losses.clone(), served.clone());
            callers.push(thread::spawn(move || {
                thread::sleep(Duration::from_millis(caller as u64 * 700));
                call_repeatedly(
                    &fleet, node, is_stream, disruption, &is_over, &losses, &served,
                );
            }));
        }
    }
    thread::sleep(CALM);
    match disruption {
        _ if !has_trouble => {}
        Disruption::EndlessBody => {
            fleet
                .record
                .say("m-0 is in trouble: it answers calls for a copy without end");
            fleet.engines[0].set_trouble(Trouble::EndlessBody);
        }
        Disruption::DrippingAnswers => {
            fleet
                .record
                .say("d-0 is in trouble: some of its answers go on without end, byte by byte");
            fleet.services[0].set_faulty();
        }
        Disruption::ChunkedBodies | Disruption::PacketBodies => {
            for node in 0..SIZE.nodes {
                let fleet = fleet.clone();
                thread::spawn(move || {
                    for _ in 0..BURSTS {
                        fleet.record.say(&format!(
                            "a burst of callers with large bodies begins at front-{}",
                            node + 1
                        ));
                        send_burst(&fleet, node, disruption);
                        thread::sleep(BURST_PERIOD - BURST);
                    }
                });
            }
        }
    }
    thread::sleep(match disruption {
        Disruption::EndlessBody => LONG_DISRUPTED,
        _ => DISRUPTED,
    });
    is_over.store(true, Ordering::SeqCst);
    fleet.nodes.iter().for_each(|node| {
        let (kills, ends) = (&node.memory_kills, &node.ends);
        fleet.record.say(&format!(
            "{}: at most {} MiB, {} times killed over {} MiB, {} times ended otherwise",
            node.name,
            node.peak_kib.load(Ordering::Relaxed) / 1024,
            kills.load(Ordering::Relaxed),
            memory_mb,
            ends.load(Ordering::Relaxed)
        ));
    });
    if disruption == Disruption::EndlessBody {
        let (answers, wrong) = fleet.engines[0].counts();
        fleet
            .record
            .say(&format!("m-0: {wrong} of {answers} answers did not end"));
    }
    if disruption == Disruption::DrippingAnswers {
        let (answers, wrong) = fleet.services[0].counts();
        fleet
            .record
            .say(&format!("d-0: {wrong} of {answers} answers did not end"));
    }
    let lost = losses.load(Ordering::SeqCst);
    fleet.record.say(&format!(
        "{} requests served; {lost} of kept connections, run by sound runners, ended without an answer; allowed: {ALLOWED_LOSSES}",
        served.load(Ordering::SeqCst)
    ));
    fleet.end();
    match (lost > ALLOWED_LOSSES, served.load(Ordering::SeqCst)) {
        (true, _) => Verdict::Broken,
        (false, 0) => Verdict::NotRun,
        (false, _) => Verdict::Held,
    }
}

/// Sends requests one after another on one connection.
fn call_repeatedly(
    fleet: &Fleet,
    node: usize,
    is_stream: bool,
    disruption: Disruption,
    is_over: &AtomicBool,
    losses: &AtomicU64,
    served: &AtomicU64,
) {
    let mut client = Client::new(fleet.nodes[node].front);
    while !is_over.load(Ordering::SeqCst) {
        let id = fleet.next_id();
        let request = if is_stream {
            fleet.stream_request(&id)
        } else {
            fleet.order_request(&id)
        };
        // A caller keeps its connection: a first request opens it.
        let is_kept = client.is_kept();
        fleet.record.line(&format!(
            "caller sends {id} to front-{}, kept connection: {is_kept}",
            node + 1
        ));
        let outcome = client.call(&request);
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        let text = match &outcome {
            Outcome::Answer(answer) => format!("status {}", answer.status()),
            Outcome::Stream(events) => format!("a whole stream of {} events", events.len()),
            Outcome::Cut(events) => format!("cut after {} events", events.len()),
            Outcome::Closed => "closed without an answer".to_owned(),
            Outcome::Unreached => "no connection".to_owned(),
        };
        fleet.record.line(&format!("{id}: {text}"));
        match outcome {
            Outcome::Answer(answer) if answer.status() == 200 => {
                served.fetch_add(1, Ordering::SeqCst);
            }
            Outcome::Stream(_) => {
                served.fetch_add(1, Ordering::SeqCst);
            }
            Outcome::Closed if is_kept && ran_at_sound_runner(fleet, &id, disruption) => {
                losses.fetch_add(1, Ordering::SeqCst);
                fleet.record.line(&format!("{id} counts as lost"));
            }
            _ => thread::sleep(Duration::from_millis(300)),
        }
        if !is_stream {
            thread::sleep(Duration::from_millis(100));
        }
    }
}

/// Reports whether a request was passed on to a runner that is not in trouble.
fn ran_at_sound_runner(fleet: &Fleet, id: &str, disruption: Disruption) -> bool {
    let is_in_trouble = |number: usize, at: Disruption| number == 0 && disruption == at;
    let at_service = fleet.services.iter().enumerate().any(|(number, service)| {
        !is_in_trouble(number, Disruption::DrippingAnswers)
            && service.runs.lock().unwrap().contains_key(id)
    });
    let at_engine = fleet.engines.iter().enumerate().any(|(number, engine)| {
        !is_in_trouble(number, Disruption::EndlessBody) && engine.has_run(id)
    });
    at_service || at_engine
}

/// Sends a burst of requests with large bodies to a node.
fn send_burst(fleet: &Arc<Fleet>, node: usize, disruption: Disruption) {
    let began = Instant::now();
    while began.elapsed() < BURST {
        let fleet = fleet.clone();
        thread::spawn(move || {
            let id = fleet.next_id();
            fleet.record.line(&format!(
                "caller sends {id} with {BODY_BYTES} bytes to front-{}",
                node + 1
            ));
            let answer = send_large_body(&fleet, node, &id, disruption);
            let status = answer.map_or(0, |answer| answer.status());
            fleet.record.line(&format!("{id}: status {status}"));
        });
        thread::sleep(BURST_INTERVAL);
    }
}

/// Sends a request with a large body. With `LENGTH=1` in the environment, a body in chunks has a length
/// instead; with `PACKET_BYTES`, the parts of the other kind have that size.
fn send_large_body(
    fleet: &Fleet,
    node: usize,
    id: &str,
    disruption: Disruption,
) -> Option<Message> {
    let mut stream = TcpStream::connect(fleet.nodes[node].front).ok()?;
    stream.set_nodelay(true).ok()?;
    let text = String::from_utf8(fleet.stream_request(id)).ok()?;
    let (head, _) = text.split_once("Content-Length")?;
    let is_chunked =
        disruption == Disruption::ChunkedBodies && std::env::var_os("LENGTH").is_none();
    let framing = if is_chunked {
        "Transfer-Encoding: chunked\r\n\r\n".to_owned()
    } else {
        format!("Content-Length: {BODY_BYTES}\r\n\r\n")
    };
    stream
        .write_all(format!("{head}{framing}").as_bytes())
        .ok()?;
    let part_bytes = match disruption {
        Disruption::PacketBodies => {
            let size = std::env::var("PACKET_BYTES")
                .ok()
                .and_then(|size| size.parse().ok());
            size.unwrap_or(PACKET_BYTES)
        }
        _ => CHUNK_BYTES,
    };
    let began = Instant::now();
    let mut sent = 0;
    while sent < BODY_BYTES {
        let part = vec![b'x'; part_bytes.min(BODY_BYTES - sent)];
        sent += part.len();
        let bytes = if is_chunked { chunk(&part) } else { part };
        // A node that refuses the request may close the connection before the body is sent.
        if stream.write_all(&bytes).is_err() {
            break;
        }
        let due = BODY_TIME.mul_f64(sent as f64 / BODY_BYTES as f64);
        thread::sleep(due.saturating_sub(began.elapsed()));
    }
    if is_chunked {
        let _ = stream.write_all(b"0\r\n\r\n");
    }
    read_message(&mut BufReader::new(stream)).ok()?
}
