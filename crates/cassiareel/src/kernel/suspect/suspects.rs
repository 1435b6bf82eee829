use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::Duration,
};

use super::{
    super::ticket::ShortDigest, clusters::clusters, parts::HeldParts, stored_time,
    survivals::Survivals, AttemptKey, Loss, PartKey, ProcessKey, ReportedLoss, Time, Verdict,
    EXTRA_CRASHES, GROUP_CRASH_TIME, LOSS_RETENTION, MIN_GROUP_CRASHES, MIN_UNEXPLAINED,
    PART_LOSS_RETENTION,
};

/// Crashes that follow each other within this time may have one cause.
const COMMON_CAUSE_TIME: Duration = Duration::from_millis(1000);

/// The maximum number of losses that are kept; the oldest are dropped first.
const MAX_LOSSES: usize = 512;

/// The weight of a crash of a run that had just begun.
const EARLY_WEIGHT: u32 = 2;

/// The weight of a crash of a run that had been going on for a while.
const LATE_WEIGHT: u32 = 1;

/// The losses and survived runs of requests.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cassiareel::kernel::suspect::{Loss, Suspects, Verdict};
///
/// let mut suspects = Suspects::default();
/// let now = Duration::from_secs(9);
/// let loss = Loss { content: [7; 16], attempt: 1, process: 1, at: now, early: true, parts: [].into() };
/// suspects.record_loss(loss.clone());
/// assert_eq!(suspects.verdict(&[7; 16], 2, now), Verdict::Allowed);
/// suspects.record_loss(Loss { process: 2, ..loss });
/// assert!(matches!(suspects.verdict(&[7; 16], 2, now), Verdict::Held { crashes: 2, .. }));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    /// Losses of runs that had just begun, in the order in which this node learned of them.
    early_losses: VecDeque<Loss>,
    /// Losses of runs that had been going on for a while. They are weak evidence on their own and
    /// are not reported to other nodes.
    late_losses: VecDeque<Loss>,
    /// Number of early losses that were dropped from the front of the list.
    dropped_early: u64,
    /// Number of losses of each request.
    counts: HashMap<ShortDigest, usize>,
    survived: Survivals<ShortDigest>,
    survived_parts: Survivals<PartKey>,
    last_survival: Option<Time>,
    held_parts: HeldParts,
}

/// What a report of a loss changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Change {
    New,
    FewerParts,
    Known,
}

impl Suspects {
    /// Records the crash of a process that ran a request, and reports whether the loss is new.
    pub fn record_loss(&mut self, loss: Loss) -> bool {
        let now = stored_time(loss.at);
        let loss = loss.stored(|part| !self.survived_parts.clears(part, now));
        let is_new = self.insert(loss) == Change::New;
        self.update_held_parts(now);
        is_new
    }

    fn insert(&mut self, loss: Loss) -> Change {
        let is_same = |known: &Loss| known.content == loss.content && known.process == loss.process;
        if self.late_losses.iter().any(is_same) {
            return Change::Known;
        }
        if let Some(at) = self.early_losses.iter().position(is_same) {
            return self.keep_parts(at, |part| loss.parts.contains(part));
        }
        *self.counts.entry(loss.content).or_default() += 1;
        let list = if loss.early {
            &mut self.early_losses
        } else {
            &mut self.late_losses
        };
        let early = loss.early;
        list.push_back(loss);
        if list.len() > MAX_LOSSES {
            let dropped = list.pop_front();
            self.dropped_early += u64::from(early);
            dropped.iter().for_each(|loss| self.forget(&loss.content));
        }
        Change::New
    }

