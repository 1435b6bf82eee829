//! A token bucket for rate limits.

use std::time::Duration;

/// A rate limit that permits bursts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Duration,
}

impl TokenBucket {
    /// Creates a full bucket that refills with `rate` tokens per second up to `burst` tokens.
    pub(crate) fn new(rate: f64, burst: f64) -> TokenBucket {
        TokenBucket {
            rate,
            burst,
            tokens: burst,
            refilled_at: Duration::ZERO,
        }
    }

    /// Takes one token, or fails with the time until one is available.
    pub(crate) fn take(&mut self, now: Duration) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens < 1.0 {
            return Err(Duration::from_secs_f64((1.0 - self.tokens) / self.rate));
        }
        self.tokens -= 1.0;
        Ok(())
    }

    /// Reserves an amount of tokens, even if the bucket does not hold them yet, and returns the time
    /// until they are refilled.
    pub(crate) fn reserve(&mut self, amount: f64, now: Duration) -> Duration {
        self.refill(now);
        self.tokens -= amount;
        Duration::from_secs_f64((-self.tokens / self.rate).max(0.0))
    }

    fn refill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + passed * self.rate).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }
}
