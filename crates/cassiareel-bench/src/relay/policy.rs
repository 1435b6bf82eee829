//! Where prompts go: the relay's own decisions, and simple policies to compare them with.

use std::time::Duration;

use cassiareel_relay::kernel::{
    choose, choose_least_loaded, choose_with_room, Candidate, EngineLoad, PromptDemand,
    RequestDemand, EXTRA_PROBED_ENGINES, PROBED_ENGINES,
};

use super::{
    engine::SLOTS,
    node::{Own, Reports},
};

/// What nodes do. The parts beside the policy are the relay's; a comparison leaves them out.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// The name in tables and drawings.
    pub name: &'static str,
    /// The name of the policy.
    pub policy: &'static str,
    /// Whether streams keep copies of their memory.
    pub copies: bool,
    /// Whether holders of copies are asked for signs of life.
    pub prove: bool,
    /// Whether the holder of a resumed stream's prompt is looked for.
    pub search: bool,
    /// Whether streams that can't end in time are refused.
    pub refuse: bool,
    /// Whether streams begin only where there is room, and accounts get their shares.
    pub admit: bool,
}

/// What the relay does.
pub const OURS: Setup = Setup {
    name: "relay",
    policy: "asked",
    copies: true,
    prove: true,
    search: true,
    refuse: true,
    admit: true,
};

/// Simple policies, and the relay as it was before it looked for holders and before it had admission.
pub const BASELINES: [Setup; 5] = [
    Setup {
        name: "random",
        policy: "random",
        ..PLAIN
    },
    Setup {
        name: "least outstanding",
        policy: "least outstanding",
        ..PLAIN
    },
    Setup {
        name: "own view",
        policy: "own view",
        ..PLAIN
    },
    Setup {
        name: "previous",
        policy: "asked",
        ..PLAIN
    },
    Setup {
        name: "no admission",
        admit: false,
        ..OURS
    },
];

const PLAIN: Setup = Setup {
    name: "",
    policy: "",
    copies: true,
    prove: false,
    search: false,
    refuse: false,
    admit: false,
};

/// What a policy may go by.
pub(super) struct View<'a> {
    /// The node's own work.
    pub own: &'a Own,
    /// The engines' reports.
    pub reports: &'a [Reports],
    /// How little the prompt prefers each engine, from 0 to 1.
    pub ranks: &'a [f64],
    /// Engines that turned out to be gone, or may not be used.
    pub closed: &'a [bool],
    /// Prompt tokens.
    pub input: u64,
    /// What the prompt needs of an engine, where it may begin only where there is room.
    pub want: Option<PromptDemand>,
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
        "asked" => Box::new(Asked),
        _ => panic!("no policy is called {name}"),
    }
}

struct Random;

impl Policy for Random {
    fn pick(&self, view: &View<'_>, random: &mut fastrand::Rng) -> Option<usize> {
        let open: Vec<usize> = (0..view.closed.len())
            .filter(|i| !view.closed[*i])
            .collect();
        random.choice(open)
    }
}

struct LeastOutstanding;

impl Policy for LeastOutstanding {
    fn pick(&self, view: &View<'_>, random: &mut fastrand::Rng) -> Option<usize> {
        (0..view.closed.len())
            .filter(|i| !view.closed[*i])
            .min_by_key(|i| (view.own.open[*i], random.u32(..)))
    }
}

/// The relay's choice without asking any engine.
struct OwnView;

impl Policy for OwnView {
    fn pick(&self, view: &View<'_>, random: &mut fastrand::Rng) -> Option<usize> {
        pick_next(view, &[], random)
    }
}

/// The relay's choice among a few engines that told their loads.
struct Asked;

impl Policy for Asked {
    fn pick(&self, view: &View<'_>, random: &mut fastrand::Rng) -> Option<usize> {
        let Some(want) = &view.want else {
            let asked = ask(view, PROBED_ENGINES, &[], random);
            return choose_least_loaded(&tell(view, &asked)).map(|place| asked[place]);
        };
        let asked = ask(view, PROBED_ENGINES, &[], random);
        if let Ok(place) = choose_with_room(&tell(view, &asked), want) {
            return Some(asked[place]);
        }
        let more = ask(view, EXTRA_PROBED_ENGINES, &asked, random);
        let chosen = choose_with_room(&tell(view, &more), want).ok()?;
        Some(more[chosen])
    }
}

/// The next engines in the order of the relay's own estimate, but for those that are left out.
fn ask(view: &View<'_>, most: usize, left_out: &[usize], random: &mut fastrand::Rng) -> Vec<usize> {
    let mut out = left_out.to_vec();
    while out.len() < left_out.len() + most {
        let Some(next) = pick_next(view, &out, random) else {
            break;
        };
        out.push(next);
    }
    out.split_off(left_out.len())
}

/// What engines told a moment ago, with what the node has sent there since.
fn tell(view: &View<'_>, asked: &[usize]) -> Vec<Option<EngineLoad>> {
    let tell = |engine: &usize| Some(tell_one(view, *engine));
    asked.iter().map(tell).collect()
}

/// What one engine told.
pub(super) fn tell_one(view: &View<'_>, engine: usize) -> EngineLoad {
    let told = view.reports[engine].read();
    let own = view.own.unread[engine] / view.input.max(1);
    EngineLoad {
        prefilling: told.reading.max(own),
        generating: told.writing,
        slots: SLOTS as u64,
        used: told.used,
        runs: told.runs,
        capacity: view.capacity,
    }
}

/// The next engine in the order of the relay's own estimate.
fn pick_next(view: &View<'_>, left_out: &[usize], random: &mut fastrand::Rng) -> Option<usize> {
    let candidates: Vec<Candidate> = (0..view.closed.len())
        .map(|engine| Candidate {
            slots: 12,
            open_requests: view.own.open[engine],
            unread_tokens: view.own.unread[engine],
            preference_rank: view.ranks[engine],
            report_age: Duration::MAX,
            excluded: view.closed[engine] || left_out.contains(&engine),
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
