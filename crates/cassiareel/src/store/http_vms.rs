//! The VM list over HTTP.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use async_trait::async_trait;
use bytes::Bytes;
use http_types::{Method, Request, StatusCode, Url};
use serde::Deserialize;
use slog::{o, Discard, Logger};
use smol::Timer;

use super::{
    entries::{parse_entry, skip_unreadable, Entry},
    StoreError, Vm, VmList, VmState,
};
use crate::wire::{read_body, send, CallTimeouts};

/// Time limit for a complete answer.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of an answer.
const MAX_LIST_BYTES: usize = 16 << 20;

/// A client of a VM list in the format of the Compute Engine API's list of instances.
///
/// Of each instance it reads `name`, the last segment of `zone` as the data centre, the first
/// `networkIP`, and `status`: `RUNNING` means live, `STOPPING` and `SUSPENDING` mean leaving, and
/// instances with any other status are omitted. An instance that can't be read is omitted and
/// logged.
#[derive(Clone, Debug)]
pub struct HttpVms {
    addr: SocketAddr,
    log: Logger,
}

impl HttpVms {
    /// Creates a client of the VM list at `addr`.
    pub fn new(addr: SocketAddr) -> HttpVms {
        HttpVms {
            addr,
            log: Logger::root(Discard, o!()),
        }
    }

    /// Sets the logger for instances that can't be read.
    pub fn log(self, log: Logger) -> HttpVms {
        HttpVms { log, ..self }
    }

    async fn fetch(&self) -> Result<Bytes, StoreError> {
        let not_applied = |cause: String| StoreError::NotApplied { cause };
        let url = format!("http://{}/instances", self.addr);
        let url = Url::parse(&url).map_err(|err| not_applied(err.to_string()))?;
        let mut res = send(
            self.addr,
            Request::new(Method::Get, url),
            CallTimeouts::new(TIMEOUT),
        )
        .await
        .map_err(|err| not_applied(err.to_string()))?;
        if res.status() != StatusCode::Ok {
            return Err(not_applied(format!("status {}", res.status())));
        }
        read_body(res.take_body(), MAX_LIST_BYTES)
            .await
            .map_err(|err| not_applied(err.to_string()))
    }
}

#[async_trait]
impl VmList for HttpVms {
    async fn list(&self) -> Result<Vec<Vm>, StoreError> {
        let timed_out = async {
            Timer::after(TIMEOUT).await;
            Err(StoreError::NotApplied {
                cause: format!("no whole answer in {TIMEOUT:?}"),
            })
        };
        let body = smol::future::or(self.fetch(), timed_out).await?;
        let list: InstanceList =
            serde_json::from_slice(&body).map_err(|err| StoreError::Invalid {
                cause: err.to_string(),
            })?;
        let read = |entry: &Entry| parse_entry(entry).and_then(Instance::into_vm);
        Ok(list
            .items
            .iter()
            .filter_map(|entry| skip_unreadable(&self.log, "instances", read(entry)).flatten())
            .collect())
    }
}

#[derive(Deserialize)]
struct InstanceList {
    // The API omits the field if the list is empty.
    #[serde(default)]
    items: Vec<Entry>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Instance {
    name: String,
    zone: String,
    status: String,
    #[serde(default)]
    network_interfaces: Vec<NetworkInterface>,
}

#[derive(Deserialize)]
struct NetworkInterface {
    #[serde(rename = "networkIP")]
    addr: IpAddr,
}

impl Instance {
    /// Returns the VM, or `None` if it is neither live nor leaving.
    fn into_vm(self) -> Result<Option<Vm>, StoreError> {
        let state = match self.status.as_str() {
            "RUNNING" => VmState::Live,
            "STOPPING" | "SUSPENDING" => VmState::Leaving,
            _ => return Ok(None),
        };
        let interface = self.network_interfaces.first();
        let addr = interface.ok_or_else(|| StoreError::Invalid {
            cause: format!("instance {} has no network interface", self.name),
        })?;
        let zone = self.zone.rsplit('/').next().unwrap_or_default();
        Ok(Some(Vm {
            addr: addr.addr,
            data_centre: zone.into(),
            state,
            name: self.name,
        }))
    }
}
