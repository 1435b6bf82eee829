/*!
Decides which parts of prompts are held.

The causes of a crash are the parts and the contents of the requests that had just begun to run in
the process. A part is held if it was in enough crashed processes under different contents and no
other cause explains these crashes better:

- A content explains the crashes in which it ran if there are several, and if it has the most crashes
  of those that carry the part, or at least as many crashes as the part.
- A later part of the same prompts explains the crashes that it shares with an earlier part, since
  crashes without it would show that the earlier part is the cause.
- A part of other prompts explains the crashes that it shares with a part if it has more crashes.
- Neither kind of part explains the crashes of a part that has many, while servers survived other
  runs.

A part that is left with some crashes of its own is held nevertheless, and then for all its crashes.
Crashes of groups of servers count less, and crashes of other servers around those of the part
require more, as for contents.
*/

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap, HashSet, VecDeque},
    time::Duration,
};

use super::{
    super::ticket::ShortDigest, Loss, PartKey, ProcessKey, Time, Verdict, EXTRA_CRASHES,
    GROUP_CRASH_TIME, MIN_GROUP_CRASHES, MIN_UNEXPLAINED, PART_LOSS_RETENTION,
};

/// Number of processes that must have crashed on a part before it is held.
const MIN_CRASHES: usize = 3;

/// Number of different contents among them. The crashes of a single one are explained by the content.
const MIN_CONTENTS: usize = 2;

/// Number of crashes of a part from which it is held although other parts were in the same processes.
const MIN_FREQUENT_CRASHES: usize = 5;

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
    /// All parts that the losses name.
    named: HashSet<PartKey>,
    /// The processes whose crash a held part explains, each with the most crashes of such a part.
    explained: HashMap<ProcessKey, u32>,
}

impl HeldParts {
    /// Decides anew after the losses have changed.
    pub(super) fn update(
        &mut self,
        early: &VecDeque<Loss>,
        late: &VecDeque<Loss>,
        last_survival: Option<Time>,
        now: Time,
    ) {
        self.named = early
            .iter()
            .flat_map(|loss| &*loss.parts)
            .copied()
            .collect();
        if self.named.is_empty() {
            self.held.clear();
            self.explained.clear();
            return;
        }
        let causes = Causes::new(early, late, last_survival, now);
        let mut held = HashMap::new();
        let mut explained: HashMap<ProcessKey, u32> = HashMap::new();
        for (key, part) in causes.held_parts() {
            let crashes = part.crashes.len() as u32;
            for process in part.crashes.keys() {
                let most = explained.entry(*process).or_default();
                *most = crashes.max(*most);
            }
            let tried = self.held.get(&key).and_then(|before| before.tried);
            held.insert(key, part.hold(tried));
        }
        (self.held, self.explained) = (held, explained);
    }

    /// Reports whether a recorded loss names one of these parts.
    pub(super) fn are_named(&self, parts: &[PartKey]) -> bool {
        parts.iter().any(|part| self.named.contains(part))
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
    /// The contents with several crashes.
    contents: Vec<ContentCrashes>,
    /// All crashes, those of runs that had been going on included.
    all: HashMap<ProcessKey, Time>,
    /// When a server last survived a run, as far as this node knows.
    last_survival: Option<Time>,
}

/// The crashes of one content.
#[derive(Debug, Default)]
struct ContentCrashes {
    processes: HashSet<ProcessKey>,
    parts: HashSet<PartKey>,
}

/// Where another part stands in the prompts that contain a part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Order {
    Same,
    Earlier,
    Later,
    /// In other prompts only.
    Beside,
}

fn order(key: PartKey, part: &PartCrashes, other_key: PartKey, other: &PartCrashes) -> Order {
    if key == other_key {
        Order::Same
    } else if part.later.contains(&other_key) {
        Order::Later
    } else if other.later.contains(&key) {
        Order::Earlier
    } else {
        Order::Beside
    }
}

impl Causes {
    fn new(
        early: &VecDeque<Loss>,
        late: &VecDeque<Loss>,
        last_survival: Option<Time>,
        now: Time,
    ) -> Causes {
        let counts = |loss: &&Loss| now.saturating_sub(loss.at) < PART_LOSS_RETENTION;
        let mut parts: HashMap<PartKey, PartCrashes> = HashMap::new();
        let mut contents: HashMap<ShortDigest, ContentCrashes> = HashMap::new();
        for loss in early.iter().filter(counts) {
            let content = contents.entry(loss.content).or_default();
            content.processes.insert(loss.process);
            content.parts.extend(&*loss.parts);
            for (i, part) in loss.parts.iter().enumerate() {
                let part = parts.entry(*part).or_default();
                let at = part.crashes.entry(loss.process).or_insert(loss.at);
                *at = loss.at.min(*at);
                part.contents.insert(loss.content);
                part.later.extend(&loss.parts[i + 1..]);
            }
        }
        parts.retain(|_, part| part.is_candidate());
        contents.retain(|_, content| content.processes.len() >= MIN_CRASHES);
        let all = early.iter().chain(late).filter(counts);
        Causes {
            parts,
            contents: contents.into_values().collect(),
            all: all.map(|loss| (loss.process, loss.at)).collect(),
            last_survival,
        }
    }

