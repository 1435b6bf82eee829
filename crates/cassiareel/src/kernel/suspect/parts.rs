/*!
Decides which parts of prompts are held.

The causes of a crash are the parts and the contents of the requests that had just begun to run in
the process. A part is held if it was in enough crashed processes under different contents and no
other cause explains these crashes better:

- A content explains the crashes in which it ran if there are several, and if it carries the part or
  has at least as many crashes as the part.
- A later part of the same prompts explains the crashes that it shares with an earlier part, since
  crashes without it would show that the earlier part is the cause.
- A part of other prompts explains the crashes that it shares with a part if it has more of them.

A part that is left with some crashes of its own is held nevertheless, and then for all its crashes.
Crashes of groups of servers count less, and crashes of other servers around those of the part
require more, as for contents.
*/

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::Duration,
};

use super::{
    super::ticket::ShortDigest, Loss, PartKey, ProcessKey, Time, Verdict, EXTRA_CRASHES,
    GROUP_CRASH_TIME, MIN_GROUP_CRASHES, PART_LOSS_RETENTION,
};

/// Number of processes that must have crashed on a part before it is held.
const MIN_CRASHES: usize = 3;

/// Number of different contents among them. The crashes of a single one are explained by the content.
const MIN_CONTENTS: usize = 2;

/// Number of crashes that other causes must leave unexplained if they explain some.
const MIN_UNEXPLAINED: usize = 2;

/// Number of crashes of a part from which it is held although another part was in the same
/// processes.
const MIN_TIED_CRASHES: usize = 5;

/// How long a part is held after its last crash.
const HOLD_TIME: Duration = Duration::from_secs(600);

/// How long after that only one node tries the part.
const PROBING_TIME: Duration = Duration::from_secs(60);

/// How long a node waits for the outcome of a trial before it sends another one.
const TRIAL_TIME: Duration = Duration::from_secs(10);

/// How long a part is held before the first trial if no server has survived anything since.
const UNCERTAIN_HOLD_TIME: Duration = Duration::from_secs(5);

/// A part that is held.
#[derive(Clone, Debug)]
struct HeldPart {
    crashes: u32,
    first_crash: Time,
    last_crash: Time,
    /// When this node last sent a request to try the part.
    tried: Option<Time>,
}

/// The parts that are held, as of the last change of the losses.
#[derive(Clone, Debug, Default)]
pub(super) struct HeldParts {
    held: HashMap<PartKey, HeldPart>,
    /// The processes whose crash a held part explains, each with the most crashes of such a part.
    explained: HashMap<ProcessKey, u32>,
}

impl HeldParts {
    /// Decides anew after the losses have changed.
    pub(super) fn update(&mut self, early: &[&Loss], late: &[&Loss], now: Time) {
        let causes = Causes::new(early, late, now);
        let mut held = HashMap::new();
        let mut explained: HashMap<ProcessKey, u32> = HashMap::new();
        for (key, part) in &causes.parts {
            if !causes.is_held(*key, part) {
                continue;
            }
            let crashes = part.crashes.len() as u32;
            for process in part.crashes.keys() {
                let most = explained.entry(*process).or_default();
                *most = crashes.max(*most);
            }
            let tried = self.held.get(key).and_then(|before| before.tried);
            held.insert(*key, part.hold(tried));
        }
        *self = HeldParts { held, explained };
    }

    /// Decides whether a request with these parts may be sent. `last_survival` is the time of the
    /// last run that a server survived, as far as this node knows.
    pub(super) fn verdict(
        &self,
        parts: &[PartKey],
        is_probing_node: bool,
        last_survival: Option<Time>,
        now: Time,
    ) -> Verdict {
        if self.held.is_empty() {
            return Verdict::Allowed;
        }
        let held = parts.iter().filter_map(|part| self.held.get(part));
        let waits = held.filter_map(|part| {
            let is_uncertain = last_survival.is_none_or(|at| at < part.first_crash);
            let remaining = part.remaining(is_probing_node, is_uncertain, now);
            remaining.map(|remaining| (remaining, part.crashes))
        });
        match waits.max() {
            Some((remaining, crashes)) => Verdict::Held { crashes, remaining },
            None => Verdict::Allowed,
        }
    }

    /// Records that a request with these parts is sent, which tries those that were held.
    pub(super) fn record_send(&mut self, parts: &[PartKey], now: Time) {
        for part in parts {
            if let Some(held) = self.held.get_mut(part) {
                held.tried = Some(now);
            }
        }
    }

