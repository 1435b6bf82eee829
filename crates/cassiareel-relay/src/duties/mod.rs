/*!
Singleton duties: calls to the platform that one node at a time makes for the whole fleet.

A deployment names its duties in the settings; where it names none, nothing here runs. One node holds
the lease on all duties. Its fencing token goes with each call, and the right to act is checked right
before the call is sent, since the process may have been suspended in between.
*/

#[allow(dead_code)]
mod autoscale;
#[allow(dead_code)]
mod demand;
mod duty;
#[allow(dead_code)]
mod server_losses;
#[allow(dead_code)]
mod service_scaling;
#[cfg(test)]
mod service_scaling_tests;
mod target;

pub(crate) use demand::NodeDemand;
pub use target::{DutyError, DutyHolder, DutyTarget, ServerOrder, UsageReport};
