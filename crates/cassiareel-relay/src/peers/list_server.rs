/*!
Which querying nodes a node sends its whole lists to, and where it sends the others.

A node that has lists sends them to as many others as its link allows, and names those to the rest. So
the number of nodes that can send lists multiplies, and no link has to carry all copies.
*/

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{clock::Moment, kernel::LinkBudget, model::DataCentre};

/// How long after its lists were sent a node can send them to others.
const APPLY_TIME: Duration = Duration::from_millis(150);

/// The number of nodes that are remembered.
const MAX_RECEIVERS: usize = 32;

/// The number of nodes that a reply names.
const MAX_SOURCES: usize = 3;

/// The number of nodes of another data centre that have lists, from which on the others there are sent
/// to these.
const MIN_NEAR_SOURCES: usize = 2;

/// The time for which a node that got lists is named to others.
const MAX_RECEIVER_AGE: Duration = Duration::from_secs(20);

/// The whole lists that a node sends.
#[derive(Debug, Default)]
pub(super) struct ListServer {
    link: LinkBudget,
    /// The nodes to which lists were sent, the newest last.
    receivers: VecDeque<Receiver>,
    /// The size of the lists in bytes.
    size: usize,
    /// How many replies named other nodes.
    named: usize,
}

/// A node that asks for lists.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct ListsRequest {
    /// The address of the node.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
}

/// The place of the node that sends lists.
#[derive(Clone, Copy, Debug)]
pub(super) struct Place<'a> {
    /// Its data centre.
    pub data_centre: &'a DataCentre,
    /// The rate of its link in Mbit/s, where it is known.
    pub link_mbps: Option<u32>,
}

/// A node to which lists were sent.
#[derive(Debug)]
struct Receiver {
    node: ListsRequest,
    /// When it can send them on.
    ready_at: Moment,
}

impl ListServer {
    /// Decides whether a node with the data centre and link of `own` sends the lists to another one
    /// now.
    ///
    /// # Errors
    ///
    /// Returns the addresses of other nodes that have the lists, where the link is busy, and where the
    /// querying node is in another data centre, some nodes of which have them: bytes between data
    /// centres are priced.
    pub(super) fn admit(
        &mut self,
        to: &ListsRequest,
        own: Place<'_>,
        now: Moment,
    ) -> Result<(), Vec<SocketAddr>> {
        let near = self.usable(to, now).filter(|node| is_near(node, to));
        let near = near.count();
        if *own.data_centre != to.data_centre && near >= MIN_NEAR_SOURCES {
            return Err(self.sources(to, now));
        }
        let Some(sent) = self.link.take(self.size, own.link_mbps, now) else {
            return Err(self.sources(to, now));
        };
        self.receivers
            .retain(|receiver| receiver.node.address != to.address);
        self.receivers.push_back(Receiver {
            node: to.clone(),
            ready_at: sent + APPLY_TIME,
        });
        if self.receivers.len() > MAX_RECEIVERS {
            self.receivers.pop_front();
        }
        Ok(())
    }

    /// Records the size of the lists, from which the time to send them is computed.
    pub(super) fn note_size(&mut self, bytes: usize) {
        self.size = bytes;
    }

    /// Returns nodes that have got the lists, other ones each time: those of the data centre of the
    /// querying node, where there are any.
    fn sources(&mut self, to: &ListsRequest, now: Moment) -> Vec<SocketAddr> {
        let usable = self.usable(to, now);
        let (near, far): (Vec<_>, Vec<_>) = usable.partition(|node| is_near(node, to));
        let usable = if near.is_empty() { far } else { near };
        let count = usable.len().min(MAX_SOURCES);
        let named = (0..count).map(|i| usable[(self.named + i) % usable.len()].address);
        let named = named.collect();
        self.named = self.named.wrapping_add(count);
        named
    }

    /// Returns the nodes that can send the lists to another one.
    fn usable<'a>(
        &'a self,
        to: &'a ListsRequest,
        now: Moment,
    ) -> impl Iterator<Item = &'a ListsRequest> {
        let is_usable = move |receiver: &&Receiver| {
            let ready = receiver.ready_at;
            receiver.node.address != to.address && ready <= now && now < ready + MAX_RECEIVER_AGE
        };
        let usable = self.receivers.iter().filter(is_usable);
        usable.map(|receiver| &receiver.node)
    }
}

/// Reports whether a node is in the data centre of the querying one.
fn is_near(node: &ListsRequest, to: &ListsRequest) -> bool {
    node.data_centre == to.data_centre
}
