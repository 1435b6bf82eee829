//! The demand that all nodes see, from the newest samples of each.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use crate::{
    clock::Moment,
    model::{DataCentre, DemandSample, ServiceId},
};

/// The age up to which a node's samples show its demand. Nodes send them each second, and a message
/// may be lost or take a second longer.
pub const MAX_SAMPLE_AGE: Duration = Duration::from_secs(5);

/// How long the samples of a node that sends no more are kept. Its callers have moved to other nodes
/// by then, whose samples count them.
const FORGET_AGE: Duration = Duration::from_secs(10);

/// The largest number of requests in a sample that a node may see; a node serves far fewer.
const MAX_REQUESTS: u32 = 1_000_000;

/// The largest number of samples of a node, and of nodes, that are kept.
const MAX_SAMPLES: usize = 4096;

/// The newest samples of each node.
#[derive(Debug, Default)]
pub struct FleetDemand {
    senders: HashMap<String, Sender>,
    /// Nodes whose last samples were ignored.
    faulty: HashSet<String>,
    /// Those that became so since the last call of [`FleetDemand::take_rejected`].
    rejected: Vec<String>,
}

#[derive(Debug)]
struct Sender {
    incarnation: u64,
    at: Moment,
    samples: Vec<DemandSample>,
    /// Refusals that were not taken yet.
    refused: HashMap<(ServiceId, DataCentre), u64>,
}

/// The demand for a service in one data centre, over all nodes whose samples are known.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DemandTotal {
    /// Requests that run at servers of the data centre.
    pub running: u64,
    /// Requests that wait at nodes of the data centre.
    pub waiting: u64,
    /// Requests that nodes of the data centre refused since the totals were last taken.
    pub refused: u64,
}

/// Which nodes the demand is known of.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DemandCoverage {
    /// The nodes of the fleet.
    pub nodes: u32,
    /// The number of these whose samples are recent.
    pub known: u32,
    /// The age of the oldest sample that is counted.
    pub oldest: Duration,
}

impl FleetDemand {
    /// Records the samples of a node, in place of its earlier ones. `incarnation` increases with each
    /// start of the node. Samples of an earlier start are ignored, and so are absurd ones.
    pub fn record(
        &mut self,
        sender: &str,
        incarnation: u64,
        samples: Vec<DemandSample>,
        now: Moment,
    ) {
        if samples.len() > MAX_SAMPLES || samples.iter().any(is_absurd) {
            self.reject(sender);
            return;
        }
        self.faulty.remove(sender);
        let is_full = self.senders.len() >= MAX_SAMPLES;
        match self.senders.get_mut(sender) {
            Some(known) if known.incarnation > incarnation => {}
            Some(known) if known.incarnation == incarnation => known.update(samples, now),
            None if is_full => self.reject(sender),
            _ => {
                let new = Sender::new(incarnation, samples, now);
                self.senders.insert(sender.to_owned(), new);
            }
        }
    }

    /// Returns the demand by service and data centre. Each refusal is returned once.
    pub fn take_totals(&mut self, now: Moment) -> HashMap<(ServiceId, DataCentre), DemandTotal> {
        self.senders
            .retain(|_, sender| now.saturating_sub(sender.at) <= FORGET_AGE);
        let mut totals: HashMap<_, DemandTotal> = HashMap::new();
        for sender in self.senders.values_mut() {
            for sample in &sender.samples {
                let total = totals.entry(key(sample)).or_default();
                total.running += u64::from(sample.running);
                total.waiting += u64::from(sample.waiting);
            }
            for (key, refused) in sender.refused.drain() {
                totals.entry(key).or_default().refused += refused;
            }
        }
        totals
    }

    /// Returns which of `nodes` nodes the demand is known of.
    pub fn coverage(&self, nodes: u32, now: Moment) -> DemandCoverage {
        let ages = self.senders.values().map(|s| now.saturating_sub(s.at));
        let recent: Vec<Duration> = ages.filter(|age| *age <= MAX_SAMPLE_AGE).collect();
        DemandCoverage {
            nodes,
            known: u32::try_from(recent.len()).unwrap_or(u32::MAX).min(nodes),
            oldest: recent.into_iter().max().unwrap_or_default(),
        }
    }

    /// Returns the nodes whose samples are ignored since the last call.
    pub fn take_rejected(&mut self) -> Vec<String> {
        std::mem::take(&mut self.rejected)
    }

    fn reject(&mut self, sender: &str) {
        if self.faulty.len() < MAX_SAMPLES && self.faulty.insert(sender.to_owned()) {
            self.rejected.push(sender.to_owned());
        }
    }
}

impl Sender {
    fn new(incarnation: u64, samples: Vec<DemandSample>, at: Moment) -> Sender {
        Sender {
            incarnation,
            at,
            samples,
            refused: HashMap::new(),
        }
    }

    /// Replaces the samples. Refusals are counted from the node's second samples on, since the first
    /// contain those of an unknown time.
    fn update(&mut self, samples: Vec<DemandSample>, now: Moment) {
        let before: HashMap<_, u64> = self.samples.iter().map(|s| (key(s), s.refused)).collect();
        for sample in &samples {
            let known = before.get(&key(sample)).copied().unwrap_or_default();
            let new = sample.refused.saturating_sub(known);
            if new > 0 {
                let refused = self.refused.entry(key(sample)).or_default();
                *refused = refused.saturating_add(new).min(u64::from(MAX_REQUESTS));
            }
        }
        self.samples = samples;
        self.at = now;
    }
}

impl DemandCoverage {
    /// The part of the nodes whose demand is enough to remove servers by; the rest may be nodes that
    /// have just ended or started.
    const ENOUGH: f64 = 0.9;

    /// The largest factor by which the demand of the known nodes stands for that of all.
    const MAX_FACTOR: f64 = 4.0;

    /// Reports whether the demand of nearly all nodes is known.
    pub fn is_enough(&self) -> bool {
        self.known > 0 && f64::from(self.known) >= f64::from(self.nodes) * DemandCoverage::ENOUGH
    }

    /// Returns the factor from the demand of the known nodes to that of all nodes.
    pub fn factor(&self) -> f64 {
        let factor = f64::from(self.nodes) / f64::from(self.known.max(1));
        factor.clamp(1.0, DemandCoverage::MAX_FACTOR)
    }
}

fn key(sample: &DemandSample) -> (ServiceId, DataCentre) {
    (sample.service.clone(), sample.data_centre.clone())
}

fn is_absurd(sample: &DemandSample) -> bool {
    sample.running > MAX_REQUESTS || sample.waiting > MAX_REQUESTS
}
