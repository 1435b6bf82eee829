//! The trait of judges and the registry of its implementations.

use std::{collections::BTreeMap, time::Duration};

use super::{Cell, Key, Tally};
use crate::{kernel::Time, plugin::Plugin};

/// The counts of the new version and of the proven one on one cell, since the move started.
#[derive(Clone, Debug)]
pub struct Comparison {
    /// The cell.
    pub cell: Cell,
    /// Tallies of the new version, by backend server.
    pub new: Vec<(u16, Tally)>,
    /// The tally of the proven version.
    pub old: Tally,
}

impl Comparison {
    /// Returns the comparison of two versions for each cell in a sum of counts.
    pub fn per_cell(sum: &BTreeMap<Key, Tally>, from: &str, to: &str) -> Vec<Comparison> {
        let mut cells: BTreeMap<&Cell, Comparison> = BTreeMap::new();
        for (key, tally) in sum {
            let comparison = cells.entry(&key.cell).or_insert_with(|| Comparison {
                cell: key.cell.clone(),
                new: Vec::new(),
                old: Tally::default(),
            });
            if *key.version == *to {
                comparison.new.push((key.server, *tally));
            } else if *key.version == *from {
                comparison.old += *tally;
            }
        }
        cells.into_values().collect()
    }
}

/// The evidence against a version.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Evidence {
    /// The traffic that was judged: an account, a route, a cell or all traffic.
    pub scope: String,
    /// The kind of fault.
    pub fault: String,
    /// Requests to the new version in that scope.
    pub requests: u32,
    /// The faults of that kind among these requests.
    pub faults: u32,
    /// The proven version's rate of faults of that kind.
    pub expected: f64,
}

/// The parameters of a judge, from which it derives its thresholds for false alarms.
#[derive(Clone, Copy, Debug)]
pub struct JudgeConfig {
    /// The time from the move's start to its end.
    pub duration: Duration,
    /// The time between two calls of [`Judge::judge`].
    pub interval: Duration,
    /// The number of cells in the move's scope.
    pub cells: usize,
}

/// Judges a new version by comparison with the proven one.
pub trait Judge: Send {
    /// Evaluates the sums, and returns evidence if they show that the new version is bad.
    fn judge(&mut self, now: Time, comparisons: &[Comparison]) -> Option<Evidence>;

    /// Returns how near a cell is to a verdict, from 0 to 1.
    fn suspicion(&self, cell: &Cell) -> f64;
}

/// Builds a judge for a move.
pub type BuildJudge = Box<dyn Fn(JudgeConfig) -> Box<dyn Judge> + Send + Sync>;

inventory::collect!(Plugin<BuildJudge>);

/// Builds the judge registered under a name, if there is one.
///
/// # Examples
///
/// ```
/// use std::{collections::BTreeMap, time::Duration};
/// use cassiareel::kernel::moves::{build_judge, JudgeConfig};
///
/// let config = JudgeConfig { duration: Duration::from_secs(600), interval: Duration::from_millis(500), cells: 4 };
/// assert!(build_judge("sequential", config).is_some());
/// assert!(build_judge("no-such-judge", config).is_none());
/// ```
pub fn build_judge(name: &str, config: JudgeConfig) -> Option<Box<dyn Judge>> {
    inventory::iter::<Plugin<BuildJudge>>()
        .find(|plugin| plugin.name == name)
        .map(|plugin| (plugin.build)()(config))
}
