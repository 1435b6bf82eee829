//! Policies that choose an engine for a prompt: the relay's own, and simple ones to compare with.

use std::{cell::RefCell, time::Duration};

use cassiareel_relay::kernel::{
    choose, choose_least_loaded, choose_with_room, Candidate, EngineLoad, PromptDemand,
    RequestDemand, EXTRA_PROBED_ENGINES, PROBED_ENGINES,
};

use super::{
    engine::SLOTS,
    node::{LocalLoad, Reports},
};

/// The configuration of nodes. The decisions besides the policy are the relay's; a comparison
/// turns some of them off.
#[derive(Clone, Copy, Debug)]
pub struct NodeConfig {
    /// Name in tables and charts.
    pub name: &'static str,
    /// Name of the policy.
    pub policy: &'static str,
    /// Whether the memory of streams is copied to another engine.
    pub copies: bool,
    /// Whether engines that hold copies are checked for liveness.
    pub check_copies: bool,
    /// Whether the engine that holds the prompt of a resumed stream is searched for.
    pub find_prompt: bool,
    /// Whether streams that can't complete in time are refused.
    pub refuse_late: bool,
    /// Whether streams start only where there is room, and accounts get their shares.
    pub admit: bool,
    /// Whether streams of a lower priority leave room to those of a higher one.
    pub order_priorities: bool,
}

/// The relay with all its decisions.
pub const RELAY: NodeConfig = NodeConfig {
    name: "relay",
    policy: "asked",
    copies: true,
    check_copies: true,
    find_prompt: true,
    refuse_late: true,
    admit: true,
    order_priorities: true,
};

/// Simple policies, the relay as it was before it searched for the engines that hold prompts, and
/// the relay without admission.
pub const BASELINES: [NodeConfig; 5] = [
    NodeConfig {
        name: "random",
        policy: "random",
        ..COPIES_ONLY
    },
    NodeConfig {
        name: "least outstanding",
        policy: "least outstanding",
        ..COPIES_ONLY
    },
    NodeConfig {
        name: "own view",
        policy: "own view",
        ..COPIES_ONLY
    },
    NodeConfig {
        name: "previous",
        policy: "asked",
        ..COPIES_ONLY
    },
    NodeConfig {
        name: "no admission",
        admit: false,
        ..RELAY
    },
];

/// A node that copies the memory of streams but makes none of the other decisions.
const COPIES_ONLY: NodeConfig = NodeConfig {
    name: "",
    policy: "",
    copies: true,
    check_copies: false,
    find_prompt: false,
    refuse_late: false,
    admit: false,
    order_priorities: false,
};

/// The data that a policy may use.
pub(super) struct View<'a> {
    /// The node's own load on engines.
    pub local: &'a LocalLoad,
    /// The load reports of engines.
    pub reports: &'a [Reports],
    /// Rank of each engine in the prompt's order of preference, from 0 (preferred) to 1.
    pub preference_ranks: &'a [f64],
    /// Whether each engine is excluded, as gone, full or not usable.
    pub excluded: &'a [bool],
    /// Number of prompt tokens.
    pub input: u64,
    /// The demand of a prompt that may start only where there is room; `None` for other prompts.
    pub demand: Option<PromptDemand>,
    /// Memory of each engine in tokens; zero if unbounded.
    pub capacity: u64,
    /// Priorities of the runs in the reports that were read.
    pub seen: RefCell<Vec<u8>>,
}

