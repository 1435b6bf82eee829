/*!
The operator's orders as a node knows them, also across a restore of the store.

The operator overwrites an order with the next one for the same service, before or after it has ended,
and the object stays the same one. The next order begins anew: nothing that is known of the earlier
one applies to it, also where both name the same version. Its identity is the revision that the
object had when its contents were written ([`Rollout::order`]). Two kinds
of changes are distinguished: a node's report changes the state, or names another order; a change
after which the object's status is what it was is the operator's.

A restored store may lack orders and verdicts that it had acknowledged. The operator writes lost
orders again, with another revision; nobody but the nodes knows their verdicts. So an order that is
missing in the lists of a new era stays in force for a while, an order with the same contents is the
same order, and a verdict that was known holds until the store has one again. Within an era the
lists of the store are authoritative: an order that is missing was withdrawn.
*/

use std::time::Duration;

use crate::{
    clock::Moment,
    model::{Revision, Rollout, RolloutState, ServiceId, StoreEra, StoreRevision, StoredState},
};

/// How long after a restore the operator may take to write lost orders again, and the nodes to write
/// lost verdicts again.
const RESTORE_GRACE: Duration = Duration::from_secs(10);

/// An order that is in force.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct KnownOrder {
    /// The order as last read, with the newest known state.
    pub rollout: Rollout,
    /// The earliest time at which the rollout may have begun.
    pub began: Moment,
    /// The revisions that identify the order, the oldest first; one for each era in which the store
    /// had it.
    ids: Vec<StoreRevision>,
    /// What the object's status said when it was last read or written.
    stored: StoredState,
    /// The newest verdict that the store acknowledged, and the era in which it did.
    verdict: Option<(RolloutState, StoreEra)>,
    /// The era of the newest list that has the order.
    listed_in: StoreEra,
    /// When the first list was applied that lacks the verdict.
    verdict_lost: Option<Moment>,
}

/// What a list of orders changed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BookChanges {
    /// Whether orders that are in force, or their states, changed.
    pub changed: bool,
    /// Whether the list is the first one of a new era.
    pub is_new_era: bool,
}

/// The orders that are in force at a node.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct OrderBook {
    orders: Vec<KnownOrder>,
    revision: Option<StoreRevision>,
    /// When the first list of the newest era was applied; `None` in the first era that the node
    /// knows.
    restored_at: Option<Moment>,
    /// When the first list of a restored store was applied, also where the node knows no era before.
    entered_at: Option<Moment>,
}

impl KnownOrder {
    /// Creates an order that was not known before, and that may have followed another one.
    fn new(
        read: &Rollout,
        revision: StoreRevision,
        began: Moment,
        earlier: Option<&KnownOrder>,
    ) -> KnownOrder {
        let mut rollout = read.clone();
        if let Some(earlier) = earlier {
            if earlier.is_about_earlier(read, revision) {
                rollout.state = None;
                rollout.order = read.revision;
            }
            let before = &earlier.rollout;
            rollout.follow(before.state, &before.target, &before.unproven);
        }
        let verdict = rollout.state.filter(|state| state.is_end());
        KnownOrder {
            ids: vec![StoreRevision::new(revision.era(), rollout.order)],
            rollout,
            began,
            stored: read.stored_state(),
            verdict: verdict.map(|end| (end, revision.era())),
            listed_in: revision.era(),
            verdict_lost: None,
        }
    }

    /// Returns the revision by which this node knows the order as long as it is in force.
    pub fn id(&self) -> StoreRevision {
        self.ids[0]
    }

    /// Returns the revision that identifies the order in the newest era that has it, by which other
    /// nodes know it.
    pub fn newest_id(&self) -> StoreRevision {
        self.ids[self.ids.len() - 1]
    }

    /// Reports whether a revision identifies the order.
    pub fn has_id(&self, id: StoreRevision) -> bool {
        self.ids.contains(&id)
    }

    /// Returns the verdict that the store has lost, and since when that is known.
    pub fn lost_verdict(&self) -> Option<(RolloutState, Moment)> {
        let (verdict, _) = self.verdict?;
        Some((verdict, self.verdict_lost?))
    }

    /// Reports whether a read shows nothing that a read or write of the same era did not show.
    fn is_newer_than(&self, read: &Rollout, revision: StoreRevision) -> bool {
        let known = &self.rollout;
        let is_equal = known.revision == read.revision && known.has_contents_of(read);
        self.listed_in == revision.era() && (known.revision > read.revision || is_equal)
    }

    /// Reports whether an order that was read later is this one. A node's report changes the status of
    /// the object; where it is unchanged, the operator has written the object again.
    fn is_same(&self, read: &Rollout, revision: StoreRevision) -> bool {
        if !self.rollout.has_contents_of(read) {
            return false;
        }
        self.listed_in != revision.era()
            || (self.rollout.order == read.order && !self.is_about_earlier(read, revision))
    }

