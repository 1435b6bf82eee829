/*!
Moves between versions, placements and commands to engines, protected by a lease and fencing numbers.

One node at a time acts for the fleet: the holder of the [`lease`]. All its writes are conditional
updates that are safe to repeat, so that two nodes that both believe to hold the lease do no harm.
Operators start [`moves`]. The [`judge`] runs on every node, on the counts that the peers have merged.
*/

mod clock;
pub mod judge;
pub mod lease;
pub mod moves;
mod object_update;

#[cfg(test)]
mod judge_tests;
#[cfg(test)]
mod lease_tests;
#[cfg(test)]
mod moves_tests;

pub use clock::{boot_time, wall_millis, wall_seconds};
pub use object_update::ChangeError;
