//! What carries an order to its service.

use crate::{
    kernel::order::{Outcome, QueryResult},
    wire::BoxFuture,
};

/// What became of a sent order, as far as its courier saw.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SendResult {
    /// The service answered under the order's name.
    Answered(Outcome),
    /// No byte went out, or the service said that it ran nothing.
    NotSent,
    /// The answer was lost, crossed, or does not say whether the order ran.
    Lost,
}

/// Carries orders to a service.
pub trait OrderClient: Send + Sync {
    /// Sends an order under its name, once.
    fn send(&self, name: &str) -> BoxFuture<'static, SendResult>;

    /// Asks the service what became of an order.
    fn query(&self, name: &str) -> BoxFuture<'static, QueryResult>;
}
