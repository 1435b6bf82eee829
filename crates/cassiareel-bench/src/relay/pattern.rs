//! Loads at their worst.

/// A crash of most engines of one data centre.
#[derive(Clone, Copy, Debug)]
pub(super) struct Crash {
    /// When, in milliseconds.
    pub at_ms: f64,
    /// The data centre.
    pub data_centre: usize,
}

/// The loss of all nodes at once.
#[derive(Clone, Copy, Debug)]
pub(super) struct NodeOutage {
    /// When, in milliseconds.
    pub at_ms: f64,
    /// When callers come back, in milliseconds.
    pub back_ms: f64,
}

/// A load that a decision answers.
#[derive(Clone, Debug)]
pub struct Pattern {
    /// The name in tables and drawings.
    pub name: &'static str,
    /// New streams a second.
    pub rate: f64,
    /// How much more come for a while.
    pub(super) burst_factor: f64,
    /// Crashes.
    pub(super) crashes: Vec<Crash>,
    /// The loss of all nodes.
    pub(super) node_outage: Option<NodeOutage>,
    /// How long new streams come, in milliseconds.
    pub(super) duration_ms: f64,
    /// How long a caller waits, in milliseconds.
    pub(super) deadline_ms: f64,
    /// The memory of each engine in tokens, where it is bounded.
    pub(super) memory_tokens: Option<f64>,
    /// How much more than its usual the first account sends during the busy time.
    pub(super) flood_factor: f64,
    /// The part of the run during which more streams come.
    pub(super) busy_part: std::ops::Range<f64>,
}

/// Client accounts, each with the same usual rate.
pub(super) const ACCOUNTS: usize = 10;

impl Pattern {
    /// Prompts that meet by chance at steady load.
    pub fn steady() -> Pattern {
        Pattern {
            name: "chance",
            rate: 9.4,
            burst_factor: 1.0,
            crashes: Vec::new(),
            node_outage: None,
            duration_ms: 40_000.0,
            deadline_ms: 25_000.0,
            memory_tokens: None,
            flood_factor: 1.0,
            busy_part: 1.0 / 3.0..0.5,
        }
    }

    /// So many times the load for 15 seconds, at engines whose memory is bounded.
    pub fn overload(factor: f64) -> Pattern {
        Pattern {
            name: "overload",
            burst_factor: factor,
            memory_tokens: Some(55_000.0),
            busy_part: 0.2..0.575,
            ..Pattern::steady()
        }
    }

    /// One account sends so many times its usual for 8 seconds, at engines whose memory is bounded.
    pub fn flood(factor: f64) -> Pattern {
        Pattern {
            name: "flood of one account",
            flood_factor: factor,
            memory_tokens: Some(55_000.0),
            busy_part: 0.2..0.4,
            ..Pattern::steady()
        }
    }

    /// Three times the load for a while.
    pub fn burst() -> Pattern {
        Pattern {
            name: "burst",
            burst_factor: 3.0,
            ..Pattern::steady()
        }
    }

    /// Most engines of one data centre after the other end, each time while the registry still names
    /// those of the one before.
    pub fn rolling_crashes() -> Pattern {
        let crashes = (0..6)
            .map(|i| Crash {
                at_ms: 5_000.0 + f64::from(i) * 5_000.0,
                data_centre: i as usize % 3,
            })
            .collect();
        Pattern {
            name: "data centres fail in turn",
            crashes,
            ..Pattern::steady()
        }
    }

    /// All nodes end at once, and all callers come back a second later.
    pub fn all_nodes_lost() -> Pattern {
        Pattern {
            name: "all nodes end at once",
            node_outage: Some(NodeOutage {
                at_ms: 20_000.0,
                back_ms: 21_000.0,
            }),
            ..Pattern::steady()
        }
    }

    /// All nodes end at once without notice; callers come back together when little of their time is
    /// left, while new ones come as before.
    pub fn late_reconnects() -> Pattern {
        Pattern {
            name: "callers come back late",
            crashes: (0..3)
                .map(|data_centre| Crash {
                    at_ms: 21_000.0,
                    data_centre,
                })
                .collect(),
            node_outage: Some(NodeOutage {
                at_ms: 20_000.0,
                back_ms: 32_000.0,
            }),
            deadline_ms: 16_000.0,
            ..Pattern::steady()
        }
    }

    /// All patterns.
    pub fn all() -> [Pattern; 9] {
        [
            Pattern::overload(2.0),
            Pattern::overload(5.0),
            Pattern::overload(10.0),
            Pattern::flood(40.0),
            Pattern::steady(),
            Pattern::burst(),
            Pattern::rolling_crashes(),
            Pattern::all_nodes_lost(),
            Pattern::late_reconnects(),
        ]
    }

    /// New streams a second at a moment.
    pub(super) fn rate_at(&self, now: f64) -> f64 {
        if !self.is_busy(now) {
            return self.rate;
        }
        let other_accounts = (ACCOUNTS - 1) as f64;
        self.rate * self.burst_factor * (other_accounts + self.flood_factor) / ACCOUNTS as f64
    }

    /// The part of new streams that the first account sends at a moment.
    pub(super) fn first_account_share(&self, now: f64) -> f64 {
        let first_weight = if self.is_busy(now) {
            self.flood_factor
        } else {
            1.0
        };
        first_weight / (first_weight + (ACCOUNTS - 1) as f64)
    }

    fn is_busy(&self, now: f64) -> bool {
        (self.duration_ms * self.busy_part.start..self.duration_ms * self.busy_part.end)
            .contains(&now)
    }
}
