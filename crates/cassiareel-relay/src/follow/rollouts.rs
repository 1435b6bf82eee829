//! Follows the operator's moves between versions, and tells their ends.

use std::{sync::Arc, time::Duration};

use smol::Timer;

use super::call::Caller;
use crate::state::State;

/// The time between reads of the operator's orders.
const INTERVAL: Duration = Duration::from_millis(3000);

/// Reads the operator's orders again and again.
pub(crate) async fn follow_rollouts(state: Arc<State>) {
    let mut caller = Caller::new("rollouts");
    loop {
        let read = caller.call(&state, state.source.rollouts()).await;
        let pause = read.map_or_else(|| caller.pause(), |_| INTERVAL);
        Timer::after(pause).await;
    }
}
