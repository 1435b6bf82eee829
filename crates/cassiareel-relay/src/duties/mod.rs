/*!
Singleton duties: calls to the platform that one node at a time makes for the whole fleet.

A deployment names its duties in the settings; where it names none, nothing here runs. One node holds
the lease on all duties. Its fencing token goes with each call, and the right to act is checked right
before the call is sent, since the process may have been suspended in between.
*/

// The driver of the lease runs the duties; it is merged separately.
#[allow(dead_code)]
mod duty;
mod target;
#[allow(dead_code)]
mod usage;
#[cfg(test)]
mod usage_model_tests;
#[cfg(test)]
mod usage_tests;

pub use target::{DutyError, DutyHolder, DutyTarget, ServerOrder, UsageReport};
