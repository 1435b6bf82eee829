//! A stand-in of a plain service's runner: it works for a while and answers.

use std::{
    collections::HashMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{read_message, response},
    record::Record,
};

/// The part of a faulty runner's answers that do not end.
const MAX_WRONG_PART: f64 = 0.03;

/// The time between the bytes of such an answer, one packet each.
const DRIP_INTERVAL: Duration = Duration::from_micros(50);

/// A running runner.
pub struct Service {
    pub id: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    work: Duration,
    is_faulty: AtomicBool,
    answers: AtomicU64,
    wrong_answers: AtomicU64,
    running: AtomicU64,
    /// How often each request ran.
    pub runs: Mutex<HashMap<String, u64>>,
    record: Arc<Record>,
}

impl Service {
    /// Starts a runner whose requests take `work`.
    pub fn start(
        id: &str,
        zone: &'static str,
        work: Duration,
        record: &Arc<Record>,
    ) -> Arc<Service> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let service = Arc::new(Service {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            zone,
            work,
            is_faulty: AtomicBool::new(false),
            answers: AtomicU64::new(0),
            wrong_answers: AtomicU64::new(0),
            running: AtomicU64::new(0),
            runs: Mutex::default(),
            record: record.clone(),
        });
        let served = service.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(stream));
            }
        });
        service
    }

    /// Returns its entry in the registry.
    pub fn entry(&self, service: &str) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":6,\"state\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":1,\
             \"born\":1700000000000}}",
            self.address, self.zone
        )
    }

    /// Makes some of its answers go on without end.
    pub fn set_faulty(&self) {
        // The answers before don't count for the part that may be wrong.
        self.answers.store(0, Ordering::Relaxed);
        self.is_faulty.store(true, Ordering::Relaxed);
    }

    /// Returns how many answers it gave, and how many of them were wrong.
    pub fn counts(&self) -> (u64, u64) {
        let answers = self.answers.load(Ordering::Relaxed);
        (answers, self.wrong_answers.load(Ordering::Relaxed))
    }

    /// Reports whether this answer is one that does not end, and counts it.
    fn take_wrong_answer(&self) -> bool {
        let answers = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
        let wrong = self.wrong_answers.load(Ordering::Relaxed) + 1;
        let may_take = self.is_faulty.load(Ordering::Relaxed)
            && wrong as f64 <= answers as f64 * MAX_WRONG_PART;
        if may_take {
            self.wrong_answers.fetch_add(1, Ordering::Relaxed);
        }
        may_take
    }

    /// Writes bytes one by one, until the caller closes the connection.
    fn write_endless(&self, id: &str, writer: &mut TcpStream) {
        let began = Instant::now();
        let mut sent = 0_u32;
        while writer.write_all(b"x").is_ok() {
            sent += 1;
            while began.elapsed() < DRIP_INTERVAL * sent {
                std::hint::spin_loop();
            }
        }
        self.record.line(&format!(
            "{} sent {sent} bytes to {id} in {} ms, until the caller closed",
            self.id,
            began.elapsed().as_millis()
        ));
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            let expected = request.header("x-cassiareel-expect-runner");
            if expected.is_some_and(|expected| expected != self.id) {
                if writer.write_all(&response(421, "", "")).is_err() {
                    return;
                }
                continue;
            }
            let id = request
                .header("x-cassiareel-request-id")
                .unwrap_or("")
                .to_owned();
            *self.runs.lock().unwrap().entry(id.clone()).or_default() += 1;
            self.record.line(&format!("{} runs {id}", self.id));
            let running = self.running.fetch_add(1, Ordering::Relaxed) + 1;
            thread::sleep(self.work);
            self.running.fetch_sub(1, Ordering::Relaxed);
            if self.take_wrong_answer() {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nX-Cassiareel-Request-Id: {id}\r\n\
                     X-Cassiareel-Runner-Signature: sig-{}\r\n\r\n",
                    self.id
                );
                let _ = writer.write_all(head.as_bytes());
                return self.write_endless(&id, &mut writer);
            }
            let headers = format!(
                "X-Cassiareel-Request-Id: {id}\r\nX-Cassiareel-Runner-Signature: sig-{}\r\n\
                 X-Cassiareel-Runner-Load: {running},0,6\r\n",
                self.id
            );
            let body = format!("{id} done");
            if writer.write_all(&response(200, &headers, &body)).is_err() {
                return;
            }
        }
    }
}
