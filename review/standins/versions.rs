//! A stand-in of the runners of one version of a plain service. A part of the answers of a bad version
//! are failures.

use std::{
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

use crate::{
    http::{read_message, response},
    record::Record,
};

/// A version of a service's software.
pub struct Version {
    pub name: &'static str,
    /// The percentage of its answers that are failures, evenly spread.
    pub bad_percent: u64,
    answers: AtomicU64,
    /// The time of each failure, since the record's start.
    pub failures: Mutex<Vec<Duration>>,
    /// The ids of the requests that reached it, with the time.
    pub arrivals: Mutex<Vec<(Duration, String)>>,
}

impl Version {
    /// Returns a version of whose answers `bad_percent` in a hundred are failures.
    pub fn new(name: &'static str, bad_percent: u64) -> Arc<Version> {
        Arc::new(Version {
            name,
            bad_percent,
            answers: AtomicU64::new(0),
            failures: Mutex::default(),
            arrivals: Mutex::default(),
        })
    }

    /// Reports whether the next answer is a failure.
    fn fails_next(&self) -> bool {
        let answers = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
        answers * self.bad_percent / 100 > (answers - 1) * self.bad_percent / 100
    }
}

/// A running runner.
pub struct Runner {
    pub id: String,
    address: SocketAddr,
    zone: &'static str,
    version: Arc<Version>,
    work: Duration,
    is_over: AtomicBool,
    running: AtomicU64,
    connections: Mutex<Vec<TcpStream>>,
    record: Arc<Record>,
}

impl Runner {
    /// Starts a runner of a version, whose requests take `work`.
    pub fn start(
        id: &str,
        zone: &'static str,
        version: &Arc<Version>,
        work: Duration,
        record: &Arc<Record>,
    ) -> Arc<Runner> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let runner = Arc::new(Runner {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            zone,
            version: version.clone(),
            work,
            is_over: AtomicBool::new(false),
            running: AtomicU64::new(0),
            connections: Mutex::default(),
            record: record.clone(),
        });
        let served = runner.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if served.is_over.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(kept) = stream.try_clone() {
                    served.connections.lock().unwrap().push(kept);
                }
                let served = served.clone();
                thread::spawn(move || served.serve(stream));
            }
        });
        runner
    }

    /// Returns its entry in the registry.
    pub fn entry(&self, service: &str, state: &str) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\
             \"slots\":6,\"state\":\"{state}\",\"cold-remaining-ms\":0,\"sequence\":1,\
             \"born\":1700000000000}}",
            self.address, self.zone, self.version.name
        )
    }

    /// Stops at once: closes its listener and its connections.
    pub fn stop(&self) {
        self.is_over.store(true, Ordering::SeqCst);
        // Wakes the accepting thread, which then drops the listener.
        let _ = TcpStream::connect(self.address);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
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
            let Some(id) = request.header("x-cassiareel-request-id") else {
                if writer.write_all(&response(400, "", "")).is_err() {
                    return;
                }
                continue;
            };
            let arrival = (self.record.age(), id.to_owned());
            self.version.arrivals.lock().unwrap().push(arrival);
            let running = self.running.fetch_add(1, Ordering::Relaxed) + 1;
            thread::sleep(self.work);
            self.running.fetch_sub(1, Ordering::Relaxed);
            let fails = self.version.fails_next();
            if fails {
                let now = self.record.age();
                self.version.failures.lock().unwrap().push(now);
            }
            let status = if fails { 500 } else { 200 };
            self.record.line(&format!(
                "{} ({}) ran {id}: {status}",
                self.id, self.version.name
            ));
            let headers = format!(
                "X-Cassiareel-Request-Id: {id}\r\nX-Cassiareel-Runner-Signature: sig-{}\r\n\
                 X-Cassiareel-Runner-Load: {running},0,6\r\n",
                self.id
            );
            if writer
                .write_all(&response(status, &headers, &format!("{id} done")))
                .is_err()
            {
                return;
            }
        }
    }
}
