//! A stand-in of the platform's store: objects by kind and name, with one revision.

use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
};

use crate::{
    http::{read_message, response, Message},
    json::{member, string},
};

/// An object.
#[derive(Clone)]
pub struct Object {
    created: u64,
    revision: u64,
    spec: String,
    status: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    /// The number of times that it came back from a copy.
    era: u64,
    /// Whether it turns all calls away.
    is_away: bool,
    objects: BTreeMap<(String, String), Object>,
}

/// The contents of a store at one moment, with its revision.
pub type Copy = (u64, BTreeMap<(String, String), Object>);

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Store {
    /// Starts an empty store.
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Store {
            address: listener.local_addr().unwrap(),
            state: Arc::default(),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(stream));
            }
        });
        store
    }

    /// Writes an object, as the operator or a runner does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.state.lock().unwrap().put(kind, name, spec);
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.objects.remove(&(kind.to_owned(), name.to_owned()));
    }

    /// Returns the status of an object, as JSON.
    pub fn status(&self, kind: &str, name: &str) -> String {
        let state = self.state.lock().unwrap();
        let object = state.find(kind, name);
        object.map_or("null".to_owned(), |object| object.status.clone())
    }

    /// Returns a copy of the contents.
    pub fn copy(&self) -> Copy {
        let state = self.state.lock().unwrap();
        (state.revision, state.objects.clone())
    }

    /// Goes away: answers 503, which says that nothing was done.
    pub fn go_away(&self) {
        self.state.lock().unwrap().is_away = true;
    }

    /// Turns all calls of nodes away with 503, which says that nothing was done; it serves the operator.
    pub fn turn_away(&self) {
        self.state.lock().unwrap().is_away = true;
    }

    /// Serves all calls again.
    pub fn serve_all(&self) {
        self.state.lock().unwrap().is_away = false;
    }

    /// Comes back from a copy. Revisions go back, and the era rises by one.
    pub fn come_back(&self, copy: Copy) {
        let mut state = self.state.lock().unwrap();
        (state.revision, state.objects) = copy;
        state.era += 1;
        state.is_away = false;
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            let mut state = self.state.lock().unwrap();
            let (status, body) = match state.is_away {
                true => (503, "{}".to_owned()),
                false => state.answer(&request),
            };
            let headers = format!(
                "Content-Type: application/json\r\nStore-Era: {}\r\n",
                state.era
            );
            drop(state);
            if writer
                .write_all(&response(status, &headers, &body))
                .is_err()
            {
                return;
            }
        }
    }
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: &str) {
        self.revision += 1;
        let revision = self.revision;
        let key = (kind.to_owned(), name.to_owned());
        let object = self.objects.entry(key).or_insert_with(|| Object {
            created: revision,
            revision,
            spec: String::new(),
            status: "null".to_owned(),
        });
        object.revision = revision;
        object.spec = spec.to_owned();
    }

    fn answer(&mut self, request: &Message) -> (u16, String) {
        let path = request.target().split('?').next().unwrap_or("");
        let parts: Vec<&str> = path.trim_start_matches("/-/objects/").split('/').collect();
        let body = request.text();
        let spec = member(&body, "spec").unwrap_or("{}");
        match (request.method(), &parts[..]) {
            ("GET", [kind]) => (200, self.list(kind)),
            ("GET", [kind, name]) => self.read(kind, name, 404),
            ("POST", [kind]) => {
                let metadata = member(&body, "metadata").unwrap_or("{}");
                let name = string(metadata, "name").unwrap_or_default();
                if self.find(kind, &name).is_some() {
                    return self.read(kind, &name, 409);
                }
                self.put(kind, &name, spec);
                self.read(kind, &name, 404)
            }
            ("PUT", [kind, name]) => {
                if self.find(kind, name).is_none() {
                    return (404, "{}".to_owned());
                }
                self.put(kind, name, spec);
                self.read(kind, name, 404)
            }
            ("PUT", [kind, name, "status"]) => self.put_status(kind, name, &body),
            _ => (404, "{}".to_owned()),
        }
    }

    /// Replaces the status of an object, if the revision that the call carries is the object's.
    fn put_status(&mut self, kind: &str, name: &str, body: &str) -> (u16, String) {
        let metadata = member(body, "metadata").unwrap_or("{}");
        let expected: Option<u64> = member(metadata, "revision").and_then(|text| text.parse().ok());
        let status = member(body, "status").unwrap_or("null").to_owned();
        let next = self.revision + 1;
        let key = (kind.to_owned(), name.to_owned());
        let Some(object) = self.objects.get_mut(&key) else {
            return (404, "{}".to_owned());
        };
        if expected.is_some_and(|expected| expected != object.revision) {
            return (409, object.json(name));
        }
        // A PUT that changes nothing does not increase the revision.
        if object.status != status {
            object.status = status;
            object.revision = next;
            self.revision = next;
        }
        self.read(kind, name, 404)
    }

    fn find(&self, kind: &str, name: &str) -> Option<&Object> {
        self.objects.get(&(kind.to_owned(), name.to_owned()))
    }

    fn read(&self, kind: &str, name: &str, status: u16) -> (u16, String) {
        match self.find(kind, name) {
            Some(object) if status == 409 => (409, object.json(name)),
            Some(object) => (200, object.json(name)),
            None => (404, "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str) -> String {
        let of_kind = self.objects.iter().filter(|((of, _), _)| of == kind);
        let items: Vec<String> = of_kind
            .map(|((_, name), object)| object.json(name))
            .collect();
        let items = items.join(",");
        format!(
            "{{\"items\":[{items}],\"more\":false,\"at\":{}}}",
            self.revision
        )
    }
}

impl Object {
    fn json(&self, name: &str) -> String {
        format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"created-rev\":{},\
             \"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":{}}}",
            self.revision, self.created, self.spec, self.status
        )
    }
}
