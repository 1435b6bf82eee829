//! The decisions and orders for one service in one term of the holder.

use std::collections::BTreeMap;

use super::{DutyError, ServerOrder};
use crate::{
    clock::Moment,
    kernel::{
        Autoscaler, BoundsError, OrderOutcome, ServerOrders, ServiceInput, ServiceSize,
        WantedServers,
    },
    model::{DataCentre, ServiceId},
};

/// The decisions and orders for one service in one term of the holder.
#[derive(Debug, Default)]
pub(super) struct ServiceScaling {
    scaler: Autoscaler,
    orders: BTreeMap<DataCentre, ServerOrders>,
    /// The fault of the bounds that was last reported.
    fault: Option<BoundsError>,
}

/// An order that is due, and what decided it.
#[derive(Clone, Debug)]
pub(super) struct DueOrder {
    pub order: ServerOrder,
    pub wanted: WantedServers,
    /// The number of listed servers.
    pub listed: u32,
    /// Whether it repeats the last order.
    pub is_repeat: bool,
}

impl ServiceScaling {
    /// Decides at one moment; returns the decision and the orders that are due.
    ///
    /// # Errors
    ///
    /// Fails where the bounds are invalid.
    pub(super) fn decide(
        &mut self,
        service: &ServiceId,
        mut input: ServiceInput,
    ) -> Result<(ServiceSize, Vec<DueOrder>), BoundsError> {
        for (data_centre, part) in &mut input.data_centres {
            let orders = self.orders.get(data_centre);
            part.is_unanswered = orders.is_some_and(ServerOrders::is_open);
        }
        let size = self.scaler.decide(&input)?;
        self.fault = None;
        let wanted = size.wanted.iter();
        let due = wanted.filter_map(|(at, wanted)| self.due(service, at, wanted, &input));
        let due = due.collect();
        Ok((size, due))
    }

    /// Reports whether a fault of the bounds was not reported before.
    pub(super) fn is_new_fault(&mut self, fault: BoundsError) -> bool {
        self.fault.replace(fault) != Some(fault)
    }

    /// Records the result of an order.
    pub(super) fn record(&mut self, order: &ServerOrder, outcome: OrderOutcome, now: Moment) {
        let orders = self.orders.entry(order.data_centre.clone()).or_default();
        orders.record(order.count, outcome, now);
    }

    fn due(
        &mut self,
        service: &ServiceId,
        data_centre: &DataCentre,
        wanted: &WantedServers,
        input: &ServiceInput,
    ) -> Option<DueOrder> {
        let listed = input.data_centres.get(data_centre).map_or(0, |p| p.listed);
        // A rollout adds and removes servers of its own.
        let compared = if input.is_rolling_out {
            wanted.count
        } else {
            listed
        };
        let orders = self.orders.entry(data_centre.clone()).or_default();
        let (boot, now) = (input.bounds.boot, input.now);
        let is_due = orders.is_due(wanted.count, wanted.baseline, compared, boot, now);
        is_due.then(|| DueOrder {
            order: ServerOrder {
                service: service.clone(),
                data_centre: data_centre.clone(),
                count: wanted.count,
            },
            wanted: *wanted,
            listed,
            is_repeat: orders.last() == Some(wanted.count),
        })
    }
}

/// Returns what is known of an order by its answer.
pub(super) fn outcome(answer: &Result<(), DutyError>) -> OrderOutcome {
    match answer {
        Ok(()) => OrderOutcome::Answered,
        Err(DutyError::Fenced | DutyError::RateLimited) => OrderOutcome::NotTaken,
        Err(DutyError::Refused { .. }) => OrderOutcome::Refused,
        Err(DutyError::Unanswered { .. }) => OrderOutcome::Unanswered,
    }
}
