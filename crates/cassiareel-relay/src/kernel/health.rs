/*!
Which backend servers are assumed to fail, judged by their answers.

A backend server that drops connections is avoided for a time that grows while it keeps failing. If
several of one data centre fail together, the others there are avoided as well, since the cause of
the first failures usually affects the whole data centre. A backend server that fails a larger part
of its requests than its service does is used less.
*/

use std::{collections::HashMap, time::Duration};

use crate::{
    clock::Moment,
    model::{DataCentre, ServiceId},
};

/// How long a backend server is avoided after its first failure.
const FIRST_PAUSE: Duration = Duration::from_millis(800);

/// The longest time for which a backend server is avoided.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// The weight of the newest answer in the moving averages of a backend server.
const NEWEST_WEIGHT: f64 = 0.1;

/// The time within which failures of different backend servers count as one event.
const COMMON_FAILURE_WINDOW: Duration = Duration::from_millis(700);

/// The number of failed backend servers from which on their whole data centre is suspect.
const MIN_COMMON_FAILURES: usize = 3;

/// How long a data centre's backend servers are avoided.
const DATA_CENTRE_PAUSE: Duration = Duration::from_millis(900);

/// The health of one backend server, judged by its answers.
#[derive(Clone, Debug, Default)]
pub struct Health {
    avoid_until: Option<Moment>,
    loss_streak: u32,
    error_rate: f64,
    latency: Option<f64>,
    service_time: Option<f64>,
}

impl Health {
    /// Records a lost connection, a run that stopped sending, or an invalid answer.
    pub fn record_loss(&mut self, now: Moment) {
        let pause = FIRST_PAUSE * 2u32.pow(self.loss_streak.min(4));
        self.loss_streak += 1;
        self.avoid_until = Some(now + pause.min(MAX_PAUSE));
        self.record_outcome(true);
    }

    /// Records a complete answer.
    pub fn record_answer(&mut self, failed: bool, took: Duration) {
        self.loss_streak = 0;
        self.avoid_until = None;
        self.record_outcome(failed);
        let took = took.as_secs_f64() * 1000.0;
        self.latency = Some(
            self.latency
                .map_or(took, |old| old + (took - old) * NEWEST_WEIGHT),
        );
    }

    /// Records the time to an answer of a request that did not wait behind others.
    pub fn record_service_time(&mut self, took: Duration) {
        let took = took.as_secs_f64() * 1000.0;
        self.service_time = Some(
            self.service_time
                .map_or(took, |old| old + (took - old) * NEWEST_WEIGHT),
        );
    }

    /// Records a sign of life, which ends the pause.
    pub fn record_activity(&mut self) {
        self.loss_streak = 0;
        self.avoid_until = None;
    }

    /// Reports whether new requests should go elsewhere.
    pub fn is_suspect(&self, now: Moment) -> bool {
        self.avoid_until.is_some_and(|until| now < until)
    }

    /// Returns the moving average of the share of failed answers.
    pub fn error_rate(&self) -> f64 {
        self.error_rate
    }

    /// Returns the moving average of the time to an answer, in milliseconds.
    pub fn latency(&self) -> Option<f64> {
        self.latency
    }

    /// Returns the moving average of the time to an answer without a wait, in milliseconds; the
    /// latency if that is unknown.
    pub fn service_time(&self) -> Option<f64> {
        self.service_time.or(self.latency)
    }

    fn record_outcome(&mut self, failed: bool) {
        let sample = if failed { 1.0 } else { 0.0 };
        self.error_rate += (sample - self.error_rate) * NEWEST_WEIGHT;
    }
}

/// The recent losses of backend servers by service and data centre.
#[derive(Debug, Default)]
pub struct DataCentreHealth {
    recent_losses: HashMap<(ServiceId, DataCentre), Vec<(Moment, u64)>>,
}

impl DataCentreHealth {
    /// Records the loss of the backend server with the number `member`.
    pub fn record_loss(
        &mut self,
        service: &ServiceId,
        data_centre: &DataCentre,
        member: u64,
        now: Moment,
    ) {
        let losses = self
            .recent_losses
            .entry((service.clone(), data_centre.clone()))
            .or_default();
        losses.retain(|(at, id)| {
            now.saturating_sub(*at) < COMMON_FAILURE_WINDOW + DATA_CENTRE_PAUSE && *id != member
        });
        losses.push((now, member));
    }

    /// Returns when a backend server of a data centre was last lost.
    ///
    /// Another one there from which nothing was received since may be lost as well without having
    /// been noticed.
    pub fn last_loss(&self, service: &ServiceId, data_centre: &DataCentre) -> Option<Moment> {
        let losses = self
            .recent_losses
            .get(&(service.clone(), data_centre.clone()))?;
        losses.last().map(|(at, _)| *at)
    }

    /// Reports whether so many backend servers failed together that the whole data centre is
    /// suspect.
    pub fn is_suspect(&self, service: &ServiceId, data_centre: &DataCentre, now: Moment) -> bool {
        let Some(losses) = self
            .recent_losses
            .get(&(service.clone(), data_centre.clone()))
        else {
            return false;
        };
        let Some((last, _)) = losses.last() else {
            return false;
        };
        let common = losses
            .iter()
            .filter(|(at, _)| last.saturating_sub(*at) < COMMON_FAILURE_WINDOW)
            .count();
        common >= MIN_COMMON_FAILURES && now.saturating_sub(*last) < DATA_CENTRE_PAUSE
    }
}
