/*!
A non-idempotent call, run at most once.

The store's record of an order is written before the first byte goes to the service. Whoever created
the record, or took it over from an attempt that says of itself that it sent nothing, may send;
nobody else does. The permission does not depend on a clock: an order whose holder is paused, dead or
cut off is never sent by another, and ends as unknown unless the service tells what became of it.

The record goes through these states:

- *claimed*: the attempt that it names may send.
- *not run*: the attempt sent nothing and never will; another attempt may take the record over.
- *done*: the outcome is stored, and answers each repeat.
- *unknown*: the service may have run it; operators list, ask and settle these.
- *settled*: an operator said what became of it; final for its key.
- *expired*: the outcome was dropped by age; a repeat is told so and does not run.
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