    /// Reports whether a held part with at least `crashes` crashes was in a process that crashed.
    pub(super) fn explains(&self, process: ProcessKey, crashes: usize) -> bool {
        let most = self.explained.get(&process);
        most.is_some_and(|most| *most as usize >= crashes)
    }
}

impl HeldPart {
    /// Returns how long the part is still held, or `None` if it may be sent.
    fn remaining(&self, is_probing_node: bool, is_uncertain: bool, now: Time) -> Option<Duration> {
        let trial_end = self.tried.map_or(Time::ZERO, |tried| tried + TRIAL_TIME);
        let (hold_time, may_try) = match is_probing_node {
            true if is_uncertain => (HOLD_TIME, UNCERTAIN_HOLD_TIME),
            true => (HOLD_TIME, HOLD_TIME),
            false => (HOLD_TIME + PROBING_TIME, HOLD_TIME + PROBING_TIME),
        };
        let first_trial = self.last_crash + may_try;
        let ends_at = self.last_crash + PART_LOSS_RETENTION;
        if now >= ends_at || now >= first_trial.max(trial_end) {
            return None;
        }
        let end = (self.last_crash + hold_time).max(trial_end);
        Some(end.saturating_sub(now))
    }
}

/// The crashes in which one part was.
#[derive(Debug, Default)]
struct PartCrashes {
    crashes: BTreeMap<ProcessKey, Time>,
    contents: HashSet<ShortDigest>,
    /// Parts that come after it in some prompt.
    later: HashSet<PartKey>,
}

impl PartCrashes {
    fn is_candidate(&self) -> bool {
        self.crashes.len() >= MIN_CRASHES && self.contents.len() >= MIN_CONTENTS
    }

    fn hold(&self, tried: Option<Time>) -> HeldPart {
        let times = || self.crashes.values().copied();
        HeldPart {
            crashes: self.crashes.len() as u32,
            first_crash: times().min().unwrap_or_default(),
            last_crash: times().max().unwrap_or_default(),
            tried,
        }
    }
}

/// The possible causes of crashes.
struct Causes {
    parts: HashMap<PartKey, PartCrashes>,
    /// The contents with several crashes: the processes, and the parts.
    contents: Vec<(HashSet<ProcessKey>, HashSet<PartKey>)>,
    /// All crashes, those of runs that had been going on included.
    all: HashMap<ProcessKey, Time>,
}

impl Causes {
    fn new(early: &[&Loss], late: &[&Loss], now: Time) -> Causes {
        let counts = |loss: &&&Loss| now.saturating_sub(loss.at) < PART_LOSS_RETENTION;
        let mut parts: HashMap<PartKey, PartCrashes> = HashMap::new();
        let mut contents: HashMap<ShortDigest, (HashSet<ProcessKey>, HashSet<PartKey>)> =
            HashMap::new();
        for loss in early.iter().filter(counts) {
            let (processes, carried) = contents.entry(loss.content).or_default();
            processes.insert(loss.process);
            carried.extend(&*loss.parts);
            for (i, part) in loss.parts.iter().enumerate() {
                let part = parts.entry(*part).or_default();
                let at = part.crashes.entry(loss.process).or_insert(loss.at);
                *at = loss.at.min(*at);
                part.contents.insert(loss.content);
                part.later.extend(&loss.parts[i + 1..]);
            }
        }
        parts.retain(|_, part| part.is_candidate());
        contents.retain(|_, (processes, _)| processes.len() >= MIN_CRASHES);
        let all = early.iter().chain(late).filter(counts);
        Causes {
            parts,
            contents: contents.into_values().collect(),
            all: all.map(|loss| (loss.process, loss.at)).collect(),
        }
    }

    fn is_held(&self, key: PartKey, part: &PartCrashes) -> bool {
        let unexplained = part.crashes.keys();
        let unexplained = unexplained.filter(|process| !self.explains(key, part, **process));
        let unexplained = unexplained.count();
        let is_enough = unexplained == part.crashes.len() || unexplained >= MIN_UNEXPLAINED;
        is_enough && !self.is_tied(key, part) && self.is_beyond_storms(key, part)
    }

