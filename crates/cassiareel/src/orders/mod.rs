/*!
Non-idempotent calls: runs the state machine of [`kernel::order`](crate::kernel::order) with records
in the object API.

Each call has its own task, which continues after its caller disconnects, so that the outcome of an
order is stored even if nobody waits for the answer any more. An [`OrderClient`] sends the order to
the service. Each order is one object in the store; an order costs two writes, and a repeated call
costs one rejected write and one read.
*/

mod client;
mod driver;
#[cfg(test)]
mod driver_tests;
mod keeper;
mod operator;
mod recent;
mod records;

pub use client::{OrderClient, SendResult};
pub use driver::{Orders, Request};
pub use operator::{OpenOrder, SettleError};
pub(crate) use records::now_ms;
pub use records::{record_name, KIND};
