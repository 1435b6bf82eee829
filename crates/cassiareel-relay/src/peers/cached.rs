//! The newest value of something that is read repeatedly.

use std::{
    cmp::Ordering,
    sync::{Arc, Mutex},
    time::Duration,
};

use cassiareel::runtime::lock;

use crate::clock::{self, Moment};

/// The newest value, and when the read that returned it began.
#[derive(Debug)]
pub(crate) struct Cached<T> {
    inner: Mutex<Option<(Arc<T>, Moment)>>,
}

impl<T> Cached<T> {
    /// Replaces the cached value.
    pub(super) fn replace(&self, value: Arc<T>, read_began: Moment) {
        *lock(&self.inner) = Some((value, read_began));
    }

    /// Replaces the cached value if the new one is newer by its key, and reports whether it was. An
    /// older value, which a delayed answer may bring, is ignored.
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

    /// Returns the value and when its read began.
    pub(crate) fn get(&self) -> Option<(Arc<T>, Moment)> {
        lock(&self.inner).clone()
    }

    /// Returns the time since the read of the value began.
    pub(crate) fn age(&self) -> Option<Duration> {
        let (_, read_began) = self.get()?;
        Some(clock::now().saturating_sub(read_began))
    }

    /// Records that a read that began at `read_began` returned the same value, if the cached one
    /// still fulfils a condition.
    pub(super) fn confirm_if<F>(&self, read_began: Moment, condition: F)
    where
        F: FnOnce(&T) -> bool,
    {
        if let Some((value, known)) = lock(&self.inner).as_mut() {
            if condition(value) {
                *known = read_began.max(*known);
            }
        }
    }

    /// Records that a read that began at `read_began` returned the same value.
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
