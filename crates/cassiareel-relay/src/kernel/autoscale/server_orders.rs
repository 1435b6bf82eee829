//! The orders of one subject: what was sent, what was answered, and what has to be sent again.

use std::time::Duration;

use crate::clock::Moment;

/// How long after it was sent an order may still be carried out.
pub(super) const MAX_LATENESS: Duration = Duration::from_secs(15);

/// The interval at which an order is repeated while an earlier one may still be carried out after it.
/// What the earlier one removes is lacking until a new server has started.
const REPEAT_INTERVAL: Duration = Duration::from_secs(2);

/// The interval at which an order that the platform refused is sent again.
const REFUSED_INTERVAL: Duration = Duration::from_secs(5);

/// The interval at which an order without an answer is sent again. Each repeat is one more call that may
/// be carried out late.
const UNANSWERED_INTERVAL: Duration = Duration::from_secs(2);

/// The result of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The platform has accepted it.
    Answered,
    /// It was not sent, or the platform takes no more calls at the moment.
    NotTaken,
    /// The platform refused it.
    Refused,
    /// No answer came; it may still be carried out.
    Unanswered,
}

/// The orders for a service's servers in one data centre, in one term of the holder.
#[derive(Debug, Default)]
pub struct ServerOrders {
    /// The number that was last answered.
    answered: Option<u32>,
    /// The number that was last sent, and when.
    sent: Option<(u32, Moment)>,
    /// Whether the last order was answered with success.
    is_settled: bool,
    /// Until when an earlier order without an answer may still be carried out.
    doubtful_until: Option<Moment>,
    /// When an order that failed may be sent again.
    retry_at: Moment,
    /// Since when another number of servers is listed than was ordered.
    differs_since: Option<Moment>,
}

impl ServerOrders {
    /// Reports whether an order for `wanted` servers has to be sent: where another number was answered
    /// last, or `baseline` where none was; where the last order has no answer; and where an earlier
    /// order may have been carried out after the last one. `boot` is the time until an added server
    /// is listed.
    pub fn is_due(
        &mut self,
        wanted: u32,
        baseline: u32,
        listed: u32,
        boot: Duration,
        now: Moment,
    ) -> bool {
        if listed == wanted {
            self.differs_since = None;
        }
        let differs_since = *self.differs_since.get_or_insert(now);
        let is_new = self.sent.is_none_or(|(count, _)| count != wanted);
        if !is_new && !self.is_settled {
            return now >= self.retry_at;
        }
        if self.answered.unwrap_or(baseline) != wanted || (is_new && self.is_open()) {
            return true;
        }
        // Nothing can be read back but the registry.
        let differs = listed != wanted && now.saturating_sub(differs_since) >= boot + MAX_LATENESS;
        differs || self.is_doubtful(now)
    }

    /// Records an order that was sent at `now`.
    pub fn record(&mut self, count: u32, outcome: OrderOutcome, now: Moment) {
        if outcome == OrderOutcome::NotTaken {
            return;
        }
        let was_settled = self.is_settled;
        match self.sent {
            Some((other, at)) if other != count && !was_settled => {
                self.doubtful_until = Some(at + MAX_LATENESS);
            }
            _ if self.doubtful_until.is_some_and(|end| now >= end) => self.doubtful_until = None,
            _ => {}
        }
        self.sent = Some((count, now));
        self.differs_since = None;
        self.is_settled = outcome == OrderOutcome::Answered;
        match outcome {
            OrderOutcome::Answered => self.answered = Some(count),
            OrderOutcome::Refused => self.retry_at = now + REFUSED_INTERVAL,
            OrderOutcome::NotTaken | OrderOutcome::Unanswered => {
                self.retry_at = now + UNANSWERED_INTERVAL;
            }
        }
    }

    /// Reports whether an earlier order may have been carried out after the last one, which has to be
    /// sent again therefore: at an interval, and once more at the end of that time.
    fn is_doubtful(&self, now: Moment) -> bool {
        let (Some(end), Some((_, sent))) = (self.doubtful_until, self.sent) else {
            return false;
        };
        now >= end || now.saturating_sub(sent) >= REPEAT_INTERVAL
    }

    /// Returns the number that was last sent.
    pub fn last(&self) -> Option<u32> {
        self.sent.map(|(count, _)| count)
    }

    /// Reports whether the last order was not answered with success.
    pub fn is_open(&self) -> bool {
        self.sent.is_some() && !self.is_settled
    }
}

impl OrderOutcome {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            OrderOutcome::Answered => "answered",
            OrderOutcome::NotTaken => "not_taken",
            OrderOutcome::Refused => "refused",
            OrderOutcome::Unanswered => "unanswered",
        }
    }
}
