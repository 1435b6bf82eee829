/*!
A lease with fencing numbers over conditional updates.

One holder at a time may act. The record of the lease is one object of the object API, replaced by
conditional update only. Clocks of two VMs are never compared: the holder counts its time from the
moment before it sent its last successful write, on its own monotonic clock, and stops `margin`
before the lease's time; another candidate counts from the moment at which it first read the
record's version, and waits the lease's time and `margin` more. As a version can't be read before it
was written, the holder has always stopped first.

An answer that was lost is resolved by reading the record back. Until then the candidate has no
power that the lost write would have given it.

Backend servers that check fencing numbers refuse an order of an older holder. For those that don't,
a new holder waits out the longest action of the one before it, see [`Grant::commands_from`].
*/

mod machine;
mod record;

#[cfg(test)]
mod machine_tests;
#[cfg(test)]
mod model_tests;

pub use machine::{Action, Event, Grant, Lease};
pub use record::{Record, Timing};
