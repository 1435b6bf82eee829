/*!
Requests under which backend servers end.

A request is known by a digest of its content beneath its caller, so that it is the same under a new
name. When the process of a backend server ends, every request that it had just begun to run is a suspect,
as nothing tells which of them did it. The one that is a suspect again and again, on servers that ended
apart, is held back.

What speaks for a request counts more than what speaks against it, since backend servers fail for many
reasons and take sound requests with them:

- A request that a server served, before or after, is not held for a while.
- An end does not count where another request that ran there has more ends against it.
- Ends beside those of a group of servers that did not run the request count half, and only those of one
  attempt.
- A run that had gone on for a while before the end counts half.
- Where others end around a request as often as those that ran it, more ends are asked for, and only those
  of runs that had hardly begun count.

Losses are facts that nodes tell each other in any order. They carry their age, since clocks differ.
*/

use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, Bytes, DurationMilliSeconds};

use super::{ticket::ShortDigest, Time};

/// Time after which a loss is not held against a request any more.
const MEMORY: Duration = Duration::from_secs(600);

/// How long a run that a server survived speaks for its request.
const ALIBI: Duration = Duration::from_secs(60);

/// Ends within this time may have one cause.
const TOGETHER: Duration = Duration::from_millis(1000);

/// Processes that end together as a group do so within this time.
const GROUP: Duration = Duration::from_millis(300);

/// Other processes that end with one whose end they explain.
const MANY: usize = 2;

/// Losses that are kept, the newest ones.
const MOST_LOSSES: usize = 512;

/// Requests whose survival is remembered in each half of [`ALIBI`].
const MOST_SURVIVED: usize = 4096;

/// Ends that are asked for beyond the bound where servers end all around a request.
const MORE: u32 = 2;

/// What the end of a run that had hardly begun weighs.
const EARLY: u32 = 2;

/// What the end of a run that had gone on for a while weighs.
const LATE: u32 = 1;

/// Tells one attempt of a caller from another.
pub type AttemptKey = u64;

/// Tells one process of a backend server from another, the same on all nodes.
pub type ProcessKey = u64;

/// The end of a backend server's process under a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Loss {
    /// The request.
    pub content: ShortDigest,
    /// The attempt.
    pub attempt: AttemptKey,
    /// The process.
    pub process: ProcessKey,
    /// When it ended, on the clock of the node that saw it.
    pub at: Time,
    /// Whether the run had hardly begun.
    pub early: bool,
}

impl Loss {
    fn told(&self, now: Time) -> ReportedLoss {
        ReportedLoss {
            content: self.content,
            attempt: self.attempt,
            process: self.process,
            age: now.saturating_sub(self.at),
        }
    }
}

/// A loss as one node tells it to another.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReportedLoss {
    #[serde_as(as = "Bytes")]
    content: ShortDigest,
    attempt: AttemptKey,
    process: ProcessKey,
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    age: Duration,
}

/// What is done with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It may be sent.
    Allowed,
    /// It is not sent.
    Held {
        /// Ends that are held against it.
        crashes: u32,
        /// How long it is held if nothing more happens.
        remaining: Duration,
    },
}

/// What is held against requests, and what speaks for them.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cassiareel::kernel::suspect::{Loss, Suspects, Verdict};
///
/// let mut suspects = Suspects::default();
/// let now = Duration::from_secs(9);
/// let loss = Loss { content: [7; 16], attempt: 1, process: 1, at: now, early: true };
/// suspects.record_loss(loss);
/// assert_eq!(suspects.verdict(&[7; 16], 2, now), Verdict::Allowed);
/// suspects.record_loss(Loss { process: 2, ..loss });
/// assert!(matches!(suspects.verdict(&[7; 16], 2, now), Verdict::Held { crashes: 2, .. }));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    /// Ends of runs that had hardly begun, in the order in which this node came to know them.
    losses: VecDeque<Loss>,
    /// Ends of runs that had gone on for a while; they say little alone, and are not told.
    late: VecDeque<Loss>,
    /// Losses that were known before the first that is kept.
    dropped: u64,
    survived: Survived,
}

