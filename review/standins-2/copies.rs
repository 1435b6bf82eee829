//! Case 6: an engine writes the answer to a call that copies a run's memory once more, late, where the
//! answer to the next such call is expected. Does any run go on from the memory of another one?

mod common;

use std::{
    collections::HashMap,
    io,
    net::{SocketAddr, TcpStream},
    path::Path,
    process,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use common::{
    answer_text, entry, finish, has_trouble, listen, member, serve, text_of, Conn, Node, Record, Request, Store,
};

/// The time between two events of a long stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(50);

/// The events of a long and of a short stream.
const LONG_EVENTS: u64 = 160;
const SHORT_EVENTS: u64 = 2;

/// Short streams before the disruption. Each engine is asked for its report before each of them: two garbled
/// answers of more than this number are less than 3 in 100.
const WARM_UP: usize = 80;

/// Long streams.
const LONG_STREAMS: u32 = 6;

/// The runs of other nodes at each engine, the memory of each, and all memory, in tokens.
const OTHER_RUNS: u64 = 4;
const OTHER_TOKENS: u64 = 6300;
const ALL_TOKENS: u64 = 55_000;

/// Whose memory an engine keeps under the name of a copy.
#[derive(Clone)]
struct Copy {
    owner: String,
}

/// A run at an engine.
struct Run {
    /// The request whose memory the run reads.
    memory: String,
    events: u64,
    is_cut: bool,
}

#[derive(Default)]
struct State {
    runs: HashMap<String, Run>,
    /// Copies that other engines made here, by origin and handle.
    copies: HashMap<String, Copy>,
    handles: u64,
    answers: u64,
}

/// An engine. All engines of the case are threads of this process.
#[derive(Clone)]
struct Engine {
    name: &'static str,
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    others: Arc<Mutex<Vec<Engine>>>,
    record: Record,
    /// Whether the next answer to a copy call is written twice.
    garbles: Arc<Mutex<bool>>,
    /// Requests that went on from the memory of another one: the request, the owner.
    mixed: Arc<Mutex<Vec<(String, String)>>>,
}

impl Engine {
    fn start(name: &'static str, shared: &Engine) -> Engine {
        let (listener, address) = listen();
        let engine = Engine {
            name,
            address,
            state: Arc::default(),
            ..shared.clone()
        };
        engine.others.lock().unwrap().push(engine.clone());
        let serving = engine.clone();
        serve(listener, move |conn| serving.serve_one(conn));
        engine
    }

    fn serve_one(&self, mut conn: Conn) -> io::Result<()> {
        // The answer to the last call on this connection, if that copied a run's memory.
        let mut last_copy: Option<(String, String)> = None;
        while let Some(request) = conn.read_request()? {
            let run = match (request.method.as_str(), request.path()) {
                ("GET", "/-/report") => {
                    let report = self.report();
                    conn.answer("200 OK", "Content-Type: application/json\r\n", &report)?;
                    None
                }
                ("GET", "/-/kv-events") => {
                    let body = "{\"epoch\":1,\"next\":1,\"lost\":false,\"events\":[]}";
                    conn.answer("200 OK", "Content-Type: application/json\r\n", body)?;
                    None
                }
                ("POST", "/-/hold-take") => {
                    let number = self.state.lock().unwrap().answers;
                    conn.answer("200 OK", "Content-Type: application/json\r\n", &format!("{{\"hold\":\"p{number}\"}}"))?;
                    None
                }
                ("POST", "/-/kv-move") => {
                    let before = last_copy.take();
                    last_copy = Some(self.copy_run(&mut conn, &request, before)?);
                    continue;
                }
                ("DELETE", _) => {
                    let name = request.path().rsplit('/').next().unwrap_or_default().to_owned();
                    self.free(&name);
                    conn.answer("200 OK", "", "{}")?;
                    None
                }
                _ => Some(self.run(&mut conn, &request)?),
            };
            last_copy = None;
            self.state.lock().unwrap().answers += 1;
            if run == Some(false) {
                return Ok(());
            }
        }
        Ok(())
    }

    fn report(&self) -> String {
        let state = self.state.lock().unwrap();
        let others = (0..OTHER_RUNS).map(|number| format!("[\"other-{number}\",{OTHER_TOKENS},40,5]"));
        let own = state.runs.iter();
        let own = own.map(|(id, run)| format!("[\"{id}\",{},{},5]", 100 + run.events, run.events));
        let runs: Vec<String> = others.chain(own).collect();
        let used = OTHER_RUNS * OTHER_TOKENS + state.runs.len() as u64 * 200;
        format!(
            "{{\"stage\":\"unified\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\
             \"sequence\":1,\"queue-depth\":0,\"active-requests\":{},\"kv-used\":{used},\
             \"kv-total\":{ALL_TOKENS},\"handles\":0,\"runs\":[{}]}}",
            runs.len(),
            runs.join(",")
        )
    }

    /// Copies a run's memory to another engine and answers with the handle. A garbling engine then
    /// writes the answer to the call before once more, where this answer is expected.
    fn copy_run(
        &self,
        conn: &mut Conn,
        request: &Request,
        before: Option<(String, String)>,
    ) -> io::Result<(String, String)> {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let id = text_of(member(&body, "id").unwrap_or_default()).to_owned();
        let target = text_of(member(&body, "target").unwrap_or_default()).to_owned();
        let target = target.parse().map_err(io::Error::other)?;
        let handle = {
            let mut state = self.state.lock().unwrap();
            state.answers += 1;
            if !state.runs.contains_key(&id) {
                conn.answer("404 Not Found", "", "{}")?;
                return Ok((id, answer_text("404 Not Found", "", "{}")));
            }
            state.handles += 1;
            format!("h{}", state.handles)
        };
        let others = self.others.lock().unwrap().clone();
        if let Some(holder) = others.iter().find(|engine| engine.address == target) {
            let copy = Copy { owner: id.clone() };
            let key = format!("{}/{handle}", self.address);
            holder.state.lock().unwrap().copies.insert(key, copy);
        }
        let body = format!("{{\"handle\":\"{handle}\",\"created-rev\":1}}");
        // Engines echo the id of a request that has one.
        let echo = request.header("x-cassiareel-request-id");
        let echo = echo.map_or(String::new(), |id| format!("X-Cassiareel-Request-Id: {id}\r\n"));
        let headers = format!("Content-Type: application/json\r\n{echo}");
        let answer = answer_text("200 OK", &headers, &body);
        self.record.line(&format!("{}: copies the memory of {id} to {target}, handle {handle}", self.name));
        if let Some((other, text)) = before {
            let mut garbles = self.garbles.lock().unwrap();
            if *garbles && other != id {
                *garbles = false;
                self.record.line(&format!("{}: writes the answer to the copy call for {other} once more, \
                    where the answer to that for {id} is due", self.name));
                conn.write(text.as_bytes())?;
                let engine = self.clone();
                let cut = id.clone();
                thread::spawn(move || {
                    thread::sleep(Duration::from_millis(120));
                    engine.record.line(&format!("{}: breaks off the answer to {cut}", engine.name));
                    if let Some(run) = engine.state.lock().unwrap().runs.get_mut(&cut) {
                        run.is_cut = true;
                    }
                });
                thread::sleep(Duration::from_millis(5));
            }
        }
        conn.write(answer.as_bytes())?;
        Ok((id, answer))
    }

    fn free(&self, handle: &str) {
        let key = format!("{}/{handle}", self.address);
        for engine in self.others.lock().unwrap().iter() {
            engine.state.lock().unwrap().copies.remove(&key);
        }
    }

    /// Runs a request; reports whether the connection can be used again.
    fn run(&self, conn: &mut Conn, request: &Request) -> io::Result<bool> {
        let id = request.header("x-cassiareel-request-id").unwrap_or_default().to_owned();
        let last: u64 = request.header("last-event-id").and_then(|last| last.parse().ok()).unwrap_or(0);
        let mut memory = id.clone();
        if let Some(source) = request.header("kv-from") {
            // The platform's pages have the caller send the same request here; the engine goes on from
            // the memory that the header names. A handle can be used once.
            let Some(copy) = self.state.lock().unwrap().copies.remove(source) else {
                self.record.line(&format!("{}: has no copy {source} for {id}", self.name));
                let headers = format!("X-Cassiareel-Request-Id: {id}\r\nX-Cassiareel-Not-Executed: 1\r\n");
                conn.answer("503 Service Unavailable", &headers, "")?;
                return Ok(true);
            };
            self.record.line(&format!("{}: {id} goes on after event {last} from copy {source}, which is the \
                memory of {}", self.name, copy.owner));
            if copy.owner != id {
                self.mixed.lock().unwrap().push((id.clone(), copy.owner.clone()));
            }
            memory = copy.owner;
        } else if request.path().starts_with("/long/") {
            self.record.line(&format!("{}: runs {id} after event {last}", self.name));
        }
        let run = Run {
            memory: memory.clone(),
            events: last,
            is_cut: false,
        };
        self.state.lock().unwrap().runs.insert(id.clone(), run);
        let ended = self.write_events(conn, request, &id, last);
        self.state.lock().unwrap().runs.remove(&id);
        ended
    }

    fn write_events(&self, conn: &mut Conn, request: &Request, id: &str, last: u64) -> io::Result<bool> {
        let is_long = request.path().starts_with("/long/");
        let (count, pause) = match is_long {
            true => (LONG_EVENTS, EVENT_INTERVAL),
            false => (SHORT_EVENTS, Duration::from_millis(1)),
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Cassiareel-Request-Id: {id}\r\nX-Cassiareel-Runner-Signature: s-{id}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        conn.write(head.as_bytes())?;
        for event in last + 1..=count {
            let memory = {
                let mut state = self.state.lock().unwrap();
                let run = state.runs.get_mut(id).ok_or(io::ErrorKind::Other)?;
                if run.is_cut {
                    return Ok(false);
                }
                run.events = event;
                run.memory.clone()
            };
            let text = format!("id: {event}\ndata: text of {memory}\n\n");
            conn.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            thread::sleep(pause);
        }
        conn.write(b"0\r\n\r\n")?;
        Ok(true)
    }
}

/// Sends a stream and returns its answer's status, its events' texts and whether it ended whole.
fn stream(front: SocketAddr, id: &str, path: &str, prompt: u32) -> io::Result<(u16, Vec<String>, bool)> {
    let socket = TcpStream::connect(front)?;
    socket.set_read_timeout(Some(Duration::from_secs(25)))?;
    let mut conn = Conn::new(socket);
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: a.example\r\nX-Cassiareel-Request-Id: {id}\r\nX-Cassiareel-Model: m\r\n\
         X-Cassiareel-Token-Count: 100,200\r\nX-Cassiareel-Prompt-Prefix: aa:50,{prompt:x}:50\r\n\
         X-Cassiareel-Deadline-Ms: 24000\r\nContent-Length: 0\r\n\r\n"
    );
    conn.write(head.as_bytes())?;
    let eof = || io::Error::from(io::ErrorKind::UnexpectedEof);
    let (first, _) = conn.read_head()?.ok_or_else(eof)?;
    let status = first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut texts = Vec::new();
    if status != 200 {
        return Ok((status, texts, false));
    }
    loop {
        match conn.read_chunk() {
            Ok(Some(chunk)) => {
                let chunk = String::from_utf8_lossy(&chunk).into_owned();
                let data = chunk.lines().filter_map(|line| line.strip_prefix("data: text of "));
                texts.extend(data.map(str::to_owned));
            }
            Ok(None) => return Ok((status, texts, true)),
            Err(_) => return Ok((status, texts, false)),
        }
    }
}

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-short","host":"a.example","path-prefix":"/short/","kind":"stream","timeout-ms":25000,"target-latency-ms":4500,"priority":1,"service":"model","attempts":5,"public":true,"session-affinity":true,"stream-resume":true,"gap-aim-ms":700},{"name":"r-long","host":"a.example","path-prefix":"/long/","kind":"stream","timeout-ms":25000,"target-latency-ms":4500,"priority":1,"service":"model","attempts":5,"public":true,"session-affinity":true,"stream-resume":true,"gap-aim-ms":700}],"services":[{"name":"model","health-path":"/health","max-connections":150,"protocol":"h1","tls":false,"engine":{"slots":12,"kv-capacity-tokens":55000,"kv-token-bytes":327680,"link-mbps":550000.0,"moves":true,"backups":true,"stride":8,"most":12,"pin-ms":4000.0,"hold-ms":2000.0,"handle-s":4.0,"models":[{"name":"m"}]}}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#;

/// Plays the case; returns whether the rule held.
fn play(record: &Record, dir: &Path) -> Result<bool, String> {
    let store = Store::start();
    store.put("config", "main", CONFIG);
    let shared = Engine {
        name: "",
        address: store.address,
        state: Arc::default(),
        others: Arc::default(),
        record: record.clone(),
        garbles: Arc::default(),
        mixed: Arc::default(),
    };
    let first = Engine::start("engine-1", &shared);
    let second = Engine::start("engine-2", &shared);
    store.put("servers", "i-1", &entry("model", first.address, 12, "ready"));
    store.put("servers", "i-2", &entry("model", second.address, 12, "ready"));
    let node = Node::start(dir, store.address, 5000)?;
    record.line("the node is ready");
    for number in 0..WARM_UP {
        let answer = stream(node.front, &format!("warm-{number}"), "/short/x", 1000 + number as u32);
        let (status, _, whole) = answer.map_err(|err| err.to_string())?;
        if status != 200 || !whole {
            return Err(format!("a short stream got status {status}"));
        }
    }
    record.line(&format!("{WARM_UP} short streams answered"));
    let callers: Vec<_> = (1..=LONG_STREAMS)
        .map(|number| {
            let (front, record) = (node.front, record.clone());
            thread::sleep(Duration::from_millis(130));
            thread::spawn(move || {
                let id = format!("stream-{number}");
                record.line(&format!("caller: sends {id}"));
                let answer = stream(front, &id, "/long/x", number);
                (id, answer)
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    for engine in [&first, &second] {
        let answers = engine.state.lock().unwrap().answers;
        record.line(&format!("{} has given {answers} answers so far", engine.name));
    }
    *first.garbles.lock().unwrap() = has_trouble();
    let mut foreign = 0;
    for caller in callers {
        let (id, answer) = caller.join().map_err(|_| "a caller failed".to_owned())?;
        let (status, texts, whole) = answer.map_err(|err| err.to_string())?;
        let others = texts.iter().filter(|text| **text != id).count();
        foreign += others;
        record.line(&format!("caller: {id} got status {status}, {} events, whole: {whole}, of these {others} \
            with the text of another request", texts.len()));
    }
    if has_trouble() && *first.garbles.lock().unwrap() {
        return Err("no two copy calls came on one connection, so nothing was garbled".to_owned());
    }
    let mixed = first.mixed.lock().unwrap().clone();
    for (request, owner) in &mixed {
        record.line(&format!("MIXED: {request} went on from the memory of {owner}"));
    }
    Ok(mixed.is_empty() && foreign == 0)
}

fn main() {
    let mut args = std::env::args().skip(1);
    let (file, dir) = (args.next().expect("a record"), args.next().expect("a folder"));
    let record = Record::create(&file);
    let outcome = play(&record, Path::new(&dir));
    process::exit(finish(&record, outcome));
}