    /// Returns the parts that are held.
    fn held_parts(&self) -> Vec<(PartKey, &PartCrashes)> {
        let parts = self.parts.iter().map(|(key, part)| (*key, part));
        let likely: Vec<(PartKey, &PartCrashes)> = parts
            .filter(|(key, part)| self.is_likely(*key, part))
            .collect();
        // A later part without a crash of its own adds nothing to a likely earlier one.
        let adds = |(key, part): &(PartKey, &PartCrashes)| {
            !likely.iter().any(|(other_key, other)| {
                order(*key, part, *other_key, other) == Order::Earlier
                    && other.crashes.len() > part.crashes.len()
                    && part.crashes.keys().all(|at| other.crashes.contains_key(at))
            })
        };
        likely.iter().copied().filter(adds).collect()
    }

    fn is_likely(&self, key: PartKey, part: &PartCrashes) -> bool {
        let explaining = self.better_causes(key, part);
        let crashes = part.crashes.keys();
        let unexplained = crashes.filter(|process| !explaining.contains(process));
        let unexplained = unexplained.count();
        let is_enough = unexplained == part.crashes.len() || unexplained >= MIN_UNEXPLAINED;
        (is_enough || self.is_frequent(key, part))
            && !self.is_tied(key, part)
            && self.is_beyond_storms(key, part)
    }

    /// Returns the processes whose crash another cause explains better than a part does.
    fn better_causes(&self, key: PartKey, part: &PartCrashes) -> HashSet<ProcessKey> {
        let mut explained = HashSet::new();
        // A single part explains the crashes of several contents better than these do.
        let own = self
            .contents
            .iter()
            .filter(|content| content.parts.contains(&key));
        let own = own.max_by_key(|content| content.processes.len());
        let beside = self.contents.iter().filter(|content| {
            !content.parts.contains(&key) && content.processes.len() >= part.crashes.len()
        });
        for content in own.into_iter().chain(beside) {
            explained.extend(&content.processes);
        }
        let mut later = Vec::new();
        for (other_key, other) in &self.parts {
            match order(key, part, *other_key, other) {
                Order::Later => later.push(other),
                Order::Beside if other.crashes.len() > part.crashes.len() => {
                    explained.extend(other.crashes.keys());
                }
                Order::Beside | Order::Same | Order::Earlier => {}
            }
        }
        // Where servers survived other runs, several harmless later parts are an unlikely explanation:
        // a part that all prompts share would have been cleared by these runs.
        later.sort_by_key(|other| Reverse(other.crashes.len()));
        let count = if self.has_survivals_since(part) {
            1
        } else {
            later.len()
        };
        for other in later.into_iter().take(count) {
            explained.extend(other.crashes.keys());
        }
        explained
    }

    /// Reports whether a part was in so many crashes, while servers survived other runs, that other
    /// parts with about as many crashes are no better explanation.
    fn is_frequent(&self, key: PartKey, part: &PartCrashes) -> bool {
        if part.crashes.len() < MIN_FREQUENT_CRASHES || !self.has_survivals_since(part) {
            return false;
        }
        !self.parts.iter().any(|(other_key, other)| {
            order(key, part, *other_key, other) == Order::Beside
                && other.crashes.len() > 2 * part.crashes.len()
        })
    }

    /// Reports whether servers survived other runs since the first crash of a part.
    fn has_survivals_since(&self, part: &PartCrashes) -> bool {
        self.last_survival.as_ref() > part.crashes.values().min()
    }

    /// Reports whether a part of other prompts was in the same processes, too few to tell which of
    /// the two is the cause.
    fn is_tied(&self, key: PartKey, part: &PartCrashes) -> bool {
        let is_tied = |(other_key, other): (&PartKey, &PartCrashes)| {
            order(key, part, *other_key, other) == Order::Beside
                && other.crashes.keys().eq(part.crashes.keys())
        };
        part.crashes.len() < MIN_FREQUENT_CRASHES && self.parts.iter().any(is_tied)
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
        for content in &self.contents {
            let times = content
                .processes
                .iter()
                .filter_map(|process| self.all.get(process));
            if is_repeated(times.copied().collect()) {
                explained.extend(&content.processes);
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
    times.len() >= MIN_FREQUENT_CRASHES || groups(&times).count() >= MIN_CRASHES
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
        return group.len();
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
