//! A token bucket.

use std::time::Duration;

/// A limit on the rate of something, with room for a burst.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: Duration,
}

impl TokenBucket {
    /// A full bucket that refills at `rate` a second up to `burst`.
    pub(crate) fn new(rate: f64, burst: f64) -> TokenBucket {
        TokenBucket {
            rate,
            burst,
            level: burst,
            at: Duration::ZERO,
        }
    }

    /// Takes one, or tells how long to wait for it.
    pub(crate) fn take(&mut self, now: Duration) -> Result<(), Duration> {
        self.refill(now);
        if self.level < 1.0 {
            return Err(Duration::from_secs_f64((1.0 - self.level) / self.rate));
        }
        self.level -= 1.0;
        Ok(())
    }

    /// Takes an amount on credit, and tells how long to wait until it is paid for.
    pub(crate) fn reserve(&mut self, amount: f64, now: Duration) -> Duration {
        self.refill(now);
        self.level -= amount;
        Duration::from_secs_f64((-self.level / self.rate).max(0.0))
    }

    fn refill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.level = (self.level + passed * self.rate).min(self.burst);
        self.at = self.at.max(now);
    }
}
