//! A small fleet over loopback: stand-in engines, an object API and nodes.

#![allow(dead_code)]

use std::{net::SocketAddr, sync::Arc, thread, time::Duration};

use cassiareel::{
    kernel::Revision,
    node::{Node, Options},
    platform::{HttpObjects, Object, Objects},
    settings::key_digest,
    wire::{self, Limits},
};
use cassiareel_standins::{
    engine::{Engine, EngineOptions},
    objects::ObjectApi,
};
use futures_lite::StreamExt;
use http_types::{Request, Response, Url};
use serde_json::{json, Value};

/// The key of the tests' caller.
pub const KEY: &str = "test-key";

/// Engines, an object API and nodes that read their settings from it.
pub struct Fleet {
    pub engines: Vec<Engine>,
    pub objects: ObjectApi,
    pub nodes: Vec<Node>,
    revision: Revision,
}

impl Fleet {
    /// Starts engines of a version and nodes, two to a data centre, with settings in force.
    pub fn start(engines: usize, nodes: usize) -> Fleet {
        let engines: Vec<Engine> = (0..engines)
            .map(|_| Engine::start(EngineOptions::new("draft@v1")).expect("loopback has ports"))
            .collect();
        let objects = ObjectApi::start().expect("loopback has ports");
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let nodes = (0..nodes)
            .map(|i| {
                let options = Options::new(&format!("n{i}"), &format!("d{}", i / 2));
                let api = Arc::new(HttpObjects::new(objects.addr()));
                Node::start(options, api, &log).expect("loopback has ports")
            })
            .collect();
        let mut fleet = Fleet {
            engines,
            objects,
            nodes,
            revision: 0,
        };
        let tree = fleet.tree();
        fleet.apply(&tree);
        fleet
    }

    /// Settings that place every engine.
    pub fn tree(&self) -> String {
        let servers: Vec<String> = self
            .engines
            .iter()
            .map(|engine| format!("{:?}", engine.addr().to_string()))
            .collect();
        format!(
            r#"
[regions.r.data_centres.d0]
[services.draft]
version = "v1"
[services.draft.versions.v1.placements.d0]
servers = [{}]
[accounts.shops]
services = ["draft"]
[accounts.shops.callers.desk]
keys.first = "{}"
"#,
            servers.join(", "),
            hex::encode(key_digest(KEY))
        )
    }

    /// Accepts settings and waits until they are in force on every node.
    pub fn apply(&mut self, tree: &str) {
        self.revision += 1;
        let api = HttpObjects::new(self.objects.addr());
        let spec = json!({"revision": self.revision, "tree": tree});
        smol::block_on(async {
            match api
                .get("settings", "head")
                .await
                .expect("the store answers")
            {
                Some(old) => api.update(&Object { spec, ..old }).await,
                None => api.create(&Object::new("settings", "head", spec)).await,
            }
        })
        .expect("the store takes the settings");
        for node in &self.nodes {
            while node.settings().revision < self.revision {
                thread::sleep(Duration::from_millis(1));
            }
        }
    }

    /// The address of a node for callers.
    pub fn addr(&self, node: usize) -> SocketAddr {
        self.nodes[node].addr().expect("the node serves")
    }
}

/// Sends a completions request and returns the answer's head.
pub async fn complete(addr: SocketAddr, body: &Value) -> Response {
    let url = Url::parse(&format!("http://{addr}/v1/completions")).expect("a URL");
    let mut req = Request::new(http_types::Method::Post, url);
    req.insert_header("authorization", format!("Bearer {KEY}"));
    req.set_body(body.to_string());
    wire::send(addr, req, Limits::new(Duration::from_secs(60)))
        .await
        .expect("the node answers")
}

/// A streamed answer as a caller sees it.
#[derive(Debug, Default, PartialEq)]
pub struct Seen {
    /// The text.
    pub text: String,
    /// Why it ended, as the API says it.
    pub finish: Option<String>,
    /// Tokens by the answer's own count.
    pub tokens: Option<u64>,
    /// The error that ended it.
    pub error: Option<Value>,
    /// The stream ended with `[DONE]`.
    pub done: bool,
}

/// Reads a streamed answer to its end; `at` is called after each event with the count of events.
pub async fn read<F>(res: Response, mut at: F) -> Seen
where
    F: FnMut(usize),
{
    let mut events = async_sse::decode(res);
    let mut seen = Seen::default();
    let mut count = 0;
    while let Some(Ok(event)) = events.next().await {
        let async_sse::Event::Message(message) = event else {
            continue;
        };
        if message.data() == b"[DONE]" {
            seen.done = true;
            break;
        }
        let part: Value = serde_json::from_slice(message.data()).expect("events are JSON");
        count += 1;
        if !part["error"].is_null() {
            seen.error = Some(part["error"].clone());
            continue;
        }
        seen.text
            .push_str(part["choices"][0]["text"].as_str().unwrap_or(""));
        if let Some(reason) = part["choices"][0]["finish_reason"].as_str() {
            seen.finish = Some(reason.to_owned());
        }
        if let Some(tokens) = part["usage"]["completion_tokens"].as_u64() {
            seen.tokens = Some(tokens);
        }
        at(count);
    }
    seen
}
