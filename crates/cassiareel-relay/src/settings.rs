/*!
The settings of one node, in TOML.

The file holds what a VM has to know before it can read the operator's configuration: where it
listens, where the store is, how large the VM is, and the bounds that the deployment promises.
Unknown fields are ignored, so that an older node can read a newer file.
*/

use std::{collections::BTreeMap, fs, io, net::SocketAddr, path::Path, time::Duration};

use serde::{de, Deserialize, Deserializer};
use serde_with::{serde_as, DurationMilliSeconds, DurationSeconds};
use snafu::{ResultExt, Snafu};

use crate::{
    kernel::DutyRules,
    model::{AccountId, DataCentre},
};

/// The bodies of requests and responses may take a VM's memory divided by this number.
const BODY_MEMORY_DIVISOR: u64 = 4;

/// The bodies of messages of other nodes and of the store may take a VM's memory divided by this
/// number.
const MESSAGE_MEMORY_DIVISOR: u64 = 8;

/// The settings of one node.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Settings {
    /// The name and place of the node.
    pub node: Node,
    /// The addresses at which it listens.
    pub listen: Listen,
    /// The size of its VM.
    pub limits: Limits,
    /// The platform's store.
    pub store: Store,
    /// The bounds that the deployment promises.
    pub bounds: Bounds,
    /// How capacity is divided where not all requests can be served.
    #[serde(default)]
    pub admission: Admission,
    /// The calls that one node at a time makes for the whole fleet, if there are any.
    pub duties: Option<Duties>,
}

/// The name and place of a node.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Node {
    /// The name, unique in the fleet.
    pub name: String,
    /// The data centre.
    pub data_centre: DataCentre,
    /// Whether the whole deployment starts for the first time, so that no caller waits for it yet.
    #[serde(default)]
    pub bootstrap: bool,
}

/// The addresses at which a node listens.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Listen {
    /// For callers.
    pub front: SocketAddr,
    /// For the balancer's readiness checks.
    pub ready: SocketAddr,
    /// For the other nodes.
    pub peers: SocketAddr,
    /// For the metrics, as text.
    pub metrics: SocketAddr,
}

/// The size of a VM.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Limits {
    /// Memory, in MiB.
    pub memory_mb: u64,
    /// File descriptors of a process.
    pub max_fds: u64,
    /// The rate of the VM's link in Mbit/s, where it is known. Nodes with faster links read the store
    /// for the others.
    #[serde(default)]
    pub link_mbps: Option<f64>,
}

impl Limits {
    /// Returns the memory for the bodies of callers' requests and backend servers' responses, in bytes.
    pub fn body_bytes(&self) -> u64 {
        (self.memory_mb << 20) / BODY_MEMORY_DIVISOR
    }

    /// Returns the rate of the link in whole Mbit/s, where it is known.
    pub fn link_rate(&self) -> Option<u32> {
        self.link_mbps.map(|rate| rate as u32)
    }

    /// Returns the memory for the bodies of messages of other nodes and of the store, in bytes.
    pub fn message_bytes(&self) -> u64 {
        (self.memory_mb << 20) / MESSAGE_MEMORY_DIVISOR
    }
}

/// The platform's store.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Store {
    /// Its address.
    pub address: SocketAddr,
}

/// Bounds that the deployment promises.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Bounds {
    /// The time from SIGTERM to SIGKILL.
    #[serde(rename = "grace_s")]
    #[serde_as(as = "DurationSeconds<f64>")]
    pub grace: Duration,
    /// How long after its acceptance a configuration may not be in force yet.
    #[serde(rename = "config_apply_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub config_apply: Duration,
    /// How long a backend server may get new requests after it announced that it is leaving.
    #[serde(rename = "drain_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub drain: Duration,
    /// How long a key may work after it was revoked.
    #[serde(rename = "revoke_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub revoke: Duration,
    /// Retries for each request of a caller, over all nodes.
    pub retry_ratio: f64,
    /// Retries beyond that in each window, over all nodes.
    pub retry_slack: f64,
    /// The window in which retries are counted.
    #[serde(rename = "retry_window_s")]
    #[serde_as(as = "DurationSeconds<f64>")]
    pub retry_window: Duration,
    /// The share of a service's requests that a bad version may get while it is on trial.
    #[serde(default = "exposure_share")]
    pub exposure_share: f64,
    /// Requests that a bad version may get beyond that share.
    #[serde(default = "exposure_slack")]
    pub exposure_slack: f64,
    /// Whether the platform refuses calls of duties with lower fencing tokens than it has seen; it is
    /// enough if either this or [`Duties::checks_fencing`] says so.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// Returns the share for a deployment that states none.
