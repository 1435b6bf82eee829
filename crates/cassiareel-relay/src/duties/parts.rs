//! What a platform's adapter provides for the duties.

use std::sync::Arc;

use cassiareel::store::ConditionalStore;

use super::DutyTarget;

/// The remote sides of the duties.
#[derive(Clone)]
pub struct DutyParts {
    /// The names of the duties, as the relay's settings name them.
    pub kinds: Vec<String>,
    /// The store of the lease and of other objects that are replaced on a condition.
    pub store: Arc<dyn ConditionalStore>,
    /// The receiver of the calls.
    pub target: Arc<dyn DutyTarget>,
}
