/*!
The usage meter of a node: counts its own requests, and merges those of other nodes where this node is
a candidate for the duty.

A request costs one short lock and one entry of a list. All other work is done a few times a second by
the task that sends the counts.
*/

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    mem,
    ops::RangeInclusive,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use cassiareel::runtime::lock;

use crate::{
    clock::Moment,
    kernel::usage::{
        FleetCounts, History, NodeCounts, SenderKey, TrueClock, TrueTime, UsageMessage, UsageReply,
        WindowNumber, WindowRules,
    },
    model::{AccountId, DemandSample},
};

/// How long a node keeps and sends the counts of a window after its end. Candidates keep the sums of
/// all nodes for longer.
const NODE_RETENTION: Duration = Duration::from_secs(60);

/// How long a candidate keeps the counts of windows that no node has fixed.
pub(crate) const FLEET_RETENTION: Duration = Duration::from_secs(600);

/// How long requests are held back until other nodes have confirmed the time.
const MAX_HOLD: Duration = Duration::from_secs(2);

/// The number of other nodes whose times confirm the time: they outvote a node that is off.
const CONFIRMING_NODES: u32 = 2;

/// The number of requests that are held in the list. More are assigned to windows at once.
const MAX_HELD: usize = 1 << 16;

/// The interval at which demand is sent that changed, and at which it is sent in any case.
const DEMAND_INTERVAL: Duration = Duration::from_secs(1);
const DEMAND_REFRESH: Duration = Duration::from_secs(3);

/// The settings of the meter.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct MeterSettings {
    /// The lengths of windows.
    pub rules: WindowRules,
    /// Whether nodes send their demand.
    pub sends_demand: bool,
}

/// Counts requests by window and client account.
#[derive(Debug)]
pub(crate) struct UsageMeter {
    settings: MeterSettings,
    own: SenderKey,
    /// The requests that are not assigned to a window yet.
    events: Mutex<Vec<(Moment, AccountId)>>,
    state: Mutex<MeterState>,
}

#[derive(Debug, Default)]
struct MeterState {
    clock: TrueClock,
    counts: NodeCounts,
    links: HashMap<String, Link>,
    /// The highest sequence number that any candidate has acknowledged.
    settled: u64,
    fleet: FleetCounts,
    senders: HashMap<String, Sender>,
    /// The last window that is known to be fixed.
    fixed: Option<WindowNumber>,
    is_holder: bool,
    is_leaving: bool,
    /// The number of other nodes in the fleet; `None` until it is known.
    others: Option<u32>,
    /// The candidates that were asked for their counts since this node took over.
    asked: HashSet<String>,
}

/// What is known of a candidate.
#[derive(Clone, Debug, Default)]
struct Link {
    incarnation: u64,
    /// The sequence number that it acknowledged.
    sequence: u64,
    is_holder: bool,
    /// Whether it did not answer the last message.
    is_silent: bool,
    /// The demand that it was sent, and when.
    demand: Option<(Moment, Vec<DemandSample>)>,
}

/// What a candidate knows of a node that sent messages.
#[derive(Clone, Copy, Debug)]
struct Sender {
    received_at: Moment,
}

/// Counts that came after their window was fixed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct LateCounts {
    /// The window.
    pub window: WindowNumber,
    /// The requests that are missing in its report.
    pub requests: u64,
    /// The time since the sender's message before; `None` where there was none.
    pub silent: Option<Duration>,
    /// Why they came too late.
    pub cause: &'static str,
}

impl UsageMeter {
    /// Creates the meter of a node.
    pub(crate) fn new(settings: MeterSettings, name: &str, incarnation: u64) -> UsageMeter {
        UsageMeter {
            settings,
            own: SenderKey {
                name: name.to_owned(),
                incarnation,
            },
            events: Mutex::default(),
            state: Mutex::default(),
        }
    }

    /// Counts a request that began to run at a moment.
    pub(crate) fn count(&self, account: &AccountId, at: Moment) {
        let mut events = lock(&self.events);
        events.push((at, account.clone()));
        let is_full = events.len() >= MAX_HELD;
        drop(events);
        if is_full {
            self.assign(&mut self.lock(), None);
        }
    }

    /// Returns the lengths of windows.
    pub(crate) fn rules(&self) -> WindowRules {
        self.settings.rules
    }

