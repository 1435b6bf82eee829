//! A sequential test of the new version's faults against those of the version beside it.
//!
//! Of the faults of both versions in a look, the new version's part is its part of the requests,
//! if it is as good as the other, and more if it is worse. This holds whatever the rate of faults
//! is at the moment, so that noise on both versions at once is no evidence. For each kind of fault
//! and each scope (all traffic, a route, an account, a cell) the test sums the log-likelihood ratio
//! of "its odds are higher" against "they are at most [`TOLERANCE`] times the other's", from the best
//! starting look on (Page's cumulative sum), so that a version that turns bad late is found as soon
//! as one that is bad at once.
//!
//! By Ville's inequality a sum that starts at zero reaches the threshold `h` with a probability of at
//! most `exp(-h)` while the version is as good as the other. The `j`-th start of a sum may spend
//! `6 / (pi * j)^2` of what the sum may spend in all, so that the starts add up to it, however long
//! the move is; [`FALSE_ALARMS`] is spread over kinds, alternatives and scopes, half of it on all
//! traffic together and a sixth on each of accounts, routes and cells.

use std::collections::HashMap;

use super::{
    judge::{Build, Comparison, Evidence, Judge, JudgeConfig},
    Cell, Tally,
};
use crate::{kernel::Time, plugin::Plugin};

inventory::submit! {
    Plugin::<Build> { name: "sequential", build: || Box::new(|config| Box::new(Sequential::new(config))) }
}

/// The probability of a verdict on a good version within a move, at most, where faults are
/// independent of each other.
const FALSE_ALARMS: f64 = 0.005;

/// The kinds of fault, in the order of [`Tally::faults`].
const FAULTS: [&str; 3] = ["errors", "early ends", "slow answers"];

/// How many times higher a bad version's odds of a fault may be, as alternatives.
const ALTERNATIVES: [f64; 4] = [3.0, 8.0, 25.0, 100.0];

/// How many times higher the odds of a version that still counts as good may be.
const TOLERANCE: f64 = 1.3;

/// Requests over which the new version's part of them is taken; the higher of both counts, as the
/// part may just have risen.
const MEMORIES: [f64; 2] = [100.0, 20.0];

/// Requests that the part of a scope starts from, at the higher of its own and that of all traffic.
const PRIOR: f64 = 4.0;

/// A sum of log-likelihood ratios.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    value: f64,
    starts: u32,
    // The new version's requests and faults since the last start.
    requests: u32,
    faults: u32,
}

impl Sum {
    /// Adds a look's ratio.
    fn add(&mut self, ratio: f64, requests: u32, faults: u32) {
        if self.value <= 0.0 {
            (self.value, self.requests, self.faults) = (0.0, 0, 0);
            self.starts += u32::from(ratio > 0.0);
        }
        self.value += ratio;
        self.requests += requests;
        self.faults += faults;
    }

    /// How near the sum is to a verdict, where all its starts may spend `alarms`.
    fn nearness(&self, alarms: f64) -> f64 {
        let start = f64::from(self.starts.max(1));
        let spent = alarms * 6.0 / (std::f64::consts::PI * start).powi(2);
        self.value / (1.0 / spent).ln()
    }
}

/// One scope under test.
#[derive(Clone, Debug, Default)]
struct Scope {
    old: Tally,
    // Requests that fade, for each memory: of the new version and of both.
    seen: [(f64, f64); MEMORIES.len()],
    sums: [[Sum; ALTERNATIVES.len()]; FAULTS.len()],
}

/// What a scope saw since the last look.
#[derive(Clone, Debug, Default)]
struct Fresh {
    new: HashMap<u16, Tally>,
    old: Tally,
}

impl Fresh {
    /// The new version's tally, with the faults of one server counted once: a server that dies
    /// takes many requests with it, which says little of its version.
    fn incidents(&self) -> Tally {
        let mut sum = Tally::default();
        for tally in self.new.values() {
            let (errors, early) = (tally.errors.min(1), tally.early.min(1));
            let repeated = tally.errors - errors + tally.early - early;
            sum += Tally {
                requests: tally.requests.saturating_sub(repeated),
                errors,
                early,
                slow: tally.slow,
            };
        }
        sum
    }
}

/// What is judged together.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Name {
    All,
    Account(Cell),
    Route(Cell),
    Cell(Cell),
}

impl Name {
    /// The scopes that a cell counts in.
    fn of(cell: &Cell) -> [Name; 4] {
        let account = Cell {
            route: "".into(),
            ..cell.clone()
        };
        let route = Cell {
            account: "".into(),
            ..cell.clone()
        };
        [
            Name::All,
            Name::Account(account),
            Name::Route(route),
            Name::Cell(cell.clone()),
        ]
    }

    fn words(&self) -> String {
        match self {
            Name::All => "all traffic".to_owned(),
            Name::Account(cell) => format!("account {}", cell.account),
            Name::Route(cell) => format!("route {}", cell.route),
            Name::Cell(cell) => format!("account {} on route {}", cell.account, cell.route),
        }
    }
}

/// The test.
struct Sequential {
    config: JudgeConfig,
    scopes: HashMap<Name, Scope>,
    servers: HashMap<(Cell, u16), Tally>,
    // Accounts and routes met so far.
    accounts: usize,
    routes: usize,
}

impl Sequential {
    fn new(config: JudgeConfig) -> Sequential {
        Sequential {
            config,
            scopes: HashMap::new(),
            servers: HashMap::new(),
            accounts: 0,
            routes: 0,
        }
    }

