/*!
How a service bears its load, as one node sees it, and what follows for the requests that come.

It answers the load past capacity. Each account gets its share of what is served lately; what can't be
served is refused at once and told when to come back; copies of runs' memory give way where memory is
needed for the runs themselves.
*/

use std::time::Duration;

use cassiareel::kernel::admission::{Throttle, Throttled};

use crate::{
    clock::Moment,
    model::{AccountId, Prompt},
};

/// What a token that is generated costs, in prompt tokens that are read.
const OUTPUT_COST: f64 = 10.0;

/// The weight of the newest request in the usual size.
const NEWEST: f64 = 0.05;

/// The weight of the newest report in the fill of engines.
const NEWEST_FILL: f64 = 0.15;

/// The weight of the newest prompt in the time that a token takes to be read.
const NEWEST_READ: f64 = 0.1;

/// The fill of engines' memory up to which copies are made, and from which none is.
const COPIES: std::ops::Range<f64> = 0.35..0.5;

/// How much more urgent each rank is than the next: the share of what is contended that it may take.
const RANK: f64 = 8.0;

/// When a caller may come back where all of the demand is served, in parts of its objective.
const RETURN: f64 = 0.15;

/// The latest time to come back, in parts of the objective: time is left to be served in.
const LATEST: f64 = 0.25;

/// The shortest time to come back.
const SOONEST: Duration = Duration::from_millis(50);

/// The scatter of the time to come back, in parts of it, so that callers don't come back together.
const SPREAD: std::ops::Range<f64> = 0.7..1.3;

/// The least time that a request may wait behind others, in parts of its objective: one that is long,
/// or that was held up before, is not kept out by that alone.
const LEAST_PATIENCE: f64 = 0.2;

/// How long a request may wait for those that came before it, if it is to be answered in time.
///
/// `age` is the time since it came, `work` what its answer takes without a wait, and `part` the part of
/// its objective that it may wait at most.
pub fn max_wait(objective: Duration, age: Duration, work: Duration, part: f64) -> Duration {
    let left = objective.saturating_sub(age).saturating_sub(work);
    left.min(objective.mul_f64(part))
        .max(objective.mul_f64(LEAST_PATIENCE))
}

/// What a service has to do and serves lately.
#[derive(Debug, Default)]
pub struct ServiceLoad {
    throttle: Throttle<(AccountId, u8)>,
    /// The usual cost of a request, in prompt tokens.
    mean_cost: f64,
    /// The usual size of a prompt, in tokens.
    mean_input: f64,
    /// Seconds in which an engine that does nothing else reads a prompt token, once one was seen.
    prefill_per_token: Option<f64>,
    /// The part of engines' memory that is in use.
    memory_fill: f64,
}

/// Whose request it is, and how urgent.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// The client account; empty where no key is needed.
    pub account: AccountId,
    /// The rank, 0 first.
    pub priority: u8,
    /// The account's weight.
    pub weight: f64,
    /// The cost, in usual requests.
    pub cost: f64,
}

impl ServiceLoad {
    /// The cost of a request, in usual ones of its service.
    pub fn relative_cost(&mut self, prompt: &Prompt) -> f64 {
        let cost = prompt.input as f64 + prompt.max_output as f64 * OUTPUT_COST;
        if cost == 0.0 {
            return 1.0;
        }
        if self.mean_cost == 0.0 {
            self.mean_cost = cost;
            self.mean_input = prompt.input as f64;
        }
        self.mean_cost += (cost - self.mean_cost) * NEWEST;
        self.mean_input += (prompt.input as f64 - self.mean_input) * NEWEST;
        cost / self.mean_cost
    }

    /// Counts a request and lets it in or not; `random` is a number from 0 to 1. Returns the part of
    /// a backend server's room that the request has to leave to others.
    ///
    /// # Errors
    ///
    /// Fails with what decided where the account asks for more than its share.
    pub fn admit(
        &mut self,
        claim: &AdmissionRequest,
        now: Moment,
        random: f64,
    ) -> Result<f64, Throttled> {
        let weight = claim.weight * RANK.powi(-i32::from(claim.priority));
        let account = (claim.account.clone(), claim.priority);
        self.throttle
            .admit(&account, weight, claim.cost, now, random)
    }

    /// Notes that a request that was let in was not served, or not in time.
    pub fn record_unserved(&mut self, claim: &AdmissionRequest, now: Moment) {
        let account = (claim.account.clone(), claim.priority);
        self.throttle.record_unserved(&account, claim.cost, now);
    }

    /// Takes in the fill of an engine's memory, as it told.
    pub fn record_fill(&mut self, fill: f64) {
        self.memory_fill += (fill - self.memory_fill) * NEWEST_FILL;
    }

    /// Takes in the time that an engine without other prompts took to read one.
    pub fn record_prefill(&mut self, tokens: u64, took: Duration) {
        if tokens > 0 {
            let each = took.as_secs_f64() / tokens as f64;
            let old = self.prefill_per_token.unwrap_or(each);
            self.prefill_per_token = Some(old + (each - old) * NEWEST_READ);
        }
    }

    /// The time in which an engine reads a prompt of `tokens`; none while nothing is known of it, so
    /// that nobody is refused for a guess.
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(self.prefill_per_token.unwrap_or(0.0) * tokens as f64)
    }

    /// The time in which an engine reads a prompt of usual size.
    pub fn mean_prefill_time(&self) -> Duration {
        self.prefill_time(self.mean_input as u64)
    }

    /// Reports whether a copy of a run's memory may be made: memory is needed for runs first.
    /// `random` is a number from 0 to 1.
    pub fn may_copy(&self, random: f64) -> bool {
        let over = (self.memory_fill - COPIES.start) / (COPIES.end - COPIES.start);
        random >= over
    }

    /// When a caller that is refused may come back; `random` is a number from 0 to 1.
    ///
    /// The less of the demand is served, the later a place comes free for one of those that wait.
    pub fn retry_after(&mut self, objective: Duration, now: Moment, random: f64) -> Duration {
        let served = self.throttle.served_fraction(now).max(RETURN / LATEST);
        let spread = SPREAD.start + random * (SPREAD.end - SPREAD.start);
        let after = objective.mul_f64(RETURN / served * spread);
        after.max(SOONEST)
    }
}
