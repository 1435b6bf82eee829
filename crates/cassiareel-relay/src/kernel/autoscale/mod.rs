/*!
How many backend servers a service needs in each data centre.

The size follows the demand of all nodes: the recent peak of the requests that run and wait, with
headroom for a burst and for the loss of a data centre's servers. It grows at once, and shrinks by
limited steps after the demand was lower for a multiple of the time that a new server takes to start.
Whatever makes the demand or the servers uncertain (a rollout, losses, nodes without a sample, a new
holder) postpones a removal and never an addition.
*/

mod autoscaler;
#[cfg(test)]
mod autoscaler_tests;
mod fleet_demand;
#[cfg(test)]
mod fleet_demand_tests;
mod input;
#[cfg(test)]
mod play;
#[cfg(test)]
mod play_tests;
mod recent_peak;
mod server_orders;
#[cfg(test)]
mod server_orders_tests;
mod subject;

pub use autoscaler::{Autoscaler, BoundsError, ServiceSize, DECISION_INTERVAL};
pub use fleet_demand::{DemandCoverage, DemandTotal, FleetDemand};
pub use input::{DataCentreInput, EngineFacts, ServiceInput};
pub use server_orders::{OrderOutcome, ServerOrders};
pub use subject::{SizeReason, WantedServers};
