/*!
Non-idempotent calls: the driver of [`kernel::order`](crate::kernel::order) over the object API.

Each call has a task of its own that outlives its caller: what became of an order is stored even
when nobody waits for the answer any more. A [`OrderClient`] carries the order to the service; the store
is one object an order, so that an order costs two writes, and a repeat one refused write and one
read.
*/

mod courier;
mod desk;
mod driver;
#[cfg(test)]
mod driver_tests;
mod store;

pub use courier::{OrderClient, SendResult};
pub use desk::{OpenOrder, SettleError};
pub use driver::{Orders, Request};
pub(crate) use store::now_ms;
pub use store::{record_name, KIND};
