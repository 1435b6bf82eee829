//! A sequential test that compares the new version's faults with those of the proven version.
//!
//! Consider the faults of both versions in one interval. If the new version is as good as the
//! proven one, its share of the faults equals its share of the requests; if it is worse, its share
//! of the faults is larger. This holds at any rate of faults, so that noise that affects both
//! versions at once is no evidence. For each kind of fault and each scope (all traffic, a route, an
//! account, a cell) the test adds up the log-likelihood ratio of the hypothesis "the odds of a fault
//! are higher" to the hypothesis "they are at most [`ODDS_TOLERANCE`] times those of the proven
//! version". The sum starts at the interval that gives the highest value (Page's cumulative sum),
//! so that a version that becomes bad late is found as fast as one that is bad from the start.
//!
//! By Ville's inequality a sum that starts at zero reaches the threshold `h` with a probability of
//! at most `exp(-h)` while the new version is as good as the proven one. Of the probability of
//! false alarms allotted to a sum, its `j`-th start receives the fraction `6 / (pi * j)^2`. These
//! fractions add up to one, however long the move takes. [`FALSE_ALARM_PROBABILITY`] is divided
//! among kinds, alternatives and scopes: half of it goes to all traffic together, and a sixth each
//! to accounts, routes and cells.

use std::collections::HashMap;

use super::{
    judge::{BuildJudge, Comparison, Evidence, Judge, JudgeConfig},
    Cell, Tally,
};
use crate::{kernel::Time, plugin::Plugin};

inventory::submit! {
    Plugin::<BuildJudge> { name: "sequential", build: || Box::new(|config| Box::new(Sequential::new(config))) }
}

/// The maximum probability of a verdict on a good version during a move, if faults are independent
/// of each other.
const FALSE_ALARM_PROBABILITY: f64 = 0.005;

/// The kinds of fault, in the order of [`Tally::faults`].
const FAULTS: [&str; 3] = ["errors", "early ends", "slow answers"];

/// The alternatives to test: ratios of a bad version's odds of a fault to the proven version's.
const ODDS_ALTERNATIVES: [f64; 4] = [3.0, 8.0, 25.0, 100.0];

/// The highest ratio of the odds of a fault at which a version still counts as good.
const ODDS_TOLERANCE: f64 = 1.3;

/// The numbers of requests over which the new version's share of the requests is averaged. The
/// higher of both averages is used, as the share may just have increased.
const MEMORY_REQUESTS: [f64; 2] = [100.0, 20.0];

/// The weight, in requests, of the prior in a scope's share of requests. The prior is the higher of
/// the scope's own share and the share in all traffic.
const PRIOR_REQUESTS: f64 = 4.0;

/// A cumulative sum of log-likelihood ratios.
#[derive(Clone, Copy, Debug, Default)]
struct CumulativeSum {
    value: f64,
    start_count: u32,
    // The new version's requests and faults since the last start.
    requests: u32,
    faults: u32,
}

impl CumulativeSum {
    /// Adds the ratio of one interval; a sum that is not positive starts again from zero.
    fn add(&mut self, ratio: f64, requests: u32, faults: u32) {
        if self.value <= 0.0 {
            (self.value, self.requests, self.faults) = (0.0, 0, 0);
            self.start_count += u32::from(ratio > 0.0);
        }
        self.value += ratio;
        self.requests += requests;
        self.faults += faults;
    }

    /// Returns the fraction of the threshold that the sum has reached; a verdict requires 1.
    ///
    /// `alarm_probability` is the probability of false alarms allotted to all starts of the sum.
    fn threshold_fraction(&self, alarm_probability: f64) -> f64 {
        let start = f64::from(self.start_count.max(1));
        let start_probability = alarm_probability * 6.0 / (std::f64::consts::PI * start).powi(2);
        self.value / (1.0 / start_probability).ln()
    }
}

/// One scope under test.
#[derive(Clone, Debug, Default)]
struct Scope {
    old: Tally,
    // Exponentially weighted numbers of requests, to the new version and to both, one pair for each
    // element of `MEMORY_REQUESTS`.
    recent: [(f64, f64); MEMORY_REQUESTS.len()],
    sums: [[CumulativeSum; ODDS_ALTERNATIVES.len()]; FAULTS.len()],
}