    /// Adjusts the number of losses of a request, of which one is dropped.
    fn forget(&mut self, content: &ShortDigest) {
        if let Some(count) = self.counts.get_mut(content) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(content);
            }
        }
    }

    /// Removes the parts of a loss for which `is_kept` does not hold. A loss that changes becomes
    /// the newest one, so that it is reported again.
    fn keep_parts<F>(&mut self, at: usize, is_kept: F) -> Change
    where
        F: Fn(&PartKey) -> bool,
    {
        if self.early_losses[at].parts.iter().all(&is_kept) {
            return Change::Known;
        }
        let Some(mut loss) = self.early_losses.remove(at) else {
            return Change::Known;
        };
        loss.parts = loss.parts.iter().copied().filter(is_kept).collect();
        self.early_losses.push_back(loss);
        self.dropped_early += 1;
        Change::FewerParts
    }

    fn update_held_parts(&mut self, now: Time) {
        let (early, late) = (&self.early_losses, &self.late_losses);
        self.held_parts.update(early, late, self.last_survival, now);
    }

    /// Records that a server ran and served a request without a crash. A failed request must not be
    /// recorded, since it may not have started to run.
    pub fn record_survival(&mut self, content: ShortDigest, now: Time) {
        let now = stored_time(now);
        self.survived.record(content, now);
        self.last_survival = Some(now);
    }

    /// Records that a run wrote its answer past its start, which shows that none of these parts of
    /// its prompt crashes servers. Reports whether recorded losses changed, so that other nodes
    /// should be notified.
    pub fn record_part_survival(&mut self, parts: &[PartKey], now: Time) -> bool {
        let now = stored_time(now);
        self.last_survival = Some(now);
        for part in parts {
            self.survived_parts.record(*part, now);
        }
        if !self.held_parts.are_named(parts) {
            return false;
        }
        let mut at = 0;
        for _ in 0..self.early_losses.len() {
            if self.keep_parts(at, |part| !parts.contains(part)) == Change::Known {
                at += 1;
            }
        }
        self.update_held_parts(now);
        true
    }

    /// Records that a request with these parts is sent. If one of them was held, the request tries
    /// it, and this node holds others with that part until the outcome is known.
    pub fn record_part_send(&mut self, parts: &[PartKey], now: Time) {
        self.held_parts.record_send(parts, stored_time(now));
    }

    /// Decides whether a request with these parts of its prompt may be sent.
    ///
    /// A part is held for a time after its last crash. Then it is tried again: first by one node of
    /// the fleet alone, for which `is_probing_node` is true, and later by all nodes.
    pub fn part_verdict(&self, parts: &[PartKey], is_probing_node: bool, now: Time) -> Verdict {
        let now = stored_time(now);
        self.held_parts
            .verdict(parts, is_probing_node, self.last_survival, now)
    }

    /// Reports whether any crash is recorded for a request.
    pub fn is_suspect(&self, content: &ShortDigest) -> bool {
        self.counts.contains_key(content)
    }

    /// Returns the number of crashes that count against a request.
    pub fn crash_count(&self, content: &ShortDigest, now: Time) -> usize {
        self.counted_losses(content, stored_time(now)).len()
    }

    /// Decides whether a request may be sent. It is held back once `bound` servers have crashed
    /// while running it.
    pub fn verdict(&self, content: &ShortDigest, bound: u32, now: Time) -> Verdict {
        let now = stored_time(now);
        let losses = self.counted_losses(content, now);
        let (Some(first), Some(last)) = (losses.first(), losses.last()) else {
            return Verdict::Allowed;
        };
        let others = self.other_crash_times(content, &losses, bound);
        let span = first.at.saturating_sub(COMMON_CAUSE_TIME)..=last.at + COMMON_CAUSE_TIME;
        let around = others.iter().filter(|at| span.contains(*at));
        let moments: HashSet<u128> = around
            .map(|at| at.as_millis() / GROUP_CRASH_TIME.as_millis())
            .collect();
        let (bound, late_weight) = if moments.len() >= losses.len() {
            (bound + EXTRA_CRASHES, 0)
        } else {
            (bound, LATE_WEIGHT)
        };
        let weigh = |cluster| weigh(cluster, &others, late_weight);
        let weight: u32 = clusters(&losses, COMMON_CAUSE_TIME).map(weigh).sum();
        if weight < bound * EARLY_WEIGHT {
            return Verdict::Allowed;
        }
        let newest = losses.len().saturating_sub(bound.max(1) as usize);
        Verdict::Held {
            crashes: losses.len() as u32,
            remaining: (losses[newest].at + LOSS_RETENTION).saturating_sub(now),
        }
    }

    /// Returns the early losses after the first `known` ones that this node learned of, for another
    /// node, and the value of [`Suspects::known_losses`].
    pub fn losses_since(&self, known: u64, now: Time) -> (Vec<ReportedLoss>, u64) {
        let skip = known.saturating_sub(self.dropped_early) as usize;
        let reports = self.early_losses.iter().skip(skip);
        let reports = reports.map(|loss| loss.report(stored_time(now)));
        let reports = reports.filter(is_reported).collect();
        (reports, self.known_losses())
    }

    /// Returns the early losses that are at most `age` old, for a node that has already received
    /// the older ones.
    pub fn recent_losses(&self, age: Duration, now: Time) -> Vec<ReportedLoss> {
        let reports = self
            .early_losses
            .iter()
            .map(|loss| loss.report(stored_time(now)));
        reports
            .filter(|loss| loss.age <= age && is_reported(loss))
            .collect()
    }

    /// Returns the number of early losses that this node has learned of, including those dropped
    /// since.
    pub fn known_losses(&self) -> u64 {
        self.dropped_early + self.early_losses.len() as u64
    }

    /// Merges the losses reported by another node. Returns the new ones and those that now have
    /// fewer parts, which other nodes should learn of.
    pub fn merge(&mut self, reports: &[ReportedLoss], now: Time) -> Vec<Loss> {
        let now = stored_time(now);
        let mut changed = Vec::new();
        for report in reports {
            let cleared = &self.survived_parts;
            let at = now.saturating_sub(report.age);
            let loss = report.received(|part| !cleared.clears(part, at), now);
            if self.insert(loss.clone()) != Change::Known {
                changed.push(loss);
            }
        }
        if !changed.is_empty() {
            self.update_held_parts(now);
        }
        changed
    }

    /// Iterates over all recorded losses.
    fn all_losses(&self) -> impl Iterator<Item = &Loss> {
        self.early_losses.iter().chain(&self.late_losses)
    }

    /// Returns the losses that count against a request, the oldest first.
    fn counted_losses(&self, content: &ShortDigest, now: Time) -> Vec<Loss> {
        if !self.is_suspect(content) {
            return Vec::new();
        }
        let counts = |loss: &&Loss| {
            loss.content == *content
                && now.saturating_sub(loss.at) < LOSS_RETENTION
                && !self.is_survived(loss)
        };
        let mut losses: Vec<Loss> = self.all_losses().filter(counts).cloned().collect();
        let crashes = losses.len();
        let by_part = |loss: &Loss| self.held_parts.explains(loss.process, crashes);
        let own = losses.iter().filter(|loss| !by_part(loss)).count();
        losses.retain(|loss| {
            (own >= MIN_UNEXPLAINED || !by_part(loss)) && !self.has_likelier_cause(loss, crashes)
        });
        losses.sort_by_key(|loss| loss.at);
        losses
    }

    /// Returns the times at which other processes crashed than those that ran the request, without
    /// the crashes that another request explains.
    fn other_crash_times(&self, content: &ShortDigest, losses: &[Loss], bound: u32) -> Vec<Time> {
        let mut explained: HashSet<ProcessKey> = losses.iter().map(|loss| loss.process).collect();
        for other in self.repeated_losses(content, bound) {
            explained.extend(other.iter().map(|loss| loss.process));
        }
        let others = self
            .all_losses()
            .filter(|loss| !explained.contains(&loss.process))
            .filter(|loss| !self.held_parts.explains(loss.process, 1));
        let crash_times: HashMap<ProcessKey, Time> =
            others.map(|loss| (loss.process, loss.at)).collect();
        crash_times.into_values().collect()
    }

    /// Returns the losses of each other request under which at least `bound` servers crashed one
    /// after another, or [`EXTRA_CRASHES`] more at any times. Fewer servers that crash together may
    /// have another cause.
    fn repeated_losses(&self, content: &ShortDigest, bound: u32) -> Vec<Vec<Loss>> {
        let mut by_content: HashMap<ShortDigest, Vec<Loss>> = HashMap::new();
        let others = self.early_losses.iter();
        for loss in others.filter(|loss| loss.content != *content && !self.is_survived(loss)) {
            by_content
                .entry(loss.content)
                .or_default()
                .push(loss.clone());
        }
        let mut all: Vec<Vec<Loss>> = by_content.into_values().collect();
        for losses in &mut all {
            losses.sort_by_key(|loss| loss.at);
        }
        let moments = |losses: &[Loss]| clusters(losses, GROUP_CRASH_TIME).count();
        all.retain(|losses| {
            losses.len() >= (bound + EXTRA_CRASHES) as usize || moments(losses) >= bound as usize
        });
        all
    }

    /// Reports whether servers survived the request of a loss, so that the loss does not count.
    fn is_survived(&self, loss: &Loss) -> bool {
        self.survived.clears(&loss.content, loss.at)
    }

    /// Reports whether another request with more than `crashes` losses ran in the process of a
    /// loss.
    fn has_likelier_cause(&self, loss: &Loss, crashes: usize) -> bool {
        let is_beside =
            |other: &&Loss| other.process == loss.process && other.content != loss.content;
        let mut beside = self.all_losses().filter(is_beside);
        beside.any(|other| self.loss_count(&other.content) > crashes)
    }

    /// Returns the number of recorded losses of a request.
    fn loss_count(&self, content: &ShortDigest) -> usize {
        self.counts.get(content).copied().unwrap_or(0)
    }
}

/// Reports whether a loss is recent enough to be reported to other nodes. A loss that has no parts left
/// must reach the nodes that still know of them.
fn is_reported(loss: &ReportedLoss) -> bool {
    loss.age < PART_LOSS_RETENTION
}

/// Returns the weight of a cluster of losses. `others` holds the crash times of other processes,
/// and `late_weight` is the weight of a crash of a run that had been going on for a while.
fn weigh(cluster: &[Loss], others: &[Time], late_weight: u32) -> u32 {
    let (Some(first), Some(last)) = (cluster.first(), cluster.last()) else {
        return 0;
    };
    let mut attempts: HashMap<AttemptKey, u32> = HashMap::new();
    for loss in cluster {
        let weight = if loss.early {
            EARLY_WEIGHT
        } else {
            late_weight
        };
        *attempts.entry(loss.attempt).or_default() += weight;
    }
    let around = first.at.saturating_sub(GROUP_CRASH_TIME)..=last.at + GROUP_CRASH_TIME;
    let beside = others.iter().filter(|at| around.contains(*at)).count();
    if beside >= MIN_GROUP_CRASHES {
        return attempts.values().max().copied().unwrap_or(0) / 2;
    }
    attempts.values().sum()
}
