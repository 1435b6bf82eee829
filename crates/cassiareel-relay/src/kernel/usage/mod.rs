/*!
Usage: the requests of each client account that began to run in each window of true time.

Each node counts its own requests ([`NodeCounts`]) and sends the cumulative counts of recent windows to
a few candidates, which merge the counts of all nodes ([`FleetCounts`]). The candidate that holds the
duty fixes a window some time after its end ([`WindowRules`]), and reports exactly what was fixed
([`Ledger`]). Nodes map events to windows by a clock that a single node's wrong or jumping time of day
does not move ([`TrueClock`]).
*/

mod fixed_window;
mod fleet_counts;
#[cfg(test)]
mod fleet_counts_tests;
mod history;
mod ledger;
#[cfg(test)]
mod ledger_tests;
mod message;
mod node_counts;
mod own_offset;
mod reply;
mod true_clock;
#[cfg(test)]
mod true_clock_tests;
mod window_counts;
mod window_rules;

use std::time::Duration;

pub use fixed_window::FixedWindow;
pub use fleet_counts::{FleetCounts, SenderKey};
pub use history::{History, NumberedCounts};
pub use ledger::{Ledger, LedgerChanges};
pub use message::UsageMessage;
pub use node_counts::NodeCounts;
pub use own_offset::OwnOffset;
pub use reply::UsageReply;
pub use true_clock::TrueClock;
pub use window_counts::WindowCounts;
pub use window_rules::WindowRules;

/// The number of a window: window k begins k times the length of a window after the start of 1970.
pub type WindowNumber = u64;

/// A time of day, counted from the start of 1970.
pub type TrueTime = Duration;

/// The time of day at which the steady clock of a VM showed zero.
pub type TimeOffset = Duration;