    /// Reports whether nodes send their demand.
    pub(crate) fn sends_demand(&self) -> bool {
        self.settings.sends_demand
    }

    /// Records the node's time of day.
    pub(crate) fn observe(&self, now: Moment, time_of_day: TrueTime) {
        self.lock().clock.observe(now, time_of_day);
    }

    /// Assigns counted requests to windows, and forgets old windows. `others` is the number of other nodes
    /// in the fleet, where it is known.
    pub(crate) fn advance(&self, now: Moment, others: Option<u32>) {
        let mut state = self.lock();
        state.others = others;
        state.clock.forget_old(now);
        self.assign(&mut state, Some(now));
        let Some(time) = state.clock.time(now) else {
            return;
        };
        let rules = self.settings.rules;
        let first = |age: Duration| rules.window_at(time.saturating_sub(age));
        state.counts.forget_before(first(NODE_RETENTION));
        state.fleet.forget_before(first(FLEET_RETENTION));
        // Messages with the last counts of a window may still be under way.
        state.fleet.fold_before(first(NODE_RETENTION + rules.late));
        let is_recent = |age: Duration| age < FLEET_RETENTION;
        state
            .senders
            .retain(|_, sender| is_recent(now.saturating_sub(sender.received_at)));
    }

    /// Assigns counted requests to windows, unless they wait for the time to be confirmed; without
    /// `now` they don't wait.
    fn assign(&self, state: &mut MeterState, now: Option<Moment>) {
        let mut held = lock(&self.events);
        let is_due = |at: Moment| now.is_none_or(|now| now.saturating_sub(at) >= MAX_HOLD);
        let may_assign = state.is_confirmed() || held.first().is_some_and(|(at, _)| is_due(*at));
        if !may_assign || state.clock.own_time(Moment::ZERO).is_none() {
            return;
        }
        let events = mem::take(&mut *held);
        drop(held);
        for (at, account) in events {
            if let Some(time) = state.clock.time(at) {
                let window = self.settings.rules.window_at(time);
                state.counts.add(window, account);
            }
        }
    }

    /// Reports whether requests wait for the time to be confirmed.
    pub(crate) fn holds_requests(&self) -> bool {
        !lock(&self.events).is_empty()
    }

    /// Reports whether other nodes have confirmed the time.
    pub(crate) fn is_confirmed(&self) -> bool {
        self.lock().is_confirmed()
    }

    /// Returns the candidates to which counts are sent: the holder and one more, or all of them where
    /// the holder is not known or one of these two did not answer.
    pub(crate) fn recipients(&self, candidates: &[String]) -> Vec<String> {
        let state = self.lock();
        let others = candidates.iter().filter(|name| **name != self.own.name);
        let others: Vec<&String> = others.collect();
        let link = |name: &String| state.links.get(name);
        let holder = others
            .iter()
            .position(|name| link(name).is_some_and(|link| link.is_holder));
        if holder.is_none() && !state.is_holder {
            return others.into_iter().cloned().collect();
        }
        let spare = (0..others.len()).find(|i| Some(*i) != holder);
        let chosen: Vec<&String> = holder.into_iter().chain(spare).map(|i| others[i]).collect();
        let is_silent = |name: &&String| link(name).is_some_and(|link| link.is_silent);
        if chosen.iter().any(is_silent) {
            return others.into_iter().cloned().collect();
        }
        chosen.into_iter().cloned().collect()
    }

    /// Returns the message for a candidate; `None` where nothing is new for it.
    pub(crate) fn message(
        &self,
        to: &str,
        demand: &[DemandSample],
        now: Moment,
    ) -> Option<UsageMessage> {
        let is_waiting = self.holds_requests();
        let mut state = self.lock();
        let asks_time = is_waiting && !state.is_confirmed() && to != self.own.name;
        let link = state.links.get(to).cloned().unwrap_or_default();
        let (settled, fixed) = (state.settled, state.fixed);
        // Counts of a fixed window that a candidate has are not sent to others.
        let is_wanted = |window: WindowNumber, sequence: u64| {
            fixed.is_none_or(|fixed| window > fixed) || sequence > settled
        };
        let (windows, sequence) = state.counts.since(link.sequence, is_wanted);
        let new_demand = (self.settings.sends_demand && link.is_demand_due(demand, now))
            .then(|| demand.to_vec());
        if windows.is_empty() && new_demand.is_none() && !asks_time {
            return None;
        }
        if let Some(demand) = &new_demand {
            let link = state.links.entry(to.to_owned()).or_default();
            link.demand = Some((now, demand.clone()));
        }
        Some(UsageMessage {
            sender: self.own.name.clone(),
            incarnation: self.own.incarnation,
            sequence,
            time: state.clock.own_time(now),
            windows,
            fixed: state.fixed,
            demand: new_demand,
        })
    }

