//! The interface through which orders are sent to a service.

use crate::{
    kernel::order::{Outcome, QueryResult},
    wire::BoxFuture,
};

/// The result of sending an order, as far as the client knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SendResult {
    /// The service answered for the order's name.
    Answered(Outcome),
    /// Nothing was sent, or the service answered that it did not run the order.
    NotSent,
    /// The answer was lost, belongs to another order, or does not say whether the order ran.
    Lost,
}

/// Sends orders to a service.
pub trait OrderClient: Send + Sync {
    /// Sends an order once, identified by its name.
    fn send(&self, name: &str) -> BoxFuture<'static, SendResult>;

    /// Queries the service for the outcome of an order.
    fn query(&self, name: &str) -> BoxFuture<'static, QueryResult>;
}
