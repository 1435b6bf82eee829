/*!
Which backend servers are believed to fail, from what their answers show.

A backend server that drops connections is left alone for a moment that grows while it goes on
failing. Where several of one data centre fail together, the others there are avoided as well, since
whatever took the first ones mostly takes them all. One that fails a larger part of its requests than
its service does is used less.
*/

use std::{collections::HashMap, time::Duration};

use crate::{
    clock::Moment,
    model::{DataCentre, ServiceId},
};

/// How long a backend server is avoided after its first failure.
const FIRST_PAUSE: Duration = Duration::from_millis(800);

/// The longest time for which a backend server is avoided.
const LONGEST_PAUSE: Duration = Duration::from_secs(5);

/// The weight of the newest answer in a backend server's rates.
const NEWEST: f64 = 0.1;

/// Failures of different backend servers within this time count as one event.
const TOGETHER: Duration = Duration::from_millis(700);

/// Failed backend servers of one data centre that make all of it suspect.
const MANY: usize = 3;

/// How long a data centre's backend servers are avoided.
const ZONE_PAUSE: Duration = Duration::from_millis(900);

/// What one backend server's answers showed.
#[derive(Clone, Debug, Default)]
pub struct Health {
    avoid_until: Option<Moment>,
    loss_streak: u32,
    error_rate: f64,
    latency: Option<f64>,
    service_time: Option<f64>,
}

impl Health {
    /// Takes in a lost connection, a silent run or an answer that is none.
    pub fn record_loss(&mut self, now: Moment) {
        let pause = FIRST_PAUSE * 2u32.pow(self.loss_streak.min(4));
        self.loss_streak += 1;
        self.avoid_until = Some(now + pause.min(LONGEST_PAUSE));
        self.record_outcome(true);
    }

    /// Takes in a whole answer.
    pub fn record_answer(&mut self, failed: bool, took: Duration) {
        self.loss_streak = 0;
        self.avoid_until = None;
        self.record_outcome(failed);
        let took = took.as_secs_f64() * 1000.0;
        self.latency = Some(self.latency.map_or(took, |old| old + (took - old) * NEWEST));
    }

    /// Takes in the time of an answer while nothing waited there.
    pub fn record_service_time(&mut self, took: Duration) {
        let took = took.as_secs_f64() * 1000.0;
        self.service_time = Some(
            self.service_time
                .map_or(took, |old| old + (took - old) * NEWEST),
        );
    }

    /// Takes in a sign of life.
    pub fn record_activity(&mut self) {
        self.loss_streak = 0;
        self.avoid_until = None;
    }

    /// Reports whether new work should go elsewhere.
    pub fn is_suspect(&self, now: Moment) -> bool {
        self.avoid_until.is_some_and(|until| now < until)
    }

    /// The share of failed answers, the newest weighing most.
    pub fn error_rate(&self) -> f64 {
        self.error_rate
    }

    /// The mean time to an answer in milliseconds, the newest weighing most.
    pub fn latency(&self) -> Option<f64> {
        self.latency
    }

    /// The mean time to an answer in milliseconds without a wait, as far as it is known.
    pub fn service_time(&self) -> Option<f64> {
        self.service_time.or(self.latency)
    }

    fn record_outcome(&mut self, failed: bool) {
        let sample = if failed { 1.0 } else { 0.0 };
        self.error_rate += (sample - self.error_rate) * NEWEST;
    }
}

/// Failures by service and data centre.
#[derive(Debug, Default)]
pub struct DataCentreHealth {
    recent_losses: HashMap<(ServiceId, DataCentre), Vec<(Moment, u64)>>,
}

impl DataCentreHealth {
    /// Takes in that the backend server numbered `member` was lost.
    pub fn record_loss(
        &mut self,
        service: &ServiceId,
        zone: &DataCentre,
        member: u64,
        now: Moment,
    ) {
        let losses = self
            .recent_losses
            .entry((service.clone(), zone.clone()))
            .or_default();
        losses.retain(|(at, id)| now.saturating_sub(*at) < TOGETHER + ZONE_PAUSE && *id != member);
        losses.push((now, member));
    }

    /// When a backend server of a data centre was lost last.
    ///
    /// One that was not heard since may be lost as well, without anybody having noticed.
    pub fn last_loss(&self, service: &ServiceId, zone: &DataCentre) -> Option<Moment> {
        let losses = self.recent_losses.get(&(service.clone(), zone.clone()))?;
        losses.last().map(|(at, _)| *at)
    }

    /// Reports whether so many failed together that the whole data centre is suspect.
    pub fn is_suspect(&self, service: &ServiceId, zone: &DataCentre, now: Moment) -> bool {
        let Some(losses) = self.recent_losses.get(&(service.clone(), zone.clone())) else {
            return false;
        };
        let Some((last, _)) = losses.last() else {
            return false;
        };
        let together = losses
            .iter()
            .filter(|(at, _)| last.saturating_sub(*at) < TOGETHER)
            .count();
        together >= MANY && now.saturating_sub(*last) < ZONE_PAUSE
    }
}
