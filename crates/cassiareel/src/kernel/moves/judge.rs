//! The trait of judges and its registry.

use std::{collections::BTreeMap, time::Duration};

use super::{Cell, Key, Tally};
use crate::{kernel::Time, plugin::Plugin};

/// The new version and the one beside it, on one cell and in sum since the move began.
#[derive(Clone, Debug)]
pub struct Comparison {
    /// The cell.
    pub cell: Cell,
    /// Tallies of the new version, by backend server.
    pub new: Vec<(u16, Tally)>,
    /// The tally of the version beside it.
    pub old: Tally,
}

impl Comparison {
    /// Compares two versions on each cell of a sum of counts.
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

/// Why a version is bad.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Evidence {
    /// What was judged: an account, a route, a cell or all traffic.
    pub scope: String,
    /// The kind of fault.
    pub fault: String,
    /// Requests of the new version there.
    pub requests: u32,
    /// Faults of that kind among them.
    pub faults: u32,
    /// The share of faults on the version beside it.
    pub expected: f64,
}

/// How long a judge will be asked, for its rate of false alarms.
#[derive(Clone, Copy, Debug)]
pub struct JudgeConfig {
    /// From the move's start to its end.
    pub duration: Duration,
    /// Time between looks.
    pub interval: Duration,
    /// Cells in the move's scope.
    pub cells: usize,
}

/// Judges a new version against the one beside it.
pub trait Judge: Send {
    /// Looks at the sums; evidence once the new version is bad.
    fn judge(&mut self, now: Time, comparisons: &[Comparison]) -> Option<Evidence>;

    /// How near a cell is to a verdict, from 0 to 1.
    fn suspicion(&self, cell: &Cell) -> f64;
}

/// Builds a judge for a move.
pub type Build = Box<dyn Fn(JudgeConfig) -> Box<dyn Judge> + Send + Sync>;

inventory::collect!(Plugin<Build>);

/// Builds the judge of a name, if one registered it.
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
    inventory::iter::<Plugin<Build>>()
        .find(|plugin| plugin.name == name)
        .map(|plugin| (plugin.build)()(config))
}