    /// Reports whether the status of a later read is about this order or one before it, and not about
    /// the one that the object has: it is unchanged, or names an order before this one.
    fn is_about_earlier(&self, read: &Rollout, revision: StoreRevision) -> bool {
        let is_unchanged = self.stored == read.stored_state();
        self.listed_in == revision.era() && (is_unchanged || read.order < self.rollout.order)
    }

    /// Takes over the order as it was read at a revision.
    fn update(&mut self, read: &Rollout, revision: StoreRevision, now: Moment) {
        let id = StoreRevision::new(revision.era(), read.order);
        if self.newest_id() != id {
            self.ids.push(id);
        }
        self.listed_in = revision.era();
        let before = std::mem::replace(&mut self.rollout, read.clone());
        self.rollout.add_unproven(&before.unproven);
        self.stored = read.stored_state();
        if let Some(end) = read.state.filter(|state| state.is_end()) {
            self.verdict = Some((end, revision.era()));
            self.verdict_lost = None;
        }
        let Some((end, era)) = self.verdict else {
            return;
        };
        // A list that lacks the verdict was read before it was written, or the store has lost it.
        self.rollout.state = Some(end);
        if era < revision.era() {
            self.verdict_lost.get_or_insert(now);
        }
    }
}

impl OrderBook {
    /// Applies the orders of a list at a revision, which was read at `began`. `since` is when the last
    /// read began that did not show the new ones: the time of a rollout may have begun as early as
    /// that. A list that is older than the known one changes nothing.
    pub fn apply(
        &mut self,
        rollouts: &[Rollout],
        revision: StoreRevision,
        since: Moment,
        began: Moment,
        now: Moment,
    ) -> BookChanges {
        if self.revision.is_some_and(|known| revision < known) {
            return BookChanges::default();
        }
        let known = self.revision.replace(revision);
        let is_new_era = known.is_some_and(|known| known.era() < revision.era());
        if is_new_era {
            self.restored_at = Some(now);
        }
        if is_new_era || (known.is_none() && revision.era() > 0) {
            self.entered_at = Some(now);
        }
        let before = std::mem::take(&mut self.orders);
        self.orders = rollouts
            .iter()
            .map(|read| {
                let of_service = |order: &&KnownOrder| order.rollout.service == read.service;
                match before.iter().find(of_service) {
                    Some(known) if known.is_newer_than(read, revision) => known.clone(),
                    Some(known) if known.is_same(read, revision) => {
                        let mut order = known.clone();
                        order.update(read, revision, now);
                        order
                    }
                    earlier => KnownOrder::new(read, revision, since, earlier),
                }
            })
            .collect();
        if !self.is_settled(began) {
            let missing = before.iter().filter(|order| {
                order.listed_in < revision.era() && !self.has_order_of(&order.rollout.service)
            });
            let missing: Vec<KnownOrder> = missing.cloned().collect();
            self.orders.extend(missing);
        }
        BookChanges {
            changed: known.is_none() || is_new_era || self.orders != before,
            is_new_era,
        }
    }

    /// Records that the store acknowledged a state of an order that was read in an era, at the
    /// object's revision that the write made; `None` where the store may have taken it for another
    /// order.
    pub fn record_state(
        &mut self,
        id: StoreRevision,
        state: RolloutState,
        era: StoreEra,
        revision: Option<Revision>,
    ) {
        let order = self.orders.iter_mut().find(|order| order.id() == id);
        let Some(order) = order.filter(|order| order.rollout.state.is_none() || state.is_end())
        else {
            return;
        };
        order.rollout.state = Some(state);
        if let Some(revision) = revision.filter(|_| order.listed_in == era) {
            order.rollout.revision = revision;
            order.stored = order.rollout.stored_state();
        }
        if state.is_end() {
            order.verdict = Some((state, era));
            order.verdict_lost = None;
        }
    }

    /// Returns the orders that are in force.
    pub fn orders(&self) -> &[KnownOrder] {
        &self.orders
    }

    /// Reports whether the store has an order, so that its state can be written.
    pub fn is_listed(&self, order: &KnownOrder) -> bool {
        self.revision
            .is_some_and(|revision| revision.era() == order.listed_in)
    }

    /// Reports whether the operator has had time to write lost orders again at a time. A list that
    /// was read then has all orders.
    pub fn is_settled(&self, at: Moment) -> bool {
        self.settles_at().is_none_or(|settled| at >= settled)
    }

    /// Returns the time from which on lists have all orders; `None` where they always had.
    pub fn settles_at(&self) -> Option<Moment> {
        Some(self.restored_at? + RESTORE_GRACE)
    }

    /// Reports whether a verdict may be reached: right after a restore, another node may know one
    /// that the store has lost.
    pub fn may_end(&self, now: Moment) -> bool {
        self.entered_at.is_none_or(|at| now >= at + RESTORE_GRACE)
    }

    fn has_order_of(&self, service: &ServiceId) -> bool {
        let mut orders = self.orders.iter();
        orders.any(|order| order.rollout.service == *service)
    }
}