    /// Reports whether another cause explains a crash of a part better.
    fn explains(&self, key: PartKey, part: &PartCrashes, process: ProcessKey) -> bool {
        let by_content = self.contents.iter().any(|(processes, carried)| {
            processes.contains(&process)
                && (carried.contains(&key) || processes.len() >= part.crashes.len())
        });
        let is_better = |other_key: &PartKey, other: &PartCrashes| {
            let is_later = part.later.contains(other_key);
            let is_earlier = other.later.contains(&key);
            is_later || (!is_earlier && other.crashes.len() > part.crashes.len())
        };
        by_content
            || self.parts.iter().any(|(other_key, other)| {
                other.crashes.contains_key(&process) && is_better(other_key, other)
            })
    }

    /// Reports whether a part of other prompts was in the same processes, too few to tell which of
    /// the two is the cause.
    fn is_tied(&self, key: PartKey, part: &PartCrashes) -> bool {
        let is_tied = |(other_key, other): (&PartKey, &PartCrashes)| {
            let is_ordered = part.later.contains(other_key) || other.later.contains(&key);
            *other_key != key && !is_ordered && other.crashes.keys().eq(part.crashes.keys())
        };
        part.crashes.len() < MIN_TIED_CRASHES && self.parts.iter().any(is_tied)
    }

    /// Reports whether the crashes are more than those that occur by chance when servers crash
    /// together or for other reasons.
    fn is_beyond_storms(&self, key: PartKey, part: &PartCrashes) -> bool {
        let others = self.other_crash_times(key, part);
        let mut times: Vec<Time> = part.crashes.values().copied().collect();
        times.sort();
        let (Some(first), Some(last)) = (times.first(), times.last()) else {
            return false;
        };
        let span = first.saturating_sub(GROUP_CRASH_TIME)..=*last + GROUP_CRASH_TIME;
        let around = others.iter().filter(|at| span.contains(*at));
        let moments: HashSet<u128> = around
            .map(|at| at.as_millis() / GROUP_CRASH_TIME.as_millis())
            .collect();
        let extra = if moments.len() >= times.len() {
            EXTRA_CRASHES as usize
        } else {
            0
        };
        let weight: usize = groups(&times).map(|group| weigh(group, &others)).sum();
        weight >= 2 * (MIN_CRASHES + extra)
    }

    /// Returns the times at which processes crashed in which a part was not, without the crashes
    /// that another cause explains.
    fn other_crash_times(&self, key: PartKey, part: &PartCrashes) -> Vec<Time> {
        let mut explained: HashSet<ProcessKey> = part.crashes.keys().copied().collect();
        for (other_key, other) in &self.parts {
            if *other_key != key && is_repeated(other.crashes.values().copied().collect()) {
                explained.extend(other.crashes.keys());
            }
        }
        for (processes, _) in &self.contents {
            let times = processes.iter().filter_map(|process| self.all.get(process));
            if is_repeated(times.copied().collect()) {
                explained.extend(processes);
            }
        }
        let others = self.all.iter();
        let others = others.filter(|(process, _)| !explained.contains(process));
        others.map(|(_, at)| *at).collect()
    }
}

/// Reports whether servers crashed one after another often enough to name a cause, or many at any
/// times.
fn is_repeated(mut times: Vec<Time>) -> bool {
    times.sort();
    times.len() >= MIN_TIED_CRASHES || groups(&times).count() >= MIN_CRASHES
}

/// Returns the weight of crashes within [`GROUP_CRASH_TIME`] of each other, two for a crash that has
/// no common cause with others.
fn weigh(group: &[Time], others: &[Time]) -> usize {
    let (Some(first), Some(last)) = (group.first(), group.last()) else {
        return 0;
    };
    let around = first.saturating_sub(GROUP_CRASH_TIME)..=*last + GROUP_CRASH_TIME;
    let beside = others.iter().filter(|at| around.contains(*at)).count();
    if beside >= MIN_GROUP_CRASHES {
        return 1;
    }
    if group.len() > MIN_GROUP_CRASHES {
        return 2;
    }
    2 * group.len()
}

/// Splits sorted times into groups that may have one cause.
fn groups(times: &[Time]) -> impl Iterator<Item = &[Time]> {
    let mut rest = times;
    std::iter::from_fn(move || {
        let first = rest.first()?;
        let count = rest.partition_point(|at| at.saturating_sub(*first) < GROUP_CRASH_TIME);
        let (group, after) = rest.split_at(count);
        rest = after;
        Some(group)
    })
}