    /// Records a candidate's reply to a message that was sent at `sent_at`.
    pub(crate) fn record_reply(&self, from: &str, reply: UsageReply, sent_at: Moment, now: Moment) {
        let mut state = self.lock();
        state.settled = state.settled.max(reply.sequence);
        let link = state.links.entry(from.to_owned()).or_default();
        if link.incarnation != reply.incarnation {
            // A process that has just started knows only what this message held.
            let is_new = link.incarnation != 0;
            *link = Link {
                incarnation: reply.incarnation,
                demand: link.demand.take().filter(|_| !is_new),
                sequence: if is_new { 0 } else { reply.sequence },
                ..Link::default()
            };
        } else {
            link.sequence = link.sequence.max(reply.sequence);
        }
        link.is_holder = reply.is_holder;
        link.is_silent = false;
        if reply.is_holder {
            // There is one holder: what was known of others is outdated.
            let others = state.links.iter_mut().filter(|(name, _)| *name != from);
            others.for_each(|(_, link)| link.is_holder = false);
        }
        if let Some(time) = reply.time.filter(|_| from != self.own.name) {
            let clock = &mut state.clock;
            clock.record_median(from, time, reply.voters, sent_at, now);
        }
        self.note_fixed(&mut state, reply.fixed, now);
    }

    /// Records that a candidate did not answer; reports whether it had answered before.
    pub(crate) fn record_silence(&self, from: &str) -> bool {
        let mut state = self.lock();
        let link = state.links.entry(from.to_owned()).or_default();
        link.is_holder = false;
        link.demand = None;
        !mem::replace(&mut link.is_silent, true)
    }

    /// Merges a message; returns the reply, and the counts that came too late.
    pub(crate) fn receive(
        &self,
        message: &UsageMessage,
        now: Moment,
    ) -> (UsageReply, Vec<LateCounts>) {
        let mut state = self.lock();
        let key = SenderKey {
            name: message.sender.clone(),
            incarnation: message.incarnation,
        };
        if let Some(time) = message.time.filter(|_| key != self.own) {
            state.clock.record_node(&key.name, time, now);
        }
        let last = state
            .senders
            .get(&key.name)
            .map(|sender| sender.received_at);
        let silent = last.map(|last| now.saturating_sub(last));
        let accepted = self.accepted_windows(&state, now);
        let changes = state.fleet.merge(&key, &message.windows, &accepted);
        let fixed = state.fixed;
        self.note_fixed(&mut state, message.fixed, now);
        state.senders.insert(key.name, Sender { received_at: now });
        let late = changes.into_iter();
        let late = late.filter(|(window, _)| fixed.is_some_and(|fixed| *window <= fixed));
        let late = late.map(|(window, requests)| LateCounts {
            window,
            requests,
            silent,
            cause: self.late_cause(silent),
        });
        let late = late.collect();
        (self.reply(&state, message, now), late)
    }