/// The counts of a scope since the previous interval.
#[derive(Clone, Debug, Default)]
struct NewCounts {
    new: HashMap<u16, Tally>,
    old: Tally,
}

impl NewCounts {
    /// Returns the new version's tally, with at most one fault of each kind per backend server: a
    /// server that crashes fails many requests at once, which is little evidence against its
    /// version.
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

/// The key of a scope, whose traffic is judged together.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum ScopeName {
    All,
    Account(Cell),
    Route(Cell),
    Cell(Cell),
}

impl ScopeName {
    /// Returns the scopes that contain a cell.
    fn scopes_of(cell: &Cell) -> [ScopeName; 4] {
        let account = Cell {
            route: "".into(),
            ..cell.clone()
        };
        let route = Cell {
            account: "".into(),
            ..cell.clone()
        };
        [
            ScopeName::All,
            ScopeName::Account(account),
            ScopeName::Route(route),
            ScopeName::Cell(cell.clone()),
        ]
    }

    fn label(&self) -> String {
        match self {
            ScopeName::All => "all traffic".to_owned(),
            ScopeName::Account(cell) => format!("account {}", cell.account),
            ScopeName::Route(cell) => format!("route {}", cell.route),
            ScopeName::Cell(cell) => format!("account {} on route {}", cell.account, cell.route),
        }
    }
}

/// The sequential test of one move.
struct Sequential {
    config: JudgeConfig,
    scopes: HashMap<ScopeName, Scope>,
    servers: HashMap<(Cell, u16), Tally>,
    // The numbers of accounts and routes in the latest comparisons.
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

    /// Returns the probability of false alarms allotted to one sum of a scope.
    fn alarm_probability(&self, name: &ScopeName) -> f64 {
        let cells = self.config.cells.max(1);
        let scopes = match name {
            ScopeName::All => 2,
            ScopeName::Account(_) => 6 * self.accounts.clamp(1, cells),
            ScopeName::Route(_) => 6 * self.routes.clamp(1, cells),
            ScopeName::Cell(_) => 6 * cells,
        };
        FALSE_ALARM_PROBABILITY / (scopes * FAULTS.len() * ODDS_ALTERNATIVES.len()) as f64
    }

    /// Returns the new version's counts on a cell since the previous interval, by backend server.
    fn new_counts(&mut self, comparison: &Comparison) -> Vec<(u16, Tally)> {
        let cell = &comparison.cell;
        comparison
            .new
            .iter()
            .map(|(server, tally)| {
                let previous = self.servers.entry((cell.clone(), *server)).or_default();
                let fresh = tally.since(*previous);
                *previous = *tally;
                (*server, fresh)
            })
            .collect()
    }
}

impl Judge for Sequential {
    fn judge(&mut self, _now: Time, comparisons: &[Comparison]) -> Option<Evidence> {
        let mut fresh: HashMap<ScopeName, NewCounts> = HashMap::new();
        for comparison in comparisons {
            let new = self.new_counts(comparison);
            let cell = ScopeName::Cell(comparison.cell.clone());
            let scope = self.scopes.entry(cell).or_default();
            let old = comparison.old.since(scope.old);
            for name in ScopeName::scopes_of(&comparison.cell) {
                let sums = fresh.entry(name).or_default();
                sums.old += old;
                for (server, tally) in &new {
                    *sums.new.entry(*server).or_default() += *tally;
                }
            }
        }
        let count = |of: fn(&ScopeName) -> bool| fresh.keys().filter(|name| of(name)).count();
        self.accounts = count(|name| matches!(name, ScopeName::Account(_)));
        self.routes = count(|name| matches!(name, ScopeName::Route(_)));
        let all = fresh.remove(&ScopeName::All)?;
        let mut found = self.test_scope(ScopeName::All, &all, 0.0);
        let share = self
            .scopes
            .get(&ScopeName::All)
            .map_or(0.0, |all| all.share(0.0));
        for (name, sums) in fresh {
            let evidence = self.test_scope(name, &sums, share);
            found = found.or(evidence);
        }
        found
    }

