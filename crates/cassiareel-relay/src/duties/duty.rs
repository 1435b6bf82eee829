//! A duty, as the driver of the lease runs it.

use async_trait::async_trait;

use super::target::{DutyError, DutyHolder, ServerOrder, UsageReport};

/// The right to make calls, checked again for each of them.
#[async_trait]
pub(crate) trait DutyCalls: Send + Sync {
    /// Returns the holder that calls are made for; `None` where this node may not make a call now.
    fn holder(&self) -> Option<DutyHolder>;

    /// Reports the usage of one window, if this node may make a call now.
    ///
    /// # Errors
    ///
    /// Fails as [`super::DutyTarget::report_usage`] does, and with [`DutyError::Fenced`] where this node
    /// may not make a call now.
    async fn report_usage(&self, report: &UsageReport) -> Result<(), DutyError>;

    /// Orders a number of backend servers, if this node may make a call now.
    ///
    /// # Errors
    ///
    /// Fails as [`DutyCalls::report_usage`] does.
    async fn order_servers(&self, order: &ServerOrder) -> Result<(), DutyError>;
}

/// One kind of duty.
#[async_trait]
pub(crate) trait Duty: Send {
    /// Does what is due. Called several times a second while this node holds the lease.
    async fn run_due(&mut self, calls: &dyn DutyCalls);

    /// Forgets what it knows of the time as holder, since this node no longer holds the lease.
    fn end_term(&mut self);
}
