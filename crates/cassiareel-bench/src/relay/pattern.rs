//! Adverse load patterns.

/// A crash of most engines of one data centre.
#[derive(Clone, Copy, Debug)]
pub(super) struct Crash {
    /// Time of the event in milliseconds.
    pub at_ms: f64,
    /// Index of the data centre.
    pub data_centre: usize,
}

/// An outage of all nodes at once.
#[derive(Clone, Copy, Debug)]
pub(super) struct NodeOutage {
    /// Time of the event in milliseconds.
    pub at_ms: f64,
    /// Time at which the callers reconnect, in milliseconds.
    pub back_ms: f64,
}

/// A load that one of the relay's decisions addresses.
#[derive(Clone, Debug)]
pub struct Pattern {
    /// Name in tables and charts.
    pub name: &'static str,
    /// New streams per second at the usual load.
    pub rate: f64,
    /// Factor of the rate during the busy time.
    pub(super) burst_factor: f64,
    /// Crashes of engines.
    pub(super) crashes: Vec<Crash>,
    /// An outage of all nodes.
    pub(super) node_outage: Option<NodeOutage>,
    /// Time during which new streams arrive, in milliseconds.
    pub(super) duration_ms: f64,
    /// Time from the arrival of a stream until its caller gives up, in milliseconds.
    pub(super) deadline_ms: f64,
    /// Memory of each engine in tokens; `None` if unbounded.
    pub(super) memory_tokens: Option<f64>,
    /// Factor of the first account's rate during the busy time.
    pub(super) flood_factor: f64,
    /// The busy time, as a range of fractions of the duration.
    pub(super) busy_part: std::ops::Range<f64>,
    /// Numbers of nodes and engines.
    pub(super) nodes: usize,
    pub(super) engines: usize,
    /// Fraction of streams of the higher priority; zero if all have one priority.
    pub(super) premium_part: f64,
}

/// Number of client accounts, which all have the same usual rate.
pub(super) const ACCOUNTS: usize = 10;

impl Pattern {
    /// Returns a steady load, at which prompts reach the same engine only by chance.
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
            nodes: 6,
            engines: 36,
            premium_part: 0.0,
        }
    }

    /// Returns `factor` times the load for 15 seconds, with engines of bounded memory.
    pub fn overload(factor: f64) -> Pattern {
        Pattern {
            name: "overload",
            burst_factor: factor,
            memory_tokens: Some(55_000.0),
            busy_part: 0.2..0.575,
            ..Pattern::steady()
        }
    }

    /// Returns a load in which one account sends `factor` times its usual rate for 8 seconds, with
    /// engines of bounded memory.
    pub fn flood(factor: f64) -> Pattern {
        Pattern {
            name: "flood of one account",
            flood_factor: factor,
            memory_tokens: Some(55_000.0),
            busy_part: 0.2..0.4,
            ..Pattern::steady()
        }
    }

    /// Returns `factor` times the load for 15 seconds on a deployment of 70 nodes and 96 engines of
    /// bounded memory, where a tenth of the streams have a higher priority and a shorter objective.
    pub fn premium_overload(factor: f64) -> Pattern {
        Pattern {
            name: "overload of two priorities",
            ..Pattern::overload(factor).with_premium()
        }
    }

    /// Returns a load on the same deployment in which one account sends `factor` times its usual
    /// rate for 8 seconds.
    pub fn premium_flood(factor: f64) -> Pattern {
        Pattern {
            name: "flood of two priorities",
            ..Pattern::flood(factor).with_premium()
        }
    }

    /// Returns the load on 70 nodes and 96 engines, with a tenth of the streams of the higher
    /// priority.
    fn with_premium(self) -> Pattern {
        Pattern {
            rate: 25.0,
            nodes: 70,
            engines: 96,
            premium_part: 0.1,
            ..self
        }
    }

    /// Returns three times the load for a sixth of the duration.
    pub fn burst() -> Pattern {
        Pattern {
            name: "burst",
            burst_factor: 3.0,
            ..Pattern::steady()
        }
    }

    /// Returns a load under which 90% of the engines of one data centre after another crash, every
    /// 5 seconds. The registry lists crashed processes for some time, so that copies may be placed
    /// on engines that have lost their memory.
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

    /// Returns a load under which all nodes fail at once and all callers reconnect a second later.
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

    /// Returns a load under which all nodes fail at once without notice. Their callers reconnect
    /// together when little time is left to them, while new ones arrive as before.
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

    /// Returns the patterns of the comparison.
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

    /// Returns the number of new streams per second at a time.
    pub(super) fn rate_at(&self, now: f64) -> f64 {
        if !self.is_busy(now) {
            return self.rate;
        }
        let other_accounts = (ACCOUNTS - 1) as f64;
        self.rate * self.burst_factor * (other_accounts + self.flood_factor) / ACCOUNTS as f64
    }

    /// Returns the fraction of new streams that the first account sends at a time.
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
