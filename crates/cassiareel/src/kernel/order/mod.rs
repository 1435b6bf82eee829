/*!
Non-idempotent calls, each of which runs at most once.

The store's record of an order is written before the first byte goes to the service. Only the call
that created the record, or took it over from an attempt that is recorded as having sent nothing,
may send. The permission does not depend on a clock: if the attempt that holds it is paused, crashed
or partitioned, no other attempt sends the order, and the order ends as unknown unless the service
reports its outcome.

A record has one of these states:

- *claimed*: the attempt named in the record may send.
- *not run*: the attempt sent nothing and never will; another attempt may take the record over.
- *done*: the outcome is stored, and answers each repeated call.
- *unknown*: the service may have run the order; operators list these orders, query the service
  about them and settle them.
- *settled*: an operator recorded whether the order ran; final for its key.
- *expired*: the outcome was dropped because of its age; a repeated call is answered accordingly and
  does not run.
*/

mod action;
mod event;
mod machine;
#[cfg(test)]
mod machine_tests;
mod record;
#[cfg(test)]
mod record_tests;

pub use action::{Action, EarlierCalls, Reply};
pub use event::{Event, QueryResult, StoredRecord, WriteError};
#[cfg(test)]
pub(crate) use machine::Mutation;
pub use machine::{Limits, Order};
pub use record::{key_timestamp_ms, Expiry, Outcome, Record, State, Verdict};