fn exposure_share() -> f64 {
    0.1
}

/// Returns the requests beyond the share for a deployment that states none.
fn exposure_slack() -> f64 {
    50.0
}

impl Bounds {
    /// Returns the time within which a change of configuration, registry or keys has to be in
    /// force.
    pub fn min_apply_time(&self) -> Duration {
        self.config_apply.min(self.drain).min(self.revoke)
    }
}

/// How capacity is divided between client accounts where not all requests can be served.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default)]
pub struct Admission {
    /// The part of a request's objective that it may wait at a backend server behind others.
    pub wait_part: f64,
    /// Weights of client accounts by name; others have 1.
    pub weights: BTreeMap<String, f64>,
}

impl Default for Admission {
    fn default() -> Admission {
        Admission {
            wait_part: 0.35,
            weights: BTreeMap::new(),
        }
    }
}

/// The shortest duration of the duties' lease.
const MIN_LEASE: Duration = Duration::from_millis(300);

/// The calls that one node at a time makes for the whole fleet.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Duties {
    /// The address that takes the calls.
    pub address: SocketAddr,
    /// The names of the duties, as a list or as the text of a list.
    #[serde(default, deserialize_with = "names")]
    pub kinds: Vec<String>,
    /// Whether the platform refuses calls with lower fencing tokens than it has seen.
    #[serde(default)]
    pub checks_fencing: bool,
    /// The number of calls a second that it takes from all nodes together.
    #[serde(default = "calls_per_s")]
    pub calls_per_s: f64,
    /// The duration of the lease on the duties.
    #[serde(default = "lease_time", rename = "lease_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub lease: Duration,
    /// The length of a window of usage.
    #[serde(default = "usage_window", rename = "window_s")]
    #[serde_as(as = "DurationSeconds<f64>")]
    pub window: Duration,
    /// How long after the end of a window its usage is due.
    #[serde(default = "usage_late", rename = "late_s")]
    #[serde_as(as = "DurationSeconds<f64>")]
    pub late: Duration,
    /// The part by which reported usage may differ from the true one.
    #[serde(default = "usage_tolerance")]
    pub tolerance: f64,
}

/// Returns the rate limit for a deployment that states none.
fn calls_per_s() -> f64 {
    1.0
}

/// Returns the duration of the lease for a deployment that states none.
fn lease_time() -> Duration {
    Duration::from_millis(3000)
}

/// Returns the length of a window for a deployment that states none.
fn usage_window() -> Duration {
    Duration::from_secs(5)
}

/// Returns the time until usage is due for a deployment that states none.
fn usage_late() -> Duration {
    Duration::from_secs(10)
}

/// Returns the tolerance for a deployment that states none.
fn usage_tolerance() -> f64 {
    0.05
}

/// Reads a list of names. A deployment may have no list to fill into the template: an empty text stands
/// for an empty list, as does "null".
fn names<'de, D>(reader: D) -> Result<Vec<String>, D::Error>
where
    D: Deserializer<'de>,
{
    /// The two forms of the list.
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Names {
        List(Vec<String>),
        Text(String),
    }
    /// The list alone, as TOML.
    #[derive(Deserialize)]
    struct Line {
        names: Vec<String>,
    }
    let text = match Names::deserialize(reader)? {
        Names::List(names) => return Ok(names),
        Names::Text(text) if ["", "null"].contains(&text.trim()) => return Ok(Vec::new()),
        Names::Text(text) => text,
    };
    let line: Line = toml::from_str(&format!("names = {text}")).map_err(de::Error::custom)?;
    Ok(line.names)
}

impl Duties {
    /// Returns a message for each value that is out of range.
    fn faults(&self) -> Vec<String> {
        let checks = [
            (
                !(1e-3..=1e6).contains(&self.calls_per_s),
                "duties.calls_per_s is outside 0.001 to 1e6",
            ),
            (self.lease < MIN_LEASE, "duties.lease_ms is less than 300"),
            (self.window.is_zero(), "duties.window_s is 0"),
            (self.late.is_zero(), "duties.late_s is 0"),
            (
                !(0.0..=1.0).contains(&self.tolerance),
                "duties.tolerance is outside 0 to 1",
            ),
        ];
        messages(&checks)
    }
}