/// The requests that a server survived lately, in two halves of [`ALIBI`].
#[derive(Clone, Debug, Default)]
struct Survived {
    since: Time,
    newer: HashMap<ShortDigest, Time>,
    older: HashMap<ShortDigest, Time>,
}

impl Suspects {
    /// Notes the end of a process under a request; reports whether that was not known.
    pub fn record_loss(&mut self, loss: Loss) -> bool {
        self.keep(Loss {
            at: own(loss.at),
            ..loss
        })
    }

    fn keep(&mut self, loss: Loss) -> bool {
        let is_known = |held: &Loss| held.content == loss.content && held.process == loss.process;
        if self.all().any(is_known) {
            return false;
        }
        let kept = if loss.early {
            &mut self.losses
        } else {
            &mut self.late
        };
        kept.push_back(loss);
        if kept.len() > MOST_LOSSES {
            kept.pop_front();
            self.dropped += u64::from(loss.early);
        }
        true
    }

    /// Notes that a server survived a run of a request and served it. A failure shows nothing: it may not
    /// have begun to run.
    pub fn record_survival(&mut self, content: ShortDigest, now: Time) {
        self.survived.note(content, own(now));
    }

    /// Reports whether any end is held against a request.
    pub fn is_suspect(&self, content: &ShortDigest) -> bool {
        self.all().any(|loss| loss.content == *content)
    }

    /// How many ends count against a request.
    pub fn crash_count(&self, content: &ShortDigest, now: Time) -> usize {
        self.counted(content, own(now)).len()
    }

    /// Decides on a request that is held back once `bound` servers ended under it.
    pub fn verdict(&self, content: &ShortDigest, bound: u32, now: Time) -> Verdict {
        let now = own(now);
        let held = self.counted(content, now);
        let (Some(first), Some(last)) = (held.first(), held.last()) else {
            return Verdict::Allowed;
        };
        let others = self.others(&held);
        let span = first.at.saturating_sub(TOGETHER)..=last.at + TOGETHER;
        let around = others.iter().filter(|at| span.contains(*at));
        let moments: HashSet<u128> = around
            .map(|at| at.as_millis() / GROUP.as_millis())
            .collect();
        let (bound, late) = if moments.len() >= held.len() {
            (bound + MORE, 0)
        } else {
            (bound, LATE)
        };
        let weigh = |cluster| weigh(cluster, &others, late);
        let weight: u32 = clusters(&held).map(weigh).sum();
        if weight < bound * EARLY {
            return Verdict::Allowed;
        }
        let newest = held.len().saturating_sub(bound.max(1) as usize);
        Verdict::Held {
            crashes: held.len() as u32,
            remaining: (held[newest].at + MEMORY).saturating_sub(now),
        }
    }

    /// What this node came to know after its first `known` losses, for another node, and how many
    /// that makes in all.
    pub fn losses_since(&self, known: u64, now: Time) -> (Vec<ReportedLoss>, u64) {
        let skip = known.saturating_sub(self.dropped) as usize;
        let told = self.losses.iter().skip(skip);
        let told = told.map(|loss| loss.told(own(now)));
        let told = told.filter(|loss| loss.age < MEMORY).collect();
        (told, self.known_losses())
    }

    /// Losses of at most an age, for a node that was told the older ones.
    pub fn recent_losses(&self, age: Duration, now: Time) -> Vec<ReportedLoss> {
        let told = self.losses.iter().map(|loss| loss.told(own(now)));
        told.filter(|loss| loss.age <= age.min(MEMORY)).collect()
    }

    /// How many losses this node came to know, those that it forgot included.
    pub fn known_losses(&self) -> u64 {
        self.dropped + self.losses.len() as u64
    }

