/*!
A lease with fencing numbers, based on conditional updates.

At most one holder may act at a time. The record of the lease is one object of the object API, and is
replaced by conditional update only. The clocks of two VMs are never compared: the holder counts the
lease's duration from the moment before it sent its last successful write, on its own monotonic
clock, and stops `margin` before the end of it; another candidate counts from the moment at which it
first read the record's version, and waits for the duration plus `margin`. As a version can't be
read before it was written, the holder has always stopped first.

If the answer to a write is lost, the candidate reads the record back to learn the outcome. Until
then it does not act on the lease that the write would have given it.

Backend servers that check fencing numbers reject a command of an earlier holder. For backend servers
that don't, a new holder waits for the longest action of the holder before it, see
[`Grant::commands_from`].
*/

mod machine;
mod record;

#[cfg(test)]
mod machine_tests;
#[cfg(test)]
mod model_tests;

pub use machine::{Action, Event, Grant, Lease};
pub use record::{Record, Timing};
