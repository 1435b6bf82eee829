//! HTTP connections that the relay opens: one client for backend servers and for the store.

mod caller;
mod conn;
mod own;
mod pool;

pub use caller::{Caller, Reply};
pub use conn::{Conn, SendFault};
pub use own::own_request;
pub use pool::{Lease, Pool};
