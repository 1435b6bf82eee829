//! Operations on orders for operators: listing, settling and expiring them.

use std::time::Duration;

use snafu::Snafu;

use super::{
    records::{new_object, now_ms, KIND},
    Orders,
};
use crate::{
    kernel::order::{Expiry, Record, State, Verdict},
    store::{Object, StoreError, StoreVersion},
};

/// An order that waits for an operator or may still be running.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OpenOrder {
    /// The name under which the order was sent to its service.
    pub name: String,
    /// The order's record.
    pub record: Record,
    /// Time since the record was last written.
    pub age: Duration,
}

/// The reason why an order was not settled.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum SettleError {
    /// There is no order of that name.
    #[snafu(display("there is no order {name:?}"))]
    Missing {
        /// The name.
        name: String,
    },
    /// The outcome of the order is already known.
    #[snafu(display("order {name:?} is not open: {state}"))]
    NotOpen {
        /// The name.
        name: String,
        /// The state of the order.
        state: String,
    },
    /// The order may still be running.
    #[snafu(display(
        "order {name:?} was written {age:?} ago and may still run; wait for {wait:?}"
    ))]
    TooRecent {
        /// The name.
        name: String,
        /// Time since the record was last written.
        age: Duration,
        /// Time after which it can be settled.
        wait: Duration,
    },
    /// The store can't be read or written.
    #[snafu(display("{source}"))]
    Store {
        /// The store's error.
        source: StoreError,
    },
}

impl Orders {
    /// Lists the orders that are claimed or whose outcome is unknown, the oldest first.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't be read.
    pub async fn list_open(&self) -> Result<Vec<OpenOrder>, StoreError> {
        let listing = self.records().objects.list(KIND).await?;
        let mut open: Vec<OpenOrder> = listing
            .objects
            .into_iter()
            .filter_map(|object| {
                let name = object.name.clone();
                let record = self.records().parse(object, Duration::ZERO)?.record;
                let age = Duration::from_millis(now_ms().saturating_sub(record.since_ms));
                let is_open = matches!(record.state, State::Claimed | State::Unknown);
                is_open.then_some(OpenOrder { name, record, age })
            })
            .collect();
        open.sort_by_key(|order| std::cmp::Reverse(order.age));
        Ok(open)
    }

    /// Settles an order that has been open for at least `wait`.
    ///
    /// The verdict is final for the order's key: a repeated call is answered with it and never runs.
    ///
    /// # Errors
    ///
    /// Returns an error, and changes nothing, if the order does not exist, is not open, or was written
    /// less than `wait` ago. Returns an error if the store can't be read or written.
    pub async fn settle(
        &self,
        name: &str,
        verdict: Verdict,
        wait: Duration,
    ) -> Result<(), SettleError> {
        let missing = || SettleError::Missing {
            name: name.to_owned(),
        };
        let stored = self
            .records()
            .objects
            .get(KIND, name)
            .await
            .map_err(|source| SettleError::Store { source })?
            .ok_or_else(missing)?;
        let version = stored.version;
        let record = self
            .records()
            .parse(stored, Duration::ZERO)
            .ok_or_else(missing)?
            .record;
        let age = Duration::from_millis(now_ms().saturating_sub(record.since_ms));
        if !matches!(record.state, State::Claimed | State::Unknown) {
            return Err(SettleError::NotOpen {
                name: name.to_owned(),
                state: format!("{:?}", record.state),
            });
        }
        if age < wait {
            let name = name.to_owned();
            return Err(SettleError::TooRecent { name, age, wait });
        }
        let settled = Record {
            since_ms: now_ms(),
            state: State::Settled { verdict },
            ..record
        };
        self.replace(&settled, version)
            .await
            .map_err(|source| SettleError::Store { source })
    }

    /// Applies the expiry rule to every record; returns how many records were shrunk or deleted.
    ///
    /// One node at a time is enough. Two at the same time do no harm, because each write names the
    /// version that it replaces.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't be read. A record that can't be written is left to the next
    /// call.
    pub async fn expire(&self, keep: Duration) -> Result<usize, StoreError> {
        let listing = self.records().objects.list(KIND).await?;
        let mut changed = 0;
        for stored in listing.objects {
            let Some(stored_record) = self.records().parse(stored.clone(), Duration::ZERO) else {
                continue;
            };
            let result = match stored_record.record.expire(now_ms(), keep) {
                Expiry::Keep => continue,
                Expiry::Shrink(record) => self.replace(&record, stored_record.version).await,
                Expiry::Delete => self.records().objects.delete(&stored).await,
            };
            changed += usize::from(result.is_ok());
        }
        Ok(changed)
    }

    async fn replace(&self, record: &Record, version: StoreVersion) -> Result<(), StoreError> {
        let object = Object {
            version,
            ..new_object(record)
        };
        self.records().objects.update(&object).await.map(drop)
    }
}
