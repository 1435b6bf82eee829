//! When windows begin, end, are closed and are due.

use std::time::Duration;

use super::{TrueTime, WindowNumber};

/// The part of the time until a report is due after which a window is closed. At the usual 10 s, nodes
/// have 4 s for their counts, which is more than two intervals between the messages of a node in a fleet
/// of 300, and 6 s remain for the store and the report.
const CLOSE_PART: f64 = 0.4;

/// The lengths that divide true time into windows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WindowRules {
    /// The length of a window.
    pub length: Duration,
    /// The time after the end of a window at which its report is due.
    pub late: Duration,
}

impl WindowRules {
    /// Returns the window that contains a time.
    pub fn window_at(self, time: TrueTime) -> WindowNumber {
        let window = time.as_nanos() / self.length.as_nanos().max(1);
        WindowNumber::try_from(window).unwrap_or(WindowNumber::MAX)
    }

    /// Returns the end of a window.
    pub fn end(self, window: WindowNumber) -> TrueTime {
        let nanos = self.length.as_nanos() * (u128::from(window) + 1);
        let (secs, rest) = (nanos / 1_000_000_000, nanos % 1_000_000_000);
        Duration::new(u64::try_from(secs).unwrap_or(u64::MAX), rest as u32)
    }

    /// Returns when a window is closed, so that its counts may be fixed.
    pub fn closing_time(self, window: WindowNumber) -> TrueTime {
        self.end(window).saturating_add(self.close_delay())
    }

    /// Returns when the report on a window is due.
    pub fn due_time(self, window: WindowNumber) -> TrueTime {
        self.end(window).saturating_add(self.late)
    }

    /// Returns the time from the end of a window until it is closed.
    pub fn close_delay(self) -> Duration {
        self.late.mul_f64(CLOSE_PART)
    }

    /// Returns the last window that is closed; `None` where none is.
    pub fn last_closed(self, now: TrueTime) -> Option<WindowNumber> {
        let ended = now.checked_sub(self.close_delay())?;
        self.window_at(ended).checked_sub(1)
    }

    /// Returns the number of windows that a time spans, at least 1.
    pub fn spanned(self, time: Duration) -> WindowNumber {
        self.window_at(time).max(1)
    }
}
