/*!
When a node may send a whole list to another node.

Whole lists are far larger than the updates that follow them on the same link, which have to arrive in
time. They may therefore only take a part of the link, and only a short backlog of them may form.
*/

use std::time::Duration;

use crate::clock::Moment;

/// The part of a link that whole lists may use.
const LIST_PART: f64 = 0.8;

/// The longest time for which the lists that were sent may take the link. It is a small part of the
/// seconds within which a server that leaves has to be out of use.
const MAX_BACKLOG: Duration = Duration::from_millis(160);

/// The rate that is assumed of a link whose rate is not known, in Mbit/s: that of the slowest links.
const ASSUMED_LINK_MBPS: u32 = 10;

/// The time for which the lists that were sent take a node's link.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkBudget {
    busy_until: Moment,
}

impl LinkBudget {
    /// Takes the time to send `bytes` over a link of `link_mbps`; returns when they will have been
    /// sent, or `None` where too much is being sent already. One list may always be sent.
    pub fn take(&mut self, bytes: usize, link_mbps: Option<u32>, now: Moment) -> Option<Moment> {
        let rate = f64::from(link_mbps.unwrap_or(ASSUMED_LINK_MBPS).max(1)) * 1e6 * LIST_PART;
        let time = Duration::from_secs_f64(bytes as f64 * 8.0 / rate);
        let backlog = self.busy_until.saturating_sub(now);
        if !backlog.is_zero() && backlog + time > MAX_BACKLOG {
            return None;
        }
        self.busy_until = now + backlog + time;
        Some(self.busy_until)
    }
}
