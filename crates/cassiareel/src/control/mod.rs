/*!
Moves between versions, placements and orders to engines, under lease and fencing number.

One node at a time acts for the fleet: the holder of the [`lease`]. Everything that it does is written
by conditional update and safe to do twice, so that two holders in doubt do no harm. [`moves`] are what
operators ask for; the [`judge`] runs on each node, on the counts that peers have merged.
*/

mod clock;
pub mod judge;
pub mod lease;
pub mod moves;
mod stored;

#[cfg(test)]
mod judge_tests;
#[cfg(test)]
mod lease_tests;
#[cfg(test)]
mod moves_tests;

pub use clock::{wall_millis, wall_seconds};
pub use stored::ChangeError;
