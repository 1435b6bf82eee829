//! Load reports that come late.

use std::{collections::VecDeque, time::Duration};

use cassiareel::backend::LoadReport;

/// Reports that are kept; together with the pause between them they cover the lag.
const KEPT: usize = 512;
/// Time between reports while the engine works.
const PAUSE: Duration = Duration::from_millis(10);

/// The reports of an engine, oldest first.
#[derive(Debug, Default)]
pub(super) struct Reports {
    log: VecDeque<(Duration, LoadReport)>,
    sequence: u64,
}

impl Reports {
    /// Keeps a report, unless the engine works and one was kept a moment ago.
    ///
    /// The report of an engine that comes to rest is always kept, as no other follows it.
    pub(super) fn record(&mut self, now: Duration, report: LoadReport) {
        let recent = self.log.back().is_some_and(|(at, _)| now < *at + PAUSE);
        if recent && report.running > 0 {
            return;
        }
        self.sequence += 1;
        let sequence = self.sequence;
        self.log.push_back((now, LoadReport { sequence, ..report }));
        if self.log.len() > KEPT {
            self.log.pop_front();
        }
    }

    /// The report of `lag` ago.
    pub(super) fn late(&self, now: Duration, lag: Duration) -> Option<LoadReport> {
        let then = now.saturating_sub(lag);
        let report = self.log.iter().rev().find(|(at, _)| *at <= then);
        let (at, report) = report.or_else(|| self.log.front())?;
        let mut report = report.clone();
        // A report stays true until the next one: an idle engine's is no older than the lag.
        report.age_ms = now.saturating_sub((*at).max(then)).as_millis() as u64;
        Some(report)
    }
}
