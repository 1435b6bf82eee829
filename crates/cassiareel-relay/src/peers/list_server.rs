/*!
Which querying nodes a node sends its whole lists to, and where it sends the others.

A node that has lists sends them to as many others as its link allows, and names those to the rest. So
the number of nodes that can send lists multiplies, and no link has to carry all copies.
*/

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use crate::{clock::Moment, kernel::LinkBudget};

/// How long after its lists were sent a node can send them to others.
const APPLY_TIME: Duration = Duration::from_millis(150);

/// The number of nodes that are remembered.
const MAX_RECEIVERS: usize = 32;

/// The number of nodes that a reply names.
const MAX_SOURCES: usize = 3;

/// The time for which a node that got lists is named to others.
const MAX_RECEIVER_AGE: Duration = Duration::from_secs(20);

/// The whole lists that a node sends.
#[derive(Debug, Default)]
pub(super) struct ListServer {
    link: LinkBudget,
    /// The nodes to which lists were sent, and when these can send them on.
    receivers: VecDeque<(SocketAddr, Moment)>,
    /// The size of the lists in bytes.
    size: usize,
    /// How many replies named other nodes.
    named: usize,
}

impl ListServer {
    /// Decides whether the lists are sent to a node now.
    ///
    /// # Errors
    ///
    /// Returns the addresses of other nodes that have the lists, where the link is busy.
    pub(super) fn admit(
        &mut self,
        to: SocketAddr,
        link_mbps: Option<u32>,
        now: Moment,
    ) -> Result<(), Vec<SocketAddr>> {
        let Some(sent) = self.link.take(self.size, link_mbps, now) else {
            return Err(self.sources(to, now));
        };
        self.receivers.retain(|(receiver, _)| *receiver != to);
        self.receivers.push_back((to, sent + APPLY_TIME));
        if self.receivers.len() > MAX_RECEIVERS {
            self.receivers.pop_front();
        }
        Ok(())
    }

    /// Records the size of the lists, from which the time to send them is computed.
    pub(super) fn note_size(&mut self, bytes: usize) {
        self.size = bytes;
    }

    /// Returns nodes that have got the lists, other ones each time.
    fn sources(&mut self, to: SocketAddr, now: Moment) -> Vec<SocketAddr> {
        let is_usable = |(address, ready): &&(SocketAddr, Moment)| {
            *address != to && *ready <= now && now < *ready + MAX_RECEIVER_AGE
        };
        let usable = self.receivers.iter().filter(is_usable);
        let usable: Vec<SocketAddr> = usable.map(|(address, _)| *address).collect();
        self.named += MAX_SOURCES;
        let first = self.named;
        let count = usable.len().min(MAX_SOURCES);
        (0..count)
            .map(|i| usable[(first + i) % usable.len()])
            .collect()
    }
}
