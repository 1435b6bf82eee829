//! A stand-in of a plain service's runner: it works for a while and answers.

use std::{
    collections::HashMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

use crate::{
    http::{read_message, response},
    record::Record,
};

/// A running runner.
pub struct Service {
    pub id: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    work: Duration,
    running: AtomicU64,
    /// How often each request ran.
    pub runs: Mutex<HashMap<String, u64>>,
    record: Arc<Record>,
}

impl Service {
    /// Starts a runner whose requests take `work`.
    pub fn start(id: &str, zone: &'static str, work: Duration, record: &Arc<Record>) -> Arc<Service> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let service = Arc::new(Service {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            zone,
            work,
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
            let id = request.header("x-cassiareel-request-id").unwrap_or("").to_owned();
            *self.runs.lock().unwrap().entry(id.clone()).or_default() += 1;
            self.record.line(&format!("{} runs {id}", self.id));
            let running = self.running.fetch_add(1, Ordering::Relaxed) + 1;
            thread::sleep(self.work);
            self.running.fetch_sub(1, Ordering::Relaxed);
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
