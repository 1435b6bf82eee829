//! The VM list over HTTP.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use async_trait::async_trait;
use http_types::{Method, Request, StatusCode, Url};
use serde::Deserialize;
use smol::Timer;

use super::{StoreError, Vm, VmList, VmState};
use crate::wire::{read_body, send, CallTimeouts};

/// Time for a whole answer.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Longest answer, in bytes.
const LIST_LIMIT: usize = 16 << 20;

/// The VM list at an address, in the shape of the Compute Engine API's list of instances.
///
/// Of each instance it reads `name`, the last segment of `zone` as the data centre, the first
/// `networkIP`, and `status`: `RUNNING` is live, `STOPPING` and `SUSPENDING` are leaving, and
/// instances in any other status are left out.
#[derive(Clone, Copy, Debug)]
pub struct HttpVms {
    addr: SocketAddr,
}

impl HttpVms {
    /// The VM list at `addr`.
    pub fn new(addr: SocketAddr) -> HttpVms {
        HttpVms { addr }
    }

    async fn fetch(&self) -> Result<Vec<u8>, StoreError> {
        let not_done = |cause: String| StoreError::NotApplied { cause };
        let url = format!("http://{}/instances", self.addr);
        let url = Url::parse(&url).map_err(|err| not_done(err.to_string()))?;
        let mut res = send(
            self.addr,
            Request::new(Method::Get, url),
            CallTimeouts::new(TIMEOUT),
        )
        .await
        .map_err(|err| not_done(err.to_string()))?;
        if res.status() != StatusCode::Ok {
            return Err(not_done(format!("status {}", res.status())));
        }
        read_body(res.take_body(), LIST_LIMIT)
            .await
            .map_err(|err| not_done(err.to_string()))
    }
}

#[async_trait]
impl VmList for HttpVms {
    async fn list(&self) -> Result<Vec<Vm>, StoreError> {
        let expired = async {
            Timer::after(TIMEOUT).await;
            Err(StoreError::NotApplied {
                cause: format!("no whole answer in {TIMEOUT:?}"),
            })
        };
        let body = smol::future::or(self.fetch(), expired).await?;
        let list: InstanceList =
            serde_json::from_slice(&body).map_err(|err| StoreError::Invalid {
                cause: err.to_string(),
            })?;
        list.items
            .into_iter()
            .filter_map(|instance| instance.into_vm().transpose())
            .collect()
    }
}

#[derive(Deserialize)]
struct InstanceList {
    // The API leaves the field out of an empty list.
    #[serde(default)]
    items: Vec<Instance>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Instance {
    name: String,
    zone: String,
    status: String,
    #[serde(default)]
    network_interfaces: Vec<Interface>,
}

#[derive(Deserialize)]
struct Interface {
    #[serde(rename = "networkIP")]
    addr: IpAddr,
}

impl Instance {
    /// The VM; none where it is neither live nor leaving.
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
