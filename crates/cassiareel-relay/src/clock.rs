/*!
A clock that also counts the time during which the VM stood still.

What a node knows grows old while it is suspended, and the time of day jumps. Decisions therefore
take their times from the clock that counts from the VM's start and goes on during a suspension.
*/

use std::{future::Future, time::Duration};

use futures_lite::FutureExt;
use rustix::time::{clock_gettime, ClockId};
use smol::Timer;

/// A point in time, counted from the VM's start.
pub type Moment = Duration;

/// The time now.
///
/// # Examples
///
/// ```
/// let then = cassiareel_relay::clock::now();
/// assert!(cassiareel_relay::clock::now() >= then);
/// ```
pub fn now() -> Moment {
    let time = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(secs, nanos)
}

/// Waits for a future for at most `limit`; `None` where it was not ready by then.
pub(crate) async fn within<F>(limit: Duration, future: F) -> Option<F::Output>
where
    F: Future,
{
    let ready = async { Some(future.await) };
    let late = async {
        Timer::after(limit).await;
        None
    };
    ready.or(late).await
}
