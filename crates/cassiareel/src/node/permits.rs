//! Asks owners of quotas for permits while an engine limits its requests.

use std::{sync::Arc, time::Duration};

use slog::{info, Logger};
use smol::Timer;

use crate::{
    engines::BackendTable,
    fleet_limits::FleetLimits,
    front::FrontContext,
    kernel::{
        quota::{node_key, PermitCall, PermitMessage, PermitReply, ReportedReading},
        Time,
    },
    peer::{Peers, PermitOwner},
    runtime::{within, Spawner},
};

/// The interval at which calls that have become due are made.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The limit of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Serves and makes the calls for permits of a node's front.
#[derive(Clone)]
pub(super) struct PermitExchange {
    /// The front, whose table of engines holds the limits.
    pub parts: Arc<FrontContext>,
    /// The logger.
    pub log: Logger,
}

impl PermitExchange {
    fn table(&self) -> &BackendTable {
        self.parts.backend_table()
    }

    fn limits(&self) -> &FleetLimits {
        &self.table().limits().fleet
    }

    fn now(&self) -> Time {
        self.parts.backend_time()
    }

    /// Makes the calls until dropped.
    pub(super) async fn run(self, peers: Option<Arc<Peers>>, spawner: Spawner) {
        loop {
            let wanted = self.limits().wanted.listen();
            if !self.limits().is_any() {
                wanted.await;
                continue;
            }
            Timer::after(POLL_INTERVAL).await;
            for call in self.limits().due_calls(self.now()) {
                // Without peers the node owns all quotas itself.
                if let Some(peers) = peers.clone() {
                    let exchange = self.clone();
                    let task = async move { exchange.call(&peers, &call).await };
                    spawner.spawn(task).detach();
                }
            }
            self.table().notify_capacity();
        }
    }

    /// Asks one owner for permits. One that is not among the live members counts as silent.
    async fn call(&self, peers: &Peers, call: &PermitCall) {
        let asked_at = self.now();
        let others = peers.others();
        let owner = others.iter().find(|node| node_key(&node.name) == call.to);
        let message = self.limits().quotas().message(call, asked_at);
        let reply = match owner {
            Some(owner) => within(CALL_TIMEOUT, peers.request_permits(owner.addr, &message)).await,
            None => None,
        };
        let Some(Ok(reply)) = reply else {
            let now = self.now();
            if self.limits().quotas().record_silence(call, now) {
                info!(self.log, "limit owner silent"; "engines" => call.requests.len());
            }
            return;
        };
        self.record_readings(&reply.readings, asked_at);
        let was_silent = self.limits().quotas().apply(call, &reply, asked_at);
        if was_silent {
            info!(self.log, "limit owner answers");
        }
        self.table().notify_capacity();
    }

    fn record_readings(&self, readings: &[ReportedReading], at: Time) {
        for report in readings {
            let reading = report.reading(at);
            self.limits().record(report.process, reading, self.now());
        }
    }
}

impl PermitOwner for PermitExchange {
    fn answer(&self, message: &PermitMessage) -> PermitReply {
        let now = self.now();
        self.record_readings(&message.readings, now);
        self.limits().quotas().answer(message, now)
    }
}
