/*!
Non-idempotent calls: the driver of [`kernel::order`](crate::kernel::order) over the object API.

Each call has a task of its own that outlives its caller: what became of an order is stored even
when nobody waits for the answer any more. A [`OrderClient`] carries the order to the service; the store
is one object an order, so that an order costs two writes, and a repeat one refused write and one
read.
*/

mod client;
mod driver;
#[cfg(test)]
mod driver_tests;
mod operator;
mod records;

pub use client::{OrderClient, SendResult};
pub use driver::{Orders, Request};
pub use operator::{OpenOrder, SettleError};
pub(crate) use records::now_ms;
pub use records::{record_name, KIND};