/// Chooses an engine for a prompt.
pub(super) trait Policy {
    /// Returns the index of an engine; `None` if no engine can be used.
    fn pick(&self, view: &View<'_>, random: &mut fastrand::Rng) -> Option<usize>;
}

/// Returns the policy with a name.
///
/// # Panics
///
/// Panics if no policy has the name.
pub(super) fn policy(name: &str) -> Box<dyn Policy> {
    match name {
        "random" => Box::new(Random),
        "least outstanding" => Box::new(LeastOutstanding),
        "own view" => Box::new(OwnView),
        "asked" => Box::new(Probing),
        _ => panic!("no policy is named {name}"),
    }
}

/// Chooses uniformly at random.
struct Random;

impl Policy for Random {
    fn pick(&self, view: &View<'_>, random: &mut fastrand::Rng) -> Option<usize> {
        let available: Vec<usize> = (0..view.excluded.len())
            .filter(|i| !view.excluded[*i])
            .collect();
        random.choice(available)
    }
}

/// Chooses an engine with the fewest open streams of the node.
struct LeastOutstanding;

impl Policy for LeastOutstanding {
    fn pick(&self, view: &View<'_>, random: &mut fastrand::Rng) -> Option<usize> {
        (0..view.excluded.len())
            .filter(|i| !view.excluded[*i])
            .min_by_key(|i| (view.local.open_streams[*i], random.u32(..)))
    }
}

/// The relay's choice without probing any engine.
struct OwnView;

impl Policy for OwnView {
    fn pick(&self, view: &View<'_>, random: &mut fastrand::Rng) -> Option<usize> {
        next_engine(view, &[], random)
    }
}

/// The relay's choice among a few engines that it probes for their loads.
struct Probing;

impl Policy for Probing {
    fn pick(&self, view: &View<'_>, random: &mut fastrand::Rng) -> Option<usize> {
        let Some(demand) = &view.demand else {
            let probed = probe(view, PROBED_ENGINES, &[], random);
            return choose_least_loaded(&reported_loads(view, &probed)).map(|index| probed[index]);
        };
        let probed = probe(view, PROBED_ENGINES, &[], random);
        if let Ok(index) = choose_with_room(&reported_loads(view, &probed), demand) {
            return Some(probed[index]);
        }
        let extra = probe(view, EXTRA_PROBED_ENGINES, &probed, random);
        let chosen = choose_with_room(&reported_loads(view, &extra), demand).ok()?;
        Some(extra[chosen])
    }
}

/// Returns the next `count` engines in the order of the relay's own estimate, without those in
/// `skipped`.
fn probe(
    view: &View<'_>,
    count: usize,
    skipped: &[usize],
    random: &mut fastrand::Rng,
) -> Vec<usize> {
    let mut taken = skipped.to_vec();
    while taken.len() < skipped.len() + count {
        let Some(next) = next_engine(view, &taken, random) else {
            break;
        };
        taken.push(next);
    }
    taken.split_off(skipped.len())
}

/// Returns the reported loads of engines, adjusted by the node's own unread prompts there.
fn reported_loads(view: &View<'_>, probed: &[usize]) -> Vec<Option<EngineLoad>> {
    let to_load = |engine: &usize| Some(reported_load(view, *engine));
    let loads: Vec<Option<EngineLoad>> = probed.iter().map(to_load).collect();
    let runs = loads.iter().flatten().flat_map(|load| &load.runs);
    view.seen.borrow_mut().extend(runs.map(|run| run.priority));
    loads
}

/// Returns the reported load of one engine.
pub(super) fn reported_load(view: &View<'_>, engine: usize) -> EngineLoad {
    let reported = view.reports[engine].delayed();
    let local = view.local.unread_tokens[engine] / view.input.max(1);
    EngineLoad {
        prefilling: reported.prefilling.max(local),
        generating: reported.generating,
        slots: SLOTS as u64,
        used: reported.used,
        runs: reported.runs,
        capacity: view.capacity,
    }
}

/// Returns the first engine in the order of the relay's own estimate that is not skipped.
fn next_engine(view: &View<'_>, skipped: &[usize], random: &mut fastrand::Rng) -> Option<usize> {
    let candidates: Vec<Candidate> = (0..view.excluded.len())
        .map(|engine| Candidate {
            slots: 12,
            open_requests: view.local.open_streams[engine],
            unread_tokens: view.local.unread_tokens[engine],
            preference_rank: view.preference_ranks[engine],
            report_age: Duration::MAX,
            excluded: view.excluded[engine] || skipped.contains(&engine),
            ..Candidate::default()
        })
        .collect();
    let need = RequestDemand {
        input: view.input,
        peak_tokens: view.input,
        capacity: Some(55_000),
        contended: false,
    };
    choose(&candidates, need, || random.f64())
}
