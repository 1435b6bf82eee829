//! The newest of something that is read again and again.

use std::{
    cmp::Ordering,
    sync::{Arc, Mutex},
    time::Duration,
};

use cassiareel::runtime::lock;

use crate::clock::{self, Moment};

/// The newest value, and when the read that brought it began.
#[derive(Debug)]
pub(crate) struct Cached<T> {
    inner: Mutex<Option<(Arc<T>, Moment)>>,
}

impl<T> Cached<T> {
    /// Takes in a value in place of the one that is held.
    pub(super) fn replace(&self, value: Arc<T>, read_began: Moment) {
        *lock(&self.inner) = Some((value, read_began));
    }

    /// Takes in a value that is newer by its key; reports whether it was. An older one, as an answer
    /// that was held up may bring, is ignored.
    pub(super) fn replace_if_newer<F, K>(&self, value: Arc<T>, read_began: Moment, key: F) -> bool
    where
        F: Fn(&T) -> K,
        K: Ord,
    {
        let known = self.get().map(|(known, _)| key(&known));
        match known.map(|known| key(&value).cmp(&known)) {
            None | Some(Ordering::Greater) => {
                self.replace(value, read_began);
                true
            }
            Some(Ordering::Equal) => {
                self.confirm(read_began);
                false
            }
            Some(Ordering::Less) => false,
        }
    }

    /// The value.
    pub(crate) fn get(&self) -> Option<(Arc<T>, Moment)> {
        lock(&self.inner).clone()
    }

    /// The time since the read of the value began.
    pub(crate) fn age(&self) -> Option<Duration> {
        let (_, read_began) = self.get()?;
        Some(clock::now().saturating_sub(read_began))
    }

    /// Notes that the value still held at `began`.
    pub(super) fn confirm(&self, read_began: Moment) {
        if let Some((_, known)) = lock(&self.inner).as_mut() {
            *known = read_began.max(*known);
        }
    }
}

impl<T> Default for Cached<T> {
    fn default() -> Cached<T> {
        Cached {
            inner: Mutex::default(),
        }
    }
}
