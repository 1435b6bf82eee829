//! The messages in which nodes ask owners for permits.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::{
    super::{suspect::ProcessKey, Time},
    NodeKey, PermitCall, PermitGrant, PermitRequest, Quotas, ReportedReading,
};

/// A request for permits of several processes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PermitMessage {
    /// The node that asks.
    pub from: NodeKey,
    /// What it knows of the limits.
    pub readings: Vec<ReportedReading>,
    /// The requests, or none for a probe.
    pub requests: Vec<(ProcessKey, PermitRequest)>,
}

/// The reply of an owner.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PermitReply {
    /// What it knows of the limits.
    pub readings: Vec<ReportedReading>,
    /// The grants; `None` where it owns no quota of a process now.
    pub grants: Vec<(ProcessKey, Option<PermitGrant>)>,
}

impl Quotas {
    /// Returns the message of a call.
    pub fn message(&self, call: &PermitCall, now: Time) -> PermitMessage {
        let processes = call.requests.iter().map(|(process, _)| *process);
        PermitMessage {
            from: self.own(),
            readings: processes
                .filter_map(|process| self.report(process, now))
                .collect(),
            requests: call.requests.clone(),
        }
    }

    /// Answers a message, whose readings were recorded before.
    pub fn answer(&mut self, message: &PermitMessage, now: Time) -> PermitReply {
        let requests = message.requests.iter();
        let grants: Vec<_> = requests
            .map(|(process, request)| (*process, self.grant(message.from, *process, request, now)))
            .collect();
        let processes = grants.iter().map(|(process, _)| *process);
        PermitReply {
            readings: processes
                .filter_map(|process| self.report(process, now))
                .collect(),
            grants,
        }
    }

    /// Records the reply to a call that was made at `asked_at`, whose readings were recorded before;
    /// reports whether the owner had been silent.
    pub fn apply(&mut self, call: &PermitCall, reply: &PermitReply, asked_at: Time) -> bool {
        let was_silent = self.record_answer(call.to);
        let grants: HashMap<ProcessKey, Option<PermitGrant>> =
            reply.grants.iter().copied().collect();
        for (process, _) in &call.requests {
            let grant = grants.get(process).copied().flatten();
            self.receive(call.to, *process, grant, asked_at);
        }
        was_silent
    }
}
