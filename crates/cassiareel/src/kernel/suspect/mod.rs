/*!
Detection of requests that crash backend servers.

A request is identified by a digest of its content and its caller, so that it stays the same under a
new name. When the process of a backend server crashes, every request that it had just begun to run
becomes a suspect, since nothing shows which of them caused the crash. A request that is a suspect
in several separate crashes is quarantined: it is held back and not sent.

Evidence for a request outweighs evidence against it, since backend servers crash for many reasons
and the running requests are often innocent:

- A request that a server has served, before or after a crash, is not held for some time.
- A crash does not count if another request that ran in the same process is a suspect in more
  crashes.
- A crash that coincides with the crashes of a group of servers that did not run the request counts
  half, and only the crashes of one attempt count.
- A crash of a run that had been going on for a while counts half.
- If other servers crash around the time of the request's crashes at least as often as those that
  ran it, more crashes are required, and only crashes of runs that had just begun count.

Crashes of other servers are no such evidence where another request explains them: one that crashed
as many servers, one after another. Otherwise several requests that crash servers at the same time
would each be the excuse of the others.

Losses are facts that nodes exchange in any order. A loss carries its age instead of a time, since
clocks differ between nodes.

# Parts of prompts

Requests that differ may share a part of the prompt that crashes each server that begins to write an
answer on it. A loss therefore names the parts of the prompt, and a part that explains the crashes of
several requests is held, whatever else a request contains. A run that wrote its answer past its
start clears the parts of its prompt. The parts of a loss only ever become fewer: a node that knows
that a part is harmless removes it from the losses and reports these again, and a loss that two nodes
report has the parts that both name. Thus a node that has seen nothing itself learns what others
have cleared.
*/

mod clusters;
mod loss;
mod parts;
mod survivals;
mod suspects;
mod verdict;

#[cfg(test)]
mod content_tests;
#[cfg(test)]
mod fleet_simulation;
#[cfg(test)]
mod fleet_tests;
#[cfg(test)]
mod part_tests;

pub use loss::{AttemptKey, Loss, PartKey, ProcessKey, ReportedLoss};
pub use suspects::Suspects;
pub use verdict::Verdict;

use std::time::Duration;

use super::Time;

/// Time after which a loss no longer counts against a request.
const LOSS_RETENTION: Duration = Duration::from_secs(600);

/// Time after which a loss no longer counts against a part of a prompt. It is longer than the time for
/// which a part is held, so that one more crash is enough to hold the part again.
const PART_LOSS_RETENTION: Duration = Duration::from_secs(1800);

/// How long a run that a server survived is evidence for its request and the parts of its prompt.
const EXONERATION_TIME: Duration = Duration::from_secs(60);

/// Processes that crash together as a group do so within this time.
const GROUP_CRASH_TIME: Duration = Duration::from_millis(300);

/// Number of other processes that must crash together with a process to explain its crash.
const MIN_GROUP_CRASHES: usize = 2;

/// Number of crashes that other causes must leave unexplained for a cause beside them.
const MIN_UNEXPLAINED: usize = 2;

/// Additional crashes that are required if many servers crash around the same time.
const EXTRA_CRASHES: u32 = 2;

/// Returns a time as it is stored, offset by [`PART_LOSS_RETENTION`]. The offset leaves room for
/// losses that occurred before the clock of a newly started node began.
fn stored_time(time: Time) -> Time {
    time + PART_LOSS_RETENTION
}
