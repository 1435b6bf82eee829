/*!
A condition of sound servers: for a time they read, write and answer nothing, and then go on.

Their connections stay open, and their listeners still accept new ones.
*/

use std::{thread, time::Duration};

use crate::{engine::Engine, service::PlainService};

/// A server that can stop and go on.
pub trait Pause: Sync {
    /// Stops the server at its current state.
    fn pause(&self);

    /// Lets a stopped server go on.
    fn resume(&self);
}

impl Pause for Engine {
    fn pause(&self) {
        Engine::pause(self);
    }

    fn resume(&self) {
        Engine::resume(self);
    }
}

impl Pause for PlainService {
    fn pause(&self) {
        PlainService::pause(self);
    }

    fn resume(&self) {
        PlainService::resume(self);
    }
}

/// Keeps servers silent for a time, and returns when they go on.
///
/// `begin` is called once all of them are silent; its result is returned.
pub fn fall_silent<F, T>(servers: &[&dyn Pause], time: Duration, begin: F) -> T
where
    F: FnOnce() -> T,
{
    servers.iter().for_each(|server| server.pause());
    let result = begin();
    thread::sleep(time);
    servers.iter().for_each(|server| server.resume());
    result
}