    fn suspicion(&self, cell: &Cell) -> f64 {
        ScopeName::scopes_of(cell)
            .iter()
            .filter_map(|name| {
                let scope = self.scopes.get(name)?;
                let alarm_probability = self.alarm_probability(name);
                let sums = scope.sums.iter().flatten();
                Some(
                    sums.map(|sum| sum.threshold_fraction(alarm_probability))
                        .fold(0.0, f64::max),
                )
            })
            .fold(0.0, f64::max)
    }
}

impl Sequential {
    /// Tests one scope; `min_share` is the minimum prior of the new version's share of requests.
    fn test_scope(
        &mut self,
        name: ScopeName,
        fresh: &NewCounts,
        min_share: f64,
    ) -> Option<Evidence> {
        let alarm_probability = self.alarm_probability(&name);
        let label = name.label();
        let scope = self.scopes.entry(name).or_default();
        let new = fresh.incidents();
        scope.old += fresh.old;
        scope.record_requests(new.requests, fresh.old.requests);
        let share = scope.share(min_share);
        let mut found = None;
        for (fault, fault_label) in FAULTS.iter().enumerate() {
            let counts = (new.faults()[fault], fresh.old.faults()[fault]);
            let nearest = scope.add(fault, share, new.requests, counts, alarm_probability);
            if nearest.threshold_fraction(alarm_probability) >= 1.0 {
                found = found.or(Some(Evidence {
                    scope: label.clone(),
                    fault: (*fault_label).to_owned(),
                    requests: nearest.requests,
                    faults: nearest.faults,
                    expected: scope.baseline_rate(fault),
                }));
            }
        }
        found
    }
}

impl Scope {
    /// Records requests to both versions.
    fn record_requests(&mut self, new: u32, old: u32) {
        let both = f64::from(new) + f64::from(old);
        for (recent, memory) in self.recent.iter_mut().zip(MEMORY_REQUESTS) {
            let keep = (-both / memory).exp();
            recent.0 = recent.0 * keep + f64::from(new);
            recent.1 = recent.1 * keep + both;
        }
    }

    /// Returns the new version's share of the requests, drawn towards `min_share` if there were few
    /// requests.
    fn share(&self, min_share: f64) -> f64 {
        let share = |(new, both): (f64, f64)| {
            let own = new / both.max(1.0);
            (new + PRIOR_REQUESTS * own.max(min_share)) / (both + PRIOR_REQUESTS)
        };
        self.recent.into_iter().map(share).fold(0.0, f64::max)
    }

    /// Returns the proven version's rate of a kind of fault since the move started.
    fn baseline_rate(&self, fault: usize) -> f64 {
        f64::from(self.old.faults()[fault]) / f64::from(self.old.requests.max(1))
    }

    /// Adds the faults of both versions to the sums of one kind of fault, and returns the sum that
    /// is nearest to a verdict.
    fn add(
        &mut self,
        fault: usize,
        share: f64,
        requests: u32,
        (new, old): (u32, u32),
        alarm_probability: f64,
    ) -> CumulativeSum {
        let tolerated = odds_raised(share, ODDS_TOLERANCE);
        let sums = &mut self.sums[fault];
        for (sum, alternative) in sums.iter_mut().zip(ODDS_ALTERNATIVES) {
            let alternative_share = odds_raised(share, alternative);
            let ratio = f64::from(new) * (alternative_share / tolerated).ln()
                + f64::from(old) * ((1.0 - alternative_share) / (1.0 - tolerated)).ln();
            sum.add(ratio, requests, new);
        }
        let order = |a: &&CumulativeSum, b: &&CumulativeSum| {
            a.threshold_fraction(alarm_probability)
                .total_cmp(&b.threshold_fraction(alarm_probability))
        };
        sums.iter().max_by(order).copied().unwrap_or_default()
    }
}

/// Returns the new version's expected share of the faults, if it receives `share` of the requests
/// and its odds of a fault are `times` the proven version's.
fn odds_raised(share: f64, times: f64) -> f64 {
    let share = share.clamp(0.001, 0.999);
    times * share / (1.0 - share + times * share)
}
