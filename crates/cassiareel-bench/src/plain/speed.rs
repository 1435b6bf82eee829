//! The speed of a server, which changes all the time.

use std::ops::Range;

/// The mean speeds of the slowest and the fastest server; the mean over all servers is 1.
const MEAN_RANGE: Range<f64> = 0.75..1.25;

/// The largest factor by which a speed is above or below its usual one.
const SWING: f64 = 2.0;

/// Time between changes, in milliseconds.
const CHANGE_MS: Range<f64> = 50.0..200.0;

/// The speed of one server over time.
#[derive(Clone, Debug)]
pub(super) struct Speed {
    mean: f64,
    is_uneven: bool,
    /// The ends of the spans of one speed, and the factors in them.
    spans: Vec<(f64, f64)>,
    random: fastrand::Rng,
}

impl Speed {
    /// Returns a speed of 1 at all times.
    pub fn even() -> Speed {
        Speed {
            mean: 1.0,
            is_uneven: false,
            spans: vec![(f64::INFINITY, 1.0)],
            random: fastrand::Rng::with_seed(0),
        }
    }

    /// Returns the speed of a server, where `place` is from 0 for the slowest server to 1.
    pub fn uneven(place: f64, seed: u64) -> Speed {
        Speed {
            mean: MEAN_RANGE.start + place * (MEAN_RANGE.end - MEAN_RANGE.start),
            is_uneven: true,
            spans: Vec::new(),
            random: fastrand::Rng::with_seed(seed),
        }
    }

    /// Returns the speed at a time.
    pub fn at(&mut self, now: f64) -> f64 {
        self.mean * self.span(now).1
    }

    /// Returns how long work takes at a time, in hundredths of what is usual at this server.
    pub fn work_percent(&mut self, now: f64) -> Option<u32> {
        let factor = self.span(now).1;
        self.is_uneven.then(|| (100.0 / factor).round() as u32)
    }

    /// Returns the time that work which takes `work` at a speed of 1 takes from `now` on.
    pub fn time_of(&mut self, work: f64, now: f64) -> f64 {
        let (mut at, mut left) = (now, work);
        loop {
            let (end, factor) = self.span(at);
            let speed = self.mean * factor;
            let done = (end - at) * speed;
            if done >= left {
                return at + left / speed - now;
            }
            left -= done;
            at = end;
        }
    }

    fn span(&mut self, now: f64) -> (f64, f64) {
        while self.spans.last().is_none_or(|(end, _)| *end <= now) {
            let begin = self.spans.last().map_or(0.0, |(end, _)| *end);
            let length = CHANGE_MS.start + self.random.f64() * (CHANGE_MS.end - CHANGE_MS.start);
            let exponent = self.random.f64() * 2.0 - 1.0;
            // The mean of the factors is 1.
            let mean = (SWING - 1.0 / SWING) / (2.0 * SWING.ln());
            self.spans
                .push((begin + length, SWING.powf(exponent) / mean));
        }
        let index = self.spans.partition_point(|(end, _)| *end <= now);
        self.spans[index]
    }
}
