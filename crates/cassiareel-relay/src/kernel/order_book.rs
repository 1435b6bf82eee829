/*!
The operator's orders as a node knows them, also across a restore of the store.

A restored store may lack orders and verdicts that it had acknowledged. The operator writes lost
orders again, with another revision; nobody but the nodes knows their verdicts. So an order that is
missing in the lists of a new era stays in force for a while, an order with the same contents is the
same order, and a verdict that was known holds until the store has one again.

Within an era the lists of the store are authoritative: an order that is missing was withdrawn, and
one with another revision of creation is another order.
*/

use std::time::Duration;

use crate::{
    clock::Moment,
    model::{Rollout, RolloutState, ServiceId, StoreEra, StoreRevision},
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
    /// The revisions at which the order was created, the oldest first; one for each era in which
    /// the store had it.
    creations: Vec<StoreRevision>,
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
    /// Creates an order that was not known before.
    fn new(read: &Rollout, revision: StoreRevision, began: Moment) -> KnownOrder {
        KnownOrder {
            rollout: read.clone(),
            began,
            creations: vec![creation(read, revision)],
            verdict: None,
            listed_in: revision.era(),
            verdict_lost: None,
        }
    }

    /// Returns the revision by which this node knows the order as long as it is in force.
    pub fn id(&self) -> StoreRevision {
        self.creations[0]
    }

    /// Returns the newest revision at which the order was created, by which other nodes know it.
    pub fn created(&self) -> StoreRevision {
        self.creations[self.creations.len() - 1]
    }

    /// Reports whether the order was created at a revision.
    pub fn was_created_at(&self, created: StoreRevision) -> bool {
        self.creations.contains(&created)
    }

    /// Returns the verdict that the store has lost, and since when that is known.
    pub fn lost_verdict(&self) -> Option<(RolloutState, Moment)> {
        let (verdict, _) = self.verdict?;
        Some((verdict, self.verdict_lost?))
    }

    /// Reports whether an order that was read is this one.
    fn is_same(&self, read: &Rollout, revision: StoreRevision) -> bool {
        let known = &self.rollout;
        if known.service != read.service || known.target != read.target {
            return false;
        }
        if self.listed_in == revision.era() {
            self.created() == creation(read, revision)
        } else {
            known.duration == read.duration
        }
    }

    /// Takes over the order as it was read at a revision.
    fn update(&mut self, read: &Rollout, revision: StoreRevision, now: Moment) {
        let created = creation(read, revision);
        if self.created() != created {
            self.creations.push(created);
        }
        self.listed_in = revision.era();
        self.rollout = read.clone();
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
                let mut known = before.iter();
                let known = known.find(|order| order.is_same(read, revision)).cloned();
                let mut order = known.unwrap_or_else(|| KnownOrder::new(read, revision, since));
                order.update(read, revision, now);
                order
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

    /// Records that the store acknowledged a verdict in an era.
    pub fn record_verdict(&mut self, id: StoreRevision, verdict: RolloutState, era: StoreEra) {
        let order = self.orders.iter_mut().find(|order| order.id() == id);
        let Some(order) = order.filter(|_| verdict.is_end()) else {
            return;
        };
        order.rollout.state = Some(verdict);
        order.verdict = Some((verdict, era));
        order.verdict_lost = None;
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

/// Returns the revision at which an order was created, which was read at a revision.
fn creation(read: &Rollout, revision: StoreRevision) -> StoreRevision {
    StoreRevision::new(revision.era(), read.created)
}
