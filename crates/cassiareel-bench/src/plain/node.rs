//! A node's knowledge of the servers, and its decisions.

use std::time::Duration;

use cassiareel_relay::{
    kernel::{
        max_wait, AdmissionRequest, Candidate, Health, ReportedLoad, RequestDemand, ServiceLoad,
    },
    protocol::Load,
    settings::Admission,
};

use super::{choice::Choice, run::millis};

/// The decisions of nodes.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// Name in tables.
    pub name: &'static str,
    /// Whether nodes bound their sends by the queues that their answers show.
    pub bound_sends: bool,
    /// How a server is chosen.
    pub choice: Choice,
}

impl Rules {
    /// The decisions before sends were bounded.
    pub const UNBOUNDED: Rules = Rules {
        name: "unbounded",
        bound_sends: false,
        choice: Choice::Relay,
    };
    /// The relay's decisions.
    pub const RELAY: Rules = Rules {
        name: "relay",
        bound_sends: true,
        choice: Choice::Relay,
    };
}

/// What a node knows of one server.
#[derive(Clone, Debug, Default)]
struct Known {
    open: u32,
    reported: ReportedLoad,
    health: Health,
}

/// A node.
#[derive(Debug, Default)]
pub(super) struct Node {
    known: Vec<Known>,
    load: ServiceLoad,
}

/// A request at its node.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub node: usize,
    pub arrived: f64,
    pub objective: Duration,
    pub claim: AdmissionRequest,
    pub tried: Vec<usize>,
    pub sent_at: f64,
}

impl Node {
    pub fn new(servers: usize) -> Node {
        Node {
            known: vec![Known::default(); servers],
            ..Node::default()
        }
    }

    /// Decides whether a request that has just arrived is admitted.
    pub fn admit(&mut self, request: &Request, now: f64, random: f64) -> bool {
        self.load.admit(&request.claim, millis(now), random).is_ok()
    }

    /// Chooses a server for a request, or refuses it.
    pub fn place(
        &mut self,
        rules: Rules,
        request: &Request,
        slots: usize,
        now: f64,
        random: &mut fastrand::Rng,
    ) -> Option<usize> {
        let candidates: Vec<Candidate> = (0..self.known.len())
            .map(|server| self.candidate(server, slots, request, now))
            .collect();
        let demand = RequestDemand {
            contended: self.load.sends.is_bounded(),
            ..RequestDemand::default()
        };
        let chosen = rules.choice.choose(&candidates, demand, random)?;
        let patience = patience(request, now - request.arrived);
        let is_first = request.tried.is_empty();
        let has_slot = |candidate: &Candidate| !candidate.tried && candidate.has_free_slot();
        let may_repeat = is_first || !rules.bound_sends || candidates.iter().any(has_slot);
        let has_room = candidates[chosen].expected_wait() <= patience && !candidates[chosen].tried;
        let is_bounded = is_first && rules.bound_sends;
        let may_send = may_repeat
            && has_room
            && (!is_bounded || self.load.sends.admit(millis(now), random.f64()));
        if !may_send {
            self.load.record_unserved(&request.claim, millis(now));
            return None;
        }
        self.known[chosen].open += 1;
        Some(chosen)
    }

    fn candidate(&self, server: usize, slots: usize, request: &Request, now: f64) -> Candidate {
        let known = &self.known[server];
        Candidate {
            local: server % 3 == request.node % 3,
            slots: slots as u32,
            open_requests: known.open,
            other_requests: known.reported.others(),
            usual_requests: known.reported.usual_others(millis(now)),
            report_age: known.reported.age(millis(now)),
            latency: known.health.latency(),
            service_time: known.health.service_time(),
            error_rate: known.health.error_rate(),
            work_factor: known.reported.work_factor(millis(now)),
            tried: request.tried.contains(&server),
            ..Candidate::default()
        }
    }

    /// Records an answer, or a rejection by a full server.
    pub fn record(
        &mut self,
        rules: Rules,
        request: &Request,
        server: usize,
        slots: usize,
        answer: Answer,
    ) {
        let now = answer.now;
        let known = &mut self.known[server];
        let requests = answer.load.running + answer.load.waiting;
        let percent = answer.load.work_percent;
        known
            .reported
            .record(requests, known.open, percent, millis(now));
        known.open -= 1;
        if !answer.ran {
            if rules.bound_sends && self.candidate(server, slots, request, now).is_full() {
                self.load.sends.record_full(millis(now));
            }
            return;
        }
        let took = millis(now - request.sent_at);
        known.health.record_answer(false, took);
        if answer.load.waiting == 0 {
            known.health.record_service_time(took);
        }
        let wait = self.candidate(server, slots, request, now).expected_wait();
        if answer.load.waiting > 0 && wait > patience(request, 0.0) {
            self.load.record_unserved(&request.claim, millis(now));
        }
        if rules.bound_sends {
            let max_wait = patience(request, 0.0);
            self.load.sends.record_wait(wait, max_wait, millis(now));
        }
    }

    /// Reports that a request that was rejected is given up.
    pub fn give_up(&mut self, request: &Request, now: f64) {
        self.load.record_unserved(&request.claim, millis(now));
    }
}

/// An answer as it arrives at its node.
#[derive(Clone, Copy, Debug)]
pub(super) struct Answer {
    pub ran: bool,
    pub load: Load,
    pub now: f64,
}

/// Returns the longest time that a request may wait for others.
fn patience(request: &Request, age_ms: f64) -> Duration {
    let part = Admission::default().wait_part;
    max_wait(request.objective, millis(age_ms), Duration::ZERO, part)
}
