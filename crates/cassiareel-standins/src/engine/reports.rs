//! Load reports that become visible after a delay.

use std::{collections::VecDeque, time::Duration};

use cassiareel::backend::LoadReport;

/// The maximum number of reports kept. Together with the minimum interval between them, they cover
/// the lag.
const MAX_REPORTS: usize = 512;
/// The minimum time between reports while requests run.
const MIN_INTERVAL: Duration = Duration::from_millis(10);

/// The load reports of an engine, oldest first.
#[derive(Debug, Default)]
pub(super) struct Reports {
    log: VecDeque<(Duration, LoadReport)>,
    sequence: u64,
}

impl Reports {
    /// Records a report, unless requests run and the minimum interval has not passed.
    ///
    /// The report of an engine that becomes idle is always recorded, because no other follows it.
    pub(super) fn record(&mut self, now: Duration, report: LoadReport) {
        let recent = self
            .log
            .back()
            .is_some_and(|(at, _)| now < *at + MIN_INTERVAL);
        if recent && report.running > 0 {
            return;
        }
        self.sequence += 1;
        let sequence = self.sequence;
        self.log.push_back((now, LoadReport { sequence, ..report }));
        if self.log.len() > MAX_REPORTS {
            self.log.pop_front();
        }
    }

    /// Returns the report that was current `lag` ago, or the first report if none is that old.
    pub(super) fn delayed(&self, now: Duration, lag: Duration) -> Option<LoadReport> {
        let then = now.saturating_sub(lag);
        let report = self.log.iter().rev().find(|(at, _)| *at <= then);
        let (at, report) = report.or_else(|| self.log.front())?;
        let mut report = report.clone();
        // A report is valid until the next one, so the report of an idle engine is only as old as
        // the lag.
        report.age_ms = now.saturating_sub((*at).max(then)).as_millis() as u64;
        Some(report)
    }
}
