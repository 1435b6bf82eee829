/*!
Streams that are held until an engine has room, in the order in which they get it.

Where a service has streams of several priorities, a stream that finds room passes it to the held
one of its node that goes first: by priority, and then by the time at which its objective passes.
The order is decided at each place that is found, so that nothing has to be sorted or kept free.
*/

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

use async_channel::{Receiver, Sender};
use cassiareel::runtime::lock;

use crate::{backends::Backend, clock::Moment, model::ServiceId};

/// The order among held streams, the first one being the least: the priority, and the time at which
/// the objective passes.
pub(crate) type HoldRank = (u8, Moment);

/// An engine with room that one stream passes to another.
#[derive(Clone, Debug)]
pub(crate) struct EnginePlace {
    /// The engine.
    pub member: Arc<Backend>,
    /// Whether the engine reported that it has no other requests.
    pub idle: bool,
    /// The name of the reservation that the engine made.
    pub reservation: Option<Arc<str>>,
}

/// The held streams of all services, which receive engines of type `Place`.
#[derive(Debug)]
pub(crate) struct Holds<Place>(Mutex<HashMap<ServiceId, Vec<Held<Place>>>>);

/// A held stream.
#[derive(Debug)]
struct Held<Place> {
    rank: HoldRank,
    /// The memory that it needs when it ends, in tokens.
    tokens: u64,
    sender: Sender<Place>,
}

/// A stream's entry among the held ones, which ends when it is dropped.
#[derive(Debug)]
pub(crate) struct Hold<'a, Place> {
    holds: &'a Holds<Place>,
    service: ServiceId,
    places: Receiver<Place>,
}

impl<Place> Default for Holds<Place> {
    fn default() -> Holds<Place> {
        Holds(Mutex::default())
    }
}

impl<Place> Holds<Place> {
    /// Adds a stream that is held from now on.
    pub(crate) fn hold(&self, service: &ServiceId, rank: HoldRank, tokens: u64) -> Hold<'_, Place> {
        let (sender, places) = async_channel::bounded(1);
        let held = Held {
            rank,
            tokens,
            sender,
        };
        lock(&self.0).entry(service.clone()).or_default().push(held);
        Hold {
            holds: self,
            service: service.clone(),
            places,
        }
    }

    /// Passes a place with `tokens` of memory to the held stream that goes first, if one goes before
    /// `rank`; returns the place otherwise.
    pub(crate) fn pass(
        &self,
        service: &ServiceId,
        rank: HoldRank,
        tokens: u64,
        place: Place,
    ) -> Option<Place> {
        let mut services = lock(&self.0);
        let Some(held) = services.get_mut(service) else {
            return Some(place);
        };
        let fits = |other: &Held<Place>| other.rank < rank && other.tokens <= tokens;
        let first = (0..held.len())
            .filter(|index| fits(&held[*index]))
            .min_by_key(|index| held[*index].rank);
        let Some(first) = first else {
            return Some(place);
        };
        // A stream gets one place, so that it is removed here.
        let sender = held.swap_remove(first).sender;
        sender.try_send(place).err().map(|err| err.into_inner())
    }
}

impl<Place> Hold<'_, Place> {
    /// Waits for a place that another stream passes on.
    pub(crate) async fn place(&self) -> Option<Place> {
        self.places.recv().await.ok()
    }

    /// Returns a place that was passed on before now.
    pub(crate) fn take(&self) -> Option<Place> {
        self.places.try_recv().ok()
    }
}

impl<Place> Drop for Hold<'_, Place> {
    fn drop(&mut self) {
        self.places.close();
        let mut services = lock(&self.holds.0);
        if let Some(held) = services.get_mut(&self.service) {
            held.retain(|other| !other.sender.is_closed());
        }
    }
}