/// Returns the messages of the checks that failed.
fn messages(checks: &[(bool, &str)]) -> Vec<String> {
    let failed = checks.iter().filter(|(wrong, _)| *wrong);
    failed.map(|(_, fault)| (*fault).to_owned()).collect()
}

impl Settings {
    /// Returns the rules of the duties, if there are any.
    pub fn duty_rules(&self) -> Option<DutyRules> {
        let duties = self.duties.as_ref()?;
        let checks_fencing = duties.checks_fencing || self.bounds.checks_fencing;
        Some(DutyRules::new(duties.lease, checks_fencing))
    }

    /// Returns the weight of a client account.
    pub fn weight(&self, account: Option<&AccountId>) -> f64 {
        let weights = &self.admission.weights;
        let own = account.and_then(|account| weights.get(&**account));
        own.copied().unwrap_or(1.0)
    }

    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read, is not TOML, or a field is missing or out of range.
    pub fn load<P>(path: P) -> Result<Settings, SettingsError>
    where
        P: AsRef<Path>,
    {
        let path = path.as_ref();
        let text = fs::read_to_string(path).context(ReadSnafu {
            path: path.display().to_string(),
        })?;
        Settings::parse(&text)
    }

    /// Parses and checks settings.
    ///
    /// # Errors
    ///
    /// Fails as [`Settings::load`] does, but for reading the file.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let settings: Settings = toml::from_str(text).context(ParseSnafu)?;
        let faults = settings.faults();
        if faults.is_empty() {
            return Ok(settings);
        }
        ValuesSnafu {
            faults: faults.join("; "),
        }
        .fail()
    }

    /// Returns a message for each value that is out of range.
    fn faults(&self) -> Vec<String> {
        let bounds = &self.bounds;
        let checks = [
            (self.node.name.is_empty(), "node.name is empty"),
            (
                self.node.data_centre.is_empty(),
                "node.data_centre is empty",
            ),
            (self.limits.memory_mb == 0, "limits.memory_mb is 0"),
            (self.limits.max_fds < 256, "limits.max_fds is less than 256"),
            (
                !self
                    .limits
                    .link_mbps
                    .is_none_or(|rate| (1.0..=1e6).contains(&rate)),
                "limits.link_mbps is outside 1 to 1e6",
            ),
            (bounds.grace.is_zero(), "bounds.grace_s is 0"),
            (bounds.config_apply.is_zero(), "bounds.config_apply_ms is 0"),
            (bounds.drain.is_zero(), "bounds.drain_ms is 0"),
            (bounds.revoke.is_zero(), "bounds.revoke_ms is 0"),
            (
                !(0.0..=100.0).contains(&bounds.retry_ratio),
                "bounds.retry_ratio is outside 0 to 100",
            ),
            (
                !(0.0..=1e6).contains(&bounds.retry_slack),
                "bounds.retry_slack is outside 0 to 1e6",
            ),
            (bounds.retry_window.is_zero(), "bounds.retry_window_s is 0"),
            (
                !(0.0..=1.0).contains(&bounds.exposure_share),
                "bounds.exposure_share is outside 0 to 1",
            ),
            (
                !(0.0..=1e6).contains(&bounds.exposure_slack),
                "bounds.exposure_slack is outside 0 to 1e6",
            ),
            (
                !(0.05..=1.0).contains(&self.admission.wait_part),
                "admission.wait_part is outside 0.05 to 1",
            ),
            (
                !self
                    .admission
                    .weights
                    .values()
                    .all(|w| (0.001..=1000.0).contains(w)),
                "admission.weights has a value outside 0.001 to 1000",
            ),
        ];
        let duties = self.duties.iter().flat_map(Duties::faults);
        messages(&checks).into_iter().chain(duties).collect()
    }
}

/// Settings that can't be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file can't be read.
    #[snafu(display("the settings file {path} can't be read: {source}"))]
    Read {
        /// The file.
        path: String,
        /// The error of the read.
        source: io::Error,
    },
    /// The file is not TOML, or lacks a field.
    #[snafu(display("the settings can't be parsed: {source}"))]
    Parse {
        /// The position and the reason.
        source: toml::de::Error,
    },
    /// Values are out of range.
    #[snafu(display("invalid settings: {faults}"))]
    Values {
        /// A message for each fault.
        faults: String,
    },
}
