//! Where prompts go: the relay's own decisions, and simple policies to compare them with.

use std::time::Duration;

use cassiareel_relay::kernel::{
    choose, choose_least_loaded, choose_with_room, Candidate, EngineLoad, PromptDemand,
    RequestDemand, EXTRA_PROBED_ENGINES, PROBED_ENGINES,
};

use super::{
    engine::SLOTS,
    node::{LocalLoad, Reports},
};

/// What nodes do. The parts beside the policy are the relay's; a comparison leaves them out.
#[derive(Clone, Copy, Debug)]
pub struct NodeConfig {
    /// The name in tables and drawings.
    pub name: &'static str,
    /// The name of the policy.
    pub policy: &'static str,
    /// Whether streams keep copies of their memory.
    pub copies: bool,
    /// Whether holders of copies are asked for signs of life.
    pub check_copies: bool,
    /// Whether the holder of a resumed stream's prompt is looked for.
    pub find_prompt: bool,
    /// Whether streams that can't end in time are refused.
    pub refuse_late: bool,
    /// Whether streams begin only where there is room, and accounts get their shares.
    pub admit: bool,
}

/// What the relay does.
pub const RELAY: NodeConfig = NodeConfig {
    name: "relay",
    policy: "asked",
    copies: true,
    check_copies: true,
    find_prompt: true,
    refuse_late: true,
    admit: true,
};

/// Simple policies, and the relay as it was before it looked for holders and before it had admission.
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

const COPIES_ONLY: NodeConfig = NodeConfig {
    name: "",
    policy: "",
    copies: true,
    check_copies: false,
    find_prompt: false,
    refuse_late: false,
    admit: false,
};

/// What a policy may go by.
pub(super) struct View<'a> {
    /// The node's own work.
    pub local: &'a LocalLoad,
    /// The engines' reports.
    pub reports: &'a [Reports],
    /// How little the prompt prefers each engine, from 0 to 1.
    pub preference_ranks: &'a [f64],
    /// Engines that turned out to be gone, or may not be used.
    pub excluded: &'a [bool],
    /// Prompt tokens.
    pub input: u64,
    /// What the prompt needs of an engine, where it may begin only where there is room.
    pub demand: Option<PromptDemand>,
    /// The memory of each engine, in tokens; zero where it is not bounded.
    pub capacity: u64,
}

/// Chooses an engine for a prompt.
pub(super) trait Policy {
    /// The engine's index; `None` where all are closed.
    fn pick(&self, view: &View<'_>, random: &mut fastrand::Rng) -> Option<usize>;
}

/// The policy of a name.
///
/// # Panics
///
/// Panics where no policy has the name.
pub(super) fn policy(name: &str) -> Box<dyn Policy> {
    match name {
        "random" => Box::new(Random),
        "least outstanding" => Box::new(LeastOutstanding),
        "own view" => Box::new(OwnView),
        "asked" => Box::new(Probing),
        _ => panic!("no policy is called {name}"),
    }
}

struct Random;

impl Policy for Random {
    fn pick(&self, view: &View<'_>, random: &mut fastrand::Rng) -> Option<usize> {
        let available: Vec<usize> = (0..view.excluded.len())
            .filter(|i| !view.excluded[*i])
            .collect();
        random.choice(available)
    }
}

struct LeastOutstanding;

impl Policy for LeastOutstanding {
    fn pick(&self, view: &View<'_>, random: &mut fastrand::Rng) -> Option<usize> {
        (0..view.excluded.len())
            .filter(|i| !view.excluded[*i])
            .min_by_key(|i| (view.local.open_streams[*i], random.u32(..)))
    }
}

/// The relay's choice without asking any engine.
struct OwnView;

impl Policy for OwnView {
    fn pick(&self, view: &View<'_>, random: &mut fastrand::Rng) -> Option<usize> {
        next_engine(view, &[], random)
    }
}

/// The relay's choice among a few engines that told their loads.
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

/// The next engines in the order of the relay's own estimate, but for those that are left out.
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

/// What engines told a moment ago, with what the node has sent there since.
fn reported_loads(view: &View<'_>, probed: &[usize]) -> Vec<Option<EngineLoad>> {
    let to_load = |engine: &usize| Some(reported_load(view, *engine));
    probed.iter().map(to_load).collect()
}

/// What one engine told.
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

/// The next engine in the order of the relay's own estimate.
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
    };
    choose(&candidates, need, || random.f64())
}
