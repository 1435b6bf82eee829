/*!
How one node handles the load of a service.

This protects a service under more load than its capacity. Each account gets its share of what was
served recently; a request that can't be served is rejected at once, with a time at which to retry;
and copies of runs' memory are skipped when the memory is needed for the runs themselves.
*/

use std::time::Duration;

use cassiareel::kernel::admission::{Throttle, Throttled};

use super::{PriorityDemand, SendRate};
use crate::{
    clock::Moment,
    model::{AccountId, Prompt},
};

/// The cost of generating a token, relative to prefilling a prompt token.
const OUTPUT_TOKEN_COST: f64 = 10.0;

/// The weight of the newest request in the average size.
const NEWEST_SIZE_WEIGHT: f64 = 0.05;

/// The weight of the newest report in the fill of engines' memory.
const NEWEST_FILL_WEIGHT: f64 = 0.15;

/// The weight of the newest prompt in the prefill time of a token.
const NEWEST_PREFILL_WEIGHT: f64 = 0.1;

/// The fill of engines' memory up to which all copies are made, and from which on none is.
const COPY_FILL: std::ops::Range<f64> = 0.35..0.5;

/// The factor between the weights of adjacent priorities, in the division of contended capacity.
const PRIORITY_FACTOR: f64 = 8.0;

/// The retry delay if all of the demand is served, as a part of the objective.
const RETRY_PART: f64 = 0.15;

/// The longest retry delay before the random spread, as a part of the objective: the rest is left
/// to serve the request.
const MAX_RETRY_PART: f64 = 0.25;

/// The shortest retry delay.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The range of the random factor on the retry delay, which keeps callers from retrying together.
const RETRY_SPREAD: std::ops::Range<f64> = 0.7..1.3;

/// The smallest value of the longest wait behind other requests, as a part of the objective. It
/// keeps a request from being rejected only because it is long or was delayed before.
const MIN_WAIT_PART: f64 = 0.2;

/// Returns the longest time that a request may wait for earlier ones if it is to be answered in
/// time.
///
/// `age` is the time since its arrival, `work` the time of its answer without a wait, and `part`
/// the largest part of its objective that it may wait.
pub fn max_wait(objective: Duration, age: Duration, work: Duration, part: f64) -> Duration {
    let left = objective.saturating_sub(age).saturating_sub(work);
    left.min(objective.mul_f64(part))
        .max(objective.mul_f64(MIN_WAIT_PART))
}

/// The recent demand and load of one service.
#[derive(Debug, Default)]
pub struct ServiceLoad {
    throttle: Throttle<(AccountId, u8)>,
    /// The bound on sends, if it is a plain service.
    pub sends: SendRate,
    /// The demand by priority, if it runs a model.
    pub priorities: PriorityDemand,
    /// The average cost of a request, in prompt tokens.
    mean_cost: f64,
    /// The average length of a prompt, in tokens.
    mean_input: f64,
    /// The time in which an engine without other work prefills a prompt token, in seconds; `None`
    /// before it was measured.
    prefill_per_token: Option<f64>,
    /// The part of engines' memory that is in use.
    memory_fill: f64,
}

/// The facts of a request that decide whether it is admitted.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// The client account; empty if the route needs no key.
    pub account: AccountId,
    /// The priority, 0 being the highest.
    pub priority: u8,
    /// The account's weight.
    pub weight: f64,
    /// The cost, as a multiple of an average request's.
    pub cost: f64,
}

impl ServiceLoad {
    /// Returns the cost of a request as a multiple of the service's average cost, which it updates.
    pub fn relative_cost(&mut self, prompt: &Prompt) -> f64 {
        let cost = prompt.input as f64 + prompt.max_output as f64 * OUTPUT_TOKEN_COST;
        if cost == 0.0 {
            return 1.0;
        }
        if self.mean_cost == 0.0 {
            self.mean_cost = cost;
            self.mean_input = prompt.input as f64;
        }
        self.mean_cost += (cost - self.mean_cost) * NEWEST_SIZE_WEIGHT;
        self.mean_input += (prompt.input as f64 - self.mean_input) * NEWEST_SIZE_WEIGHT;
        cost / self.mean_cost
    }

    /// Counts a request and decides whether it is admitted; `random` is a number from 0 to 1.
    /// Returns the part of a backend server's room that the request has to leave free for others.
    ///
    /// # Errors
    ///
    /// Fails with the facts of the decision if the account exceeds its share.
    pub fn admit(
        &mut self,
        request: &AdmissionRequest,
        now: Moment,
        random: f64,
    ) -> Result<f64, Throttled> {
        let weight = request.weight * PRIORITY_FACTOR.powi(-i32::from(request.priority));
        let account = (request.account.clone(), request.priority);
        self.throttle
            .admit(&account, weight, request.cost, now, random)
    }

    /// Records that an admitted request was not served, or not in time.
    pub fn record_unserved(&mut self, request: &AdmissionRequest, now: Moment) {
        let account = (request.account.clone(), request.priority);
        self.throttle.record_unserved(&account, request.cost, now);
    }

    /// Records the fill of an engine's memory, as reported by the engine.
    pub fn record_fill(&mut self, fill: f64) {
        self.memory_fill += (fill - self.memory_fill) * NEWEST_FILL_WEIGHT;
    }

    /// Records the time in which an engine without other prompts prefilled one.
    pub fn record_prefill(&mut self, tokens: u64, took: Duration) {
        if tokens > 0 {
            let each = took.as_secs_f64() / tokens as f64;
            let old = self.prefill_per_token.unwrap_or(each);
            self.prefill_per_token = Some(old + (each - old) * NEWEST_PREFILL_WEIGHT);
        }
    }

    /// Returns the time in which an engine prefills a prompt of `tokens`; zero before a
    /// measurement, so that no request is rejected because of a guess.
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(self.prefill_per_token.unwrap_or(0.0) * tokens as f64)
    }

    /// Returns the time in which an engine prefills a prompt of average length.
    pub fn mean_prefill_time(&self) -> Duration {
        self.prefill_time(self.mean_input as u64)
    }

    /// Returns the average number of tokens of a request at its end.
    pub fn mean_tokens(&self) -> u64 {
        let output = (self.mean_cost - self.mean_input) / OUTPUT_TOKEN_COST;
        (self.mean_input + output.max(0.0)) as u64
    }

    /// Reports whether a copy of a run's memory may be made: the fuller the engines' memory is, the
    /// fewer copies, since the runs themselves need it first. `random` is a number from 0 to 1.
    pub fn may_copy(&self, random: f64) -> bool {
        let excess = (self.memory_fill - COPY_FILL.start) / (COPY_FILL.end - COPY_FILL.start);
        random >= excess
    }

    /// Returns the delay after which the caller of a rejected request may retry; `random` is a
    /// number from 0 to 1.
    ///
    /// The smaller the served part of the demand, the longer it takes until a waiting request finds
    /// room.
    pub fn retry_after(&mut self, objective: Duration, now: Moment, random: f64) -> Duration {
        let served = self
            .throttle
            .served_fraction(now)
            .max(RETRY_PART / MAX_RETRY_PART);
        let spread = RETRY_SPREAD.start + random * (RETRY_SPREAD.end - RETRY_SPREAD.start);
        let delay = objective.mul_f64(RETRY_PART / served * spread);
        delay.max(MIN_RETRY_DELAY)
    }
}