    fn late_cause(&self, silent: Option<Duration>) -> &'static str {
        match silent {
            None => "new sender",
            Some(silent) if silent >= self.settings.rules.close_delay() => "silent sender",
            Some(_) => "counted late",
        }
    }

    /// Returns the windows of which counts are accepted; a sender whose clock is wrong can't fill the
    /// memory with others.
    fn accepted_windows(&self, state: &MeterState, now: Moment) -> RangeInclusive<WindowNumber> {
        let rules = self.settings.rules;
        let Some(time) = state.clock.time(now) else {
            return 0..=WindowNumber::MAX;
        };
        let first = rules.window_at(time.saturating_sub(FLEET_RETENTION));
        first..=rules.window_at(time + rules.late) + 1
    }

    fn reply(&self, state: &MeterState, message: &UsageMessage, now: Moment) -> UsageReply {
        let median = state.clock.median_time(&message.sender, now);
        UsageReply {
            incarnation: self.own.incarnation,
            sequence: message.sequence,
            time: median.map(|(time, _)| time),
            voters: median.map_or(0, |(_, voters)| voters),
            fixed: state.fixed,
            is_holder: state.is_holder,
        }
    }

    /// Records that another node knows windows to be fixed. One in the future is not believed.
    fn note_fixed(&self, state: &mut MeterState, fixed: Option<WindowNumber>, now: Moment) {
        let current = state
            .clock
            .time(now)
            .map(|time| self.settings.rules.window_at(time));
        let fixed = fixed.filter(|fixed| current.is_some_and(|current| *fixed <= current));
        state.fixed = state.fixed.max(fixed);
    }

    /// Records that this node knows windows to be fixed.
    pub(crate) fn set_fixed(&self, window: WindowNumber) {
        let mut state = self.lock();
        state.fixed = state.fixed.max(Some(window));
    }

    /// Returns the last window that is known to be fixed.
    pub(crate) fn fixed(&self) -> Option<WindowNumber> {
        self.lock().fixed
    }

    /// Records whether this node holds the duty. A node that takes over asks the other candidates for
    /// their counts: they have those of nodes that ended meanwhile.
    pub(crate) fn set_holder(&self, is_holder: bool) {
        let mut state = self.lock();
        if is_holder && !state.is_holder {
            state.asked.clear();
        }
        state.is_holder = is_holder;
    }

    /// Returns the candidates that the holder has still to ask for their counts.
    pub(crate) fn to_ask(&self, candidates: &[String]) -> Vec<String> {
        let state = self.lock();
        let is_new = |name: &&String| **name != self.own.name && !state.asked.contains(*name);
        let new = candidates
            .iter()
            .filter(|name| state.is_holder && is_new(name));
        new.cloned().collect()
    }

    /// Returns the counts that this node has from all nodes, of windows after one.
    pub(crate) fn history(&self, after: Option<WindowNumber>) -> History {
        let state = self.lock();
        state.fleet.history(state.fixed.max(after))
    }

    /// Records that this node is about to stop.
    pub(crate) fn begin_leaving(&self) {
        self.lock().is_leaving = true;
    }

    /// Reports whether this node is about to stop.
    pub(crate) fn is_leaving(&self) -> bool {
        self.lock().is_leaving
    }

    /// Merges what another candidate has.
    pub(crate) fn merge_history(&self, from: &str, history: &History, now: Moment) {
        let mut state = self.lock();
        let accepted = self.accepted_windows(&state, now);
        let first = state.fixed.map_or(0, |fixed| fixed + 1);
        let accepted = first.max(*accepted.start())..=*accepted.end();
        state.fleet.merge_history(history, &accepted);
        self.note_fixed(&mut state, history.fixed, now);
        state.asked.insert(from.to_owned());
    }

    /// Returns the true time; `None` where it is not known.
    pub(crate) fn time(&self, now: Moment) -> Option<TrueTime> {
        self.lock().clock.time(now)
    }

    /// Returns the requests of each account in a window, from all nodes.
    pub(crate) fn totals(&self, window: WindowNumber) -> BTreeMap<AccountId, u64> {
        self.lock().fleet.totals(window)
    }

    /// Returns the number of nodes that counted a request in a window.
    pub(crate) fn nodes(&self, window: WindowNumber) -> usize {
        self.lock().fleet.nodes(window)
    }

    /// Returns the first window with counts of any node.
    pub(crate) fn first_window(&self) -> Option<WindowNumber> {
        self.lock().fleet.first()
    }

    fn lock(&self) -> MutexGuard<'_, MeterState> {
        lock(&self.state)
    }
}

impl MeterState {
    /// Reports whether enough other nodes have confirmed the time.
    fn is_confirmed(&self) -> bool {
        let others = self.others.unwrap_or(CONFIRMING_NODES);
        self.clock.is_confirmed(others.min(CONFIRMING_NODES))
    }
}

impl Link {
    /// Reports whether the candidate is to be sent the node's demand.
    fn is_demand_due(&self, demand: &[DemandSample], now: Moment) -> bool {
        let Some((at, sent)) = &self.demand else {
            return !demand.is_empty();
        };
        let age = now.saturating_sub(*at);
        let is_new = sent != demand && age >= DEMAND_INTERVAL;
        is_new || (!demand.is_empty() && age >= DEMAND_REFRESH)
    }
}
