//! An operator's order to roll a service out to another version.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{
    Revision, RolloutState, RolloutStatus, ServiceId, StoredState, UnprovenVersion, Version,
};

/// The largest number of unproven versions of a service that are kept, the newest first. Their
/// backend servers leave soon.
const MAX_UNPROVEN: usize = 8;

/// An order to move a service's traffic to the backend servers of another version.
///
/// The store has one object for each service, which the operator overwrites with the next order, and
/// whose status the nodes write. The order is therefore identified by the revision of the object
/// that has its contents and no state of it yet: the first node that reports a state writes that
/// revision into the status, under the condition that the object is still at it.
///
/// Nodes send each other the fields by position. Earlier builds, which identify an order by the
/// creation of its object, send and accept fewer fields, so that neither side takes the other's orders.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Rollout {
    /// The service.
    pub service: ServiceId,
    /// The new version.
    pub target: Version,
    /// The time within which the rollout has to end.
    pub duration: Duration,
    /// The state last reported of this order; `None` before the first report.
    pub state: Option<RolloutState>,
    /// The object's revision when it was read.
    pub revision: Revision,
    /// The revision that identifies the order.
    pub order: Revision,
    /// Versions that earlier orders of the service named and that were not completed.
    pub unproven: Vec<UnprovenVersion>,
}

impl Rollout {
    /// Creates the order that an object has at a revision, with a status that may be of an earlier
    /// order.
    pub fn new(
        service: ServiceId,
        target: Version,
        duration: Duration,
        status: Option<RolloutStatus>,
        revision: Revision,
    ) -> Rollout {
        let mut rollout = Rollout {
            service,
            target,
            duration,
            state: None,
            revision,
            order: revision,
            unproven: Vec::new(),
        };
        match status {
            Some(status) if rollout.is_order_of(&status) => {
                rollout.state = status.state;
                // The status may have been written by another program.
                let order = status.order.filter(|order| *order <= revision);
                rollout.order = order.unwrap_or(revision);
                rollout.add_unproven(&status.unproven);
            }
            Some(status) => rollout.follow(status.state, &status.target, &status.unproven),
            None => {}
        }
        rollout
    }

    /// Reports whether two orders ask for the same.
    pub fn has_contents_of(&self, other: &Rollout) -> bool {
        self.service == other.service
            && self.target == other.target
            && self.duration == other.duration
    }

    /// Takes over from an earlier order, which was left at a state, what is known of versions: its own
    /// is unproven unless it was completed.
    pub fn follow(
        &mut self,
        state: Option<RolloutState>,
        target: &Version,
        unproven: &[UnprovenVersion],
    ) {
        if state != Some(RolloutState::Completed) {
            let left = UnprovenVersion {
                version: target.clone(),
                rolled_back: state == Some(RolloutState::RolledBack),
            };
            self.add_unproven([&left]);
        }
        let others = unproven.iter().filter(|other| other.version != *target);
        self.add_unproven(others);
    }

    /// Adds unproven versions of earlier orders, the newest first.
    pub fn add_unproven<'a, I>(&mut self, versions: I)
    where
        I: IntoIterator<Item = &'a UnprovenVersion>,
    {
        for added in versions {
            let mut known = self.unproven.iter();
            let is_known =
                added.version == self.target || known.any(|k| k.version == added.version);
            if !is_known && self.unproven.len() < MAX_UNPROVEN {
                self.unproven.push(added.clone());
            }
        }
    }

    /// Returns what the object's status says: the state, and the order that it names.
    pub fn stored_state(&self) -> StoredState {
        let is_named = self.order != self.revision;
        StoredState {
            state: self.state,
            order: is_named.then_some(self.order),
        }
    }

    /// Reports whether a status is about the contents of this order.
    fn is_order_of(&self, status: &RolloutStatus) -> bool {
        let is_same_time = |duration: Duration| duration.as_millis() == self.duration.as_millis();
        status.target == self.target && status.duration.is_none_or(is_same_time)
    }
}