    /// The probability of false alarms that one sum of a scope may spend.
    fn alarms(&self, name: &Name) -> f64 {
        let cells = self.config.cells.max(1);
        let scopes = match name {
            Name::All => 2,
            Name::Account(_) => 6 * self.accounts.clamp(1, cells),
            Name::Route(_) => 6 * self.routes.clamp(1, cells),
            Name::Cell(_) => 6 * cells,
        };
        FALSE_ALARMS / (scopes * FAULTS.len() * ALTERNATIVES.len()) as f64
    }

    /// What a cell's new version did since the last look, by backend server.
    fn news(&mut self, comparison: &Comparison) -> Vec<(u16, Tally)> {
        let cell = &comparison.cell;
        comparison
            .new
            .iter()
            .map(|(server, tally)| {
                let seen = self.servers.entry((cell.clone(), *server)).or_default();
                let fresh = tally.since(*seen);
                *seen = *tally;
                (*server, fresh)
            })
            .collect()
    }
}

impl Judge for Sequential {
    fn judge(&mut self, _now: Time, comparisons: &[Comparison]) -> Option<Evidence> {
        let mut fresh: HashMap<Name, Fresh> = HashMap::new();
        for comparison in comparisons {
            let new = self.news(comparison);
            let cell = Name::Cell(comparison.cell.clone());
            let scope = self.scopes.entry(cell).or_default();
            let old = comparison.old.since(scope.old);
            for name in Name::of(&comparison.cell) {
                let sums = fresh.entry(name).or_default();
                sums.old += old;
                for (server, tally) in &new {
                    *sums.new.entry(*server).or_default() += *tally;
                }
            }
        }
        let count = |of: fn(&Name) -> bool| fresh.keys().filter(|name| of(name)).count();
        self.accounts = count(|name| matches!(name, Name::Account(_)));
        self.routes = count(|name| matches!(name, Name::Route(_)));
        let all = fresh.remove(&Name::All)?;
        let mut found = self.look(Name::All, &all, 0.0);
        let part = self.scopes.get(&Name::All).map_or(0.0, |all| all.part(0.0));
        for (name, sums) in fresh {
            let evidence = self.look(name, &sums, part);
            found = found.or(evidence);
        }
        found
    }

    fn suspicion(&self, cell: &Cell) -> f64 {
        Name::of(cell)
            .iter()
            .filter_map(|name| {
                let scope = self.scopes.get(name)?;
                let alarms = self.alarms(name);
                let sums = scope.sums.iter().flatten();
                Some(sums.map(|sum| sum.nearness(alarms)).fold(0.0, f64::max))
            })
            .fold(0.0, f64::max)
    }
}

impl Sequential {
    /// Looks at one scope; `least` is the least part that it counts with.
    fn look(&mut self, name: Name, fresh: &Fresh, least: f64) -> Option<Evidence> {
        let alarms = self.alarms(&name);
        let words = name.words();
        let scope = self.scopes.entry(name).or_default();
        let new = fresh.incidents();
        scope.old += fresh.old;
        scope.see(new.requests, fresh.old.requests);
        let part = scope.part(least);
        let mut found = None;
        for (fault, words_of) in FAULTS.iter().enumerate() {
            let counts = (new.faults()[fault], fresh.old.faults()[fault]);
            let nearest = scope.add(fault, part, new.requests, counts, alarms);
            if nearest.nearness(alarms) >= 1.0 {
                found = found.or(Some(Evidence {
                    scope: words.clone(),
                    fault: (*words_of).to_owned(),
                    requests: nearest.requests,
                    faults: nearest.faults,
                    expected: scope.usual(fault),
                }));
            }
        }
        found
    }
}

impl Scope {
    /// Notes requests of both versions.
    fn see(&mut self, new: u32, old: u32) {
        let both = f64::from(new) + f64::from(old);
        for (seen, memory) in self.seen.iter_mut().zip(MEMORIES) {
            let keep = (-both / memory).exp();
            seen.0 = seen.0 * keep + f64::from(new);
            seen.1 = seen.1 * keep + both;
        }
    }

    /// The new version's part of the requests, drawn towards `least` where little was seen.
    fn part(&self, least: f64) -> f64 {
        let part = |(new, both): (f64, f64)| {
            let own = new / both.max(1.0);
            (new + PRIOR * own.max(least)) / (both + PRIOR)
        };
        self.seen.into_iter().map(part).fold(0.0, f64::max)
    }

    /// The other version's share of a fault since the move began.
    fn usual(&self, fault: usize) -> f64 {
        f64::from(self.old.faults()[fault]) / f64::from(self.old.requests.max(1))
    }

    /// Adds the faults of both versions to the sums of a kind, and returns the nearest to a verdict.
    fn add(
        &mut self,
        fault: usize,
        part: f64,
        requests: u32,
        (new, old): (u32, u32),
        alarms: f64,
    ) -> Sum {
        let usual = odds_raised(part, TOLERANCE);
        let sums = &mut self.sums[fault];
        for (sum, alternative) in sums.iter_mut().zip(ALTERNATIVES) {
            let worse = odds_raised(part, alternative);
            let ratio = f64::from(new) * (worse / usual).ln()
                + f64::from(old) * ((1.0 - worse) / (1.0 - usual)).ln();
            sum.add(ratio, requests, new);
        }
        let order = |a: &&Sum, b: &&Sum| a.nearness(alarms).total_cmp(&b.nearness(alarms));
        sums.iter().max_by(order).copied().unwrap_or_default()
    }
}

/// The part of faults where the odds of each are `times` higher, for a part of the requests.
fn odds_raised(part: f64, times: f64) -> f64 {
    let part = part.clamp(0.001, 0.999);
    times * part / (1.0 - part + times * part)
}