    /// Takes in what another node told; returns what was not known.
    pub fn merge(&mut self, told: &[ReportedLoss], now: Time) -> Vec<Loss> {
        let losses = told.iter().map(|told| Loss {
            content: told.content,
            attempt: told.attempt,
            process: told.process,
            at: own(now).saturating_sub(told.age),
            early: true,
        });
        losses.filter(|loss| self.keep(*loss)).collect()
    }

    /// All losses.
    fn all(&self) -> impl Iterator<Item = &Loss> {
        self.losses.iter().chain(&self.late)
    }

    /// The losses of a request that count, the oldest first.
    fn counted(&self, content: &ShortDigest, now: Time) -> Vec<Loss> {
        let alibi = self.survived.last(content);
        let counts = |loss: &&Loss| {
            loss.content == *content
                && now.saturating_sub(loss.at) < MEMORY
                && alibi.is_none_or(|alibi| alibi + ALIBI < loss.at)
        };
        let mut held: Vec<Loss> = self.all().filter(counts).copied().collect();
        let ends = held.len();
        held.retain(|loss| !self.has_likelier(loss, ends));
        held.sort_by_key(|loss| loss.at);
        held
    }

    /// When processes ended other than those that ended under a request.
    fn others(&self, held: &[Loss]) -> Vec<Time> {
        let own: HashSet<ProcessKey> = held.iter().map(|loss| loss.process).collect();
        let others = self.all().filter(|loss| !own.contains(&loss.process));
        let ends: HashMap<ProcessKey, Time> = others.map(|loss| (loss.process, loss.at)).collect();
        ends.into_values().collect()
    }

    /// Reports whether a request with more ends against it than `ends` ran at the process of a loss.
    fn has_likelier(&self, loss: &Loss, ends: usize) -> bool {
        let beside = |other: &&Loss| other.process == loss.process && other.content != loss.content;
        let mut beside = self.all().filter(beside);
        beside.any(|other| self.count(&other.content) > ends)
    }

    /// How many losses of a request are known.
    fn count(&self, content: &ShortDigest) -> usize {
        self.all().filter(|loss| loss.content == *content).count()
    }
}

impl Survived {
    fn note(&mut self, content: ShortDigest, now: Time) {
        if now.saturating_sub(self.since) > ALIBI / 2 {
            self.older = std::mem::take(&mut self.newer);
            self.since = now;
        }
        if self.newer.len() < MOST_SURVIVED {
            self.newer.insert(content, now);
        }
    }

    fn last(&self, content: &ShortDigest) -> Option<Time> {
        let newer = self.newer.get(content);
        newer.or_else(|| self.older.get(content)).copied()
    }
}

/// A time as it is kept here. A node whose clock has just begun hears of losses that came before that.
fn own(time: Time) -> Time {
    time + MEMORY
}

/// Losses that may have one cause, by the time at which they came.
fn clusters(held: &[Loss]) -> impl Iterator<Item = &[Loss]> {
    held.chunk_by(|before, after| after.at.saturating_sub(before.at) < TOGETHER)
}

/// What losses at one moment weigh; `others` tells when other processes ended, `late` what the end of a
/// run weighs that had gone on for a while.
fn weigh(cluster: &[Loss], others: &[Time], late: u32) -> u32 {
    let (Some(first), Some(last)) = (cluster.first(), cluster.last()) else {
        return 0;
    };
    let mut attempts: HashMap<AttemptKey, u32> = HashMap::new();
    for loss in cluster {
        let weight = if loss.early { EARLY } else { late };
        *attempts.entry(loss.attempt).or_default() += weight;
    }
    let around = first.at.saturating_sub(GROUP)..=last.at + GROUP;
    let beside = others.iter().filter(|at| around.contains(*at)).count();
    if beside >= MANY {
        return attempts.values().max().copied().unwrap_or(0) / 2;
    }
    attempts.values().sum()
}
