//! Where prompts go: the relay's own decisions, and simple policies to compare them with.

use std::time::Duration;

use cassiareel_relay::kernel::{choose, choose_reported, Candidate, Need, Reported};

use super::node::{Own, Reports};

/// Engines that are asked for their loads before a prompt is sent.
const ASKED: usize = 3;

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
}

/// What the relay does.
pub const OURS: Setup = Setup {
    name: "relay",
    policy: "asked",
    copies: true,
    prove: true,
    search: true,
    refuse: true,
};

/// Simple policies, and the relay as it was before it looked for holders.
pub const BASELINES: [Setup; 4] = [
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
];

const PLAIN: Setup = Setup {
    name: "",
    policy: "",
    copies: true,
    prove: false,
    search: false,
    refuse: false,
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
        let mut asked: Vec<usize> = Vec::new();
        while asked.len() < ASKED {
            let Some(next) = pick_next(view, &asked, random) else {
                break;
            };
            asked.push(next);
        }
        let told: Vec<Option<Reported>> = asked
            .iter()
            .map(|engine| {
                let told = view.reports[*engine].read();
                let own = view.own.unread[*engine] / view.input.max(1);
                Some(Reported {
                    reading: told.reading.max(own),
                    generating: told.writing,
                })
            })
            .collect();
        choose_reported(&told).map(|place| asked[place])
    }
}

/// The next engine in the order of the relay's own estimate.
fn pick_next(view: &View<'_>, left_out: &[usize], random: &mut fastrand::Rng) -> Option<usize> {
    let candidates: Vec<Candidate> = (0..view.closed.len())
        .map(|engine| Candidate {
            slots: 12,
            open: view.own.open[engine],
            unread: view.own.unread[engine],
            rank: view.ranks[engine],
            told: Duration::MAX,
            closed: view.closed[engine] || left_out.contains(&engine),
            ..Candidate::default()
        })
        .collect();
    let need = Need {
        input: view.input,
        tokens: view.input,
        capacity: Some(55_000),
    };
    choose(&candidates, need, || random.f64())
}
