/*!
A stand-in for the platform's VM list, which lags behind the actual state.

`GET /instances` answers in the format of the Compute Engine API's list of instances.
*/

use std::{
    collections::VecDeque,
    io,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use crate::respond::{json_response, never_respond, path_segments};
use cassiareel::{
    runtime::Runtime,
    store::{Vm, VmState},
    wire::{bind_listener, serve, BoxFuture, Handler, ServerHandle, ServerLimits},
};
use http_types::{Method, Request, Response, StatusCode};
use serde_json::{json, Value};

/// The maximum number of past lists that are kept for delayed answers.
const MAX_LISTS: usize = 256;

/// A running VM list. Dropping it kills it.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cassiareel::store::{HttpVms, Vm, VmList, VmState};
/// use cassiareel_standins::vms::VmApi;
///
/// let api = VmApi::start(Duration::ZERO).unwrap();
/// let vm = Vm {
///     name: "node-1".into(),
///     addr: [127, 0, 0, 1].into(),
///     data_centre: "hr-zagreb-a".into(),
///     state: VmState::Live,
/// };
/// api.set_vms(vec![vm.clone()]);
/// assert_eq!(smol::block_on(HttpVms::new(api.addr()).list()), Ok(vec![vm]));
/// ```
#[derive(Debug)]
pub struct VmApi {
    server_handle: ServerHandle,
    state: Arc<Mutex<State>>,
    _runtime: Runtime,
}

impl VmApi {
    /// Starts an empty list whose answers show the state of `lag` ago.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub fn start(lag: Duration) -> io::Result<VmApi> {
        let listener = bind_listener(([127, 0, 0, 1], 0).into())?;
        let runtime = Runtime::new("vms", 1);
        let state = Arc::new(Mutex::new(State::new(lag)));
        let handler = Arc::new(Server(state.clone()));
        let server_handle = serve(
            &runtime.spawner(),
            listener,
            ServerLimits::default(),
            handler,
        )?;
        Ok(VmApi {
            server_handle,
            state,
            _runtime: runtime,
        })
    }

    /// Returns the address on which the VM list listens.
    pub fn addr(&self) -> SocketAddr {
        self.server_handle.addr
    }

    /// Replaces the list. Answers show it after the lag.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        lock(&self.state).set(vms);
    }

    /// Starts or ends an outage, during which calls are not answered.
    pub fn set_outage(&self, outage: bool) {
        lock(&self.state).outage = outage;
    }
}

#[derive(Debug)]
struct State {
    lag: Duration,
    outage: bool,
    // INVARIANT: sorted from oldest to newest, and never empty.
    lists: VecDeque<(Instant, Vec<Vm>)>,
}

impl State {
    fn new(lag: Duration) -> State {
        State {
            lag,
            outage: false,
            lists: [(Instant::now(), Vec::new())].into(),
        }
    }

    fn set(&mut self, vms: Vec<Vm>) {
        self.lists.push_back((Instant::now(), vms));
        if self.lists.len() > MAX_LISTS {
            self.lists.pop_front();
        }
    }

    /// Returns the list as it was `lag` ago.
    fn delayed(&self) -> &[Vm] {
        let is_visible = |(at, _): &&(Instant, Vec<Vm>)| at.elapsed() >= self.lag;
        let list = self.lists.iter().rev().find(is_visible);
        list.map_or(&[], |(_, vms)| vms)
    }
}

struct Server(Arc<Mutex<State>>);

impl Server {
    async fn answer(&self, req: &Request) -> Response {
        if lock(&self.0).outage {
            return never_respond().await;
        }
        let path = path_segments(req);
        if req.method() != Method::Get || path != ["instances"] {
            return json_response(StatusCode::NotFound, &json!({"error": "no such path"}));
        }
        let items: Vec<Value> = lock(&self.0).delayed().iter().map(instance).collect();
        let list = json!({"kind": "compute#instanceList", "items": items});
        json_response(StatusCode::Ok, &list)
    }
}

impl Handler for Server {
    fn handle(&self, req: Request, _: SocketAddr) -> BoxFuture<'_, Response> {
        Box::pin(async move { self.answer(&req).await })
    }
}

/// Returns a VM in the format of the API.
fn instance(vm: &Vm) -> Value {
    let status = match vm.state {
        VmState::Live => "RUNNING",
        VmState::Leaving => "STOPPING",
    };
    let addr: IpAddr = vm.addr;
    json!({
        "name": vm.name,
        "zone": format!("projects/cassiareel/zones/{}", vm.data_centre),
        "status": status,
        "networkInterfaces": [{"networkIP": addr}],
    })
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("no holder panics")
}
