//! A small deployment: a store, model runners, a plain service, and nodes in three zones.

use std::{
    path::PathBuf,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex,
    },
    time::Duration,
};

use crate::{
    engine::{Engine, Memory},
    node::Node,
    record::Record,
    service::Service,
    store::Store,
};

/// The zones.
pub const ZONES: [&str; 3] = ["zg-a", "zg-b", "zg-c"];

/// The key of the only tenant.
pub const KEY: &str = "key-1";

/// Work of a request of the plain service.
const WORK: Duration = Duration::from_millis(60);

/// How large a deployment is.
pub struct Size {
    pub nodes: usize,
    pub engines: usize,
    pub memory_mb: u64,
    /// Tokens of a prompt.
    pub prompt_tokens: u64,
}

/// A running deployment.
pub struct Fleet {
    pub record: Arc<Record>,
    pub store: Store,
    pub engines: Vec<Arc<Engine>>,
    pub services: Vec<Arc<Service>>,
    pub nodes: Vec<Arc<Node>>,
    folder: PathBuf,
    memory: Arc<Mutex<Memory>>,
    prompt_tokens: u64,
    next_request: AtomicU64,
}

impl Fleet {
    /// Starts a deployment, and waits until its nodes are ready.
    pub fn start(size: &Size, record: Record) -> Option<Fleet> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let record = Arc::new(record);
        let store = Store::start();
        store.put("config", "main", &config(1));
        let memory = Arc::new(Mutex::new(Memory::default()));
        let engines: Vec<_> = (0..size.engines)
            .map(|i| Engine::start(&format!("m-{i}"), ZONES[i % 3], &memory, &record))
            .collect();
        for engine in &engines {
            store.put("servers", &engine.id, &engine.entry("models"));
        }
        let services: Vec<_> = (0..3)
            .map(|i| Service::start(&format!("d-{i}"), ZONES[i], WORK, &record))
            .collect();
        for service in &services {
            store.put("servers", &service.id, &service.entry("desk"));
        }
        let nodes: Vec<_> = (0..size.nodes)
            .map(|i| {
                let name = format!("front-{}", i + 1);
                Node::start(
                    &name,
                    ZONES[i % 3],
                    size.memory_mb,
                    store.address,
                    &folder,
                    &record,
                )
            })
            .collect();
        let fleet = Fleet {
            record,
            store,
            engines,
            services,
            nodes,
            folder,
            memory,
            prompt_tokens: size.prompt_tokens,
            next_request: AtomicU64::new(1),
        };
        fleet
            .nodes
            .iter()
            .all(|node| node.wait_ready())
            .then_some(fleet)
    }

    /// Returns a new request's id.
    pub fn next_id(&self) -> String {
        format!("r{:06}", self.next_request.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns a request for a stream.
    pub fn stream_request(&self, id: &str) -> Vec<u8> {
        let number = id.trim_start_matches(['r', '0']);
        let number: u64 = number.parse().unwrap_or(0);
        let tokens = self.prompt_tokens;
        let body = "x".repeat(tokens as usize);
        format!(
            "POST /draft/x HTTP/1.1\r\nHost: h.example\r\nX-Cassiareel-Request-Id: {id}\r\n\
             X-Cassiareel-Deadline-Ms: 25000\r\nApi-Key: {KEY}\r\nX-Cassiareel-Model: m\r\n\
             X-Cassiareel-Token-Count: {tokens},1040\r\n\
             X-Cassiareel-Prompt-Prefix: aa{:x}:200,{:x}:{}\r\nContent-Length: {}\r\n\r\n{body}",
            number % 7,
            0x1000_0000 + number * 7919,
            tokens - 200,
            body.len()
        )
        .into_bytes()
    }

    /// Returns a request for a stream with the same content each time, but for its id.
    pub fn same_stream_request(&self, id: &str, path: &str) -> Vec<u8> {
        let tokens = self.prompt_tokens;
        let body = "y".repeat(tokens as usize);
        format!(
            "POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Cassiareel-Request-Id: {id}\r\n\
             X-Cassiareel-Deadline-Ms: 25000\r\nApi-Key: {KEY}\r\nX-Cassiareel-Model: m\r\n\
             X-Cassiareel-Token-Count: {tokens},1040\r\n\
             X-Cassiareel-Prompt-Prefix: aa3:200,7fffffff:{}\r\nContent-Length: {}\r\n\r\n{body}",
            tokens - 200,
            body.len()
        )
        .into_bytes()
    }

    /// Returns the memory that new runners share with the others.
    pub fn memory(&self) -> Arc<Mutex<Memory>> {
        self.memory.clone()
    }

    /// Returns a request for an order, which may run once.
    pub fn order_request(&self, id: &str) -> Vec<u8> {
        self.order_request_by(id, KEY)
    }

    /// Returns a request for an order by a caller with a key.
    pub fn order_request_by(&self, id: &str, key: &str) -> Vec<u8> {
        format!(
            "POST /order/x HTTP/1.1\r\nHost: h.example\r\nX-Cassiareel-Request-Id: {id}\r\n\
             X-Cassiareel-Deadline-Ms: 4000\r\nApi-Key: {key}\r\nContent-Length: 5\r\n\r\norder"
        )
        .into_bytes()
    }

    /// Ends the processes, and removes the temporary folder.
    pub fn end(&self) {
        self.nodes.iter().for_each(|node| node.end());
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns a version of the configuration.
pub fn config(version: u64) -> String {
    config_with_keys(version, &[KEY])
}

/// Returns a version of the configuration in which the tenant has these keys.
pub fn config_with_keys(version: u64, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let keys = keys.join(",");
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"draft\",\"host\":\"h.example\",\"path-prefix\":\"/draft/\",\"kind\":\"stream\",\
         \"timeout-ms\":25000,\"target-latency-ms\":4500,\"priority\":1,\"service\":\"models\",\"attempts\":5,\
         \"public\":false,\"session-affinity\":true,\"stream-resume\":true,\"gap-aim-ms\":700}},\
         {{\"name\":\"order\",\"host\":\"h.example\",\"path-prefix\":\"/order/\",\"kind\":\"non_idempotent\",\
         \"timeout-ms\":2000,\"target-latency-ms\":300,\"priority\":2,\"service\":\"desk\",\"attempts\":1,\
         \"public\":false}}],\
         \"services\":[{{\"name\":\"models\",\"health-path\":\"/health\",\"max-connections\":150,\"protocol\":\"h1\",\
         \"tls\":false,\"engine\":{{\"slots\":12,\"kv-capacity-tokens\":55000,\"kv-token-bytes\":327680,\
         \"link-mbps\":550000.0,\"moves\":true,\"backups\":true,\"stride\":8,\"most\":12,\"pin-ms\":4000.0,\
         \"hold-ms\":2000.0,\"handle-s\":4.0,\"models\":[{{\"name\":\"m\"}}]}}}},\
         {{\"name\":\"desk\",\"health-path\":\"/health\",\"max-connections\":96,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\
         \"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"acme\",\"api-keys\":[{keys}],\"priority\":1}}]}}"
    )
}
