//! The daemon's own settings, from a file and from flags that override it; every error is reported.

use std::{fs, io, net::SocketAddr, sync::Arc, time::Duration};

use cassiareel::{
    node::Options,
    observe::Metrics,
    peer::Keys,
    settings::{parse_collecting_faults, units::DurationText, Faults, Path},
};
use serde::Deserialize;

use crate::args::Args;

/// The default number of threads.
const DEFAULT_THREADS: usize = 2;

/// The maximum number of threads.
const MAX_THREADS: usize = 256;

/// The default time for the load balancer to notice that a node is not ready.
const DEFAULT_GRACE: Duration = Duration::from_secs(5);

/// The settings file as written. Every value is optional; all but the keys may
/// be given by flags instead.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct ConfigFile {
    name: Option<String>,
    data_centre: Option<String>,
    listen: Option<SocketAddr>,
    control: Option<SocketAddr>,
    objects: Option<SocketAddr>,
    peers: Vec<SocketAddr>,
    metrics: Option<SocketAddr>,
    threads: Option<usize>,
    grace: Option<String>,
    keys: Vec<String>,
}

/// The daemon's settings.
#[derive(Clone, Debug)]
pub(crate) struct Config {
    /// The name of the node.
    pub name: String,
    /// The data centre of the node.
    pub data_centre: String,
    /// The listen address for callers.
    pub listen: SocketAddr,
    /// The control address for peers and operators.
    pub control: SocketAddr,
    /// The address of the object API.
    pub objects: SocketAddr,
    /// The control addresses of peers.
    pub peers: Vec<SocketAddr>,
    /// The address of the StatsD server, if metrics are sent.
    pub metrics: Option<SocketAddr>,
    /// The number of threads that run tasks.
    pub threads: usize,
    /// How long new connections are accepted after readiness is turned off at shutdown.
    pub grace: Duration,
    /// The keys that the nodes share, the signing key first; `None` for a node without peers.
    pub keys: Option<Keys>,
}

impl Config {
    /// Reads the file that the flags name, if any, and overrides its values with the flags.
    ///
    /// # Errors
    ///
    /// Returns every error in the file and the flags.
    pub(crate) fn load(args: &Args) -> Result<Config, Faults> {
        let Some(path) = &args.settings else {
            return Config::read("", args);
        };
        let text = fs::read_to_string(path).map_err(|err| {
            let mut faults = Faults::default();
            let problem = format!("the settings file can't be read: {err}");
            faults.push(Path::root().child("--settings"), path, problem);
            faults
        })?;
        Config::read(&text, args)
    }

    /// Parses the text of a file and overrides its values with the flags.
    ///
    /// # Errors
    ///
    /// Returns every error in the file and the flags.
    pub(crate) fn read(text: &str, args: &Args) -> Result<Config, Faults> {
        let mut faults = Faults::default();
        let mut file: ConfigFile = parse_collecting_faults(text, &mut faults)?;
        apply_flags(&mut file, args, &mut faults);
        let config = Config {
            name: require_name(file.name, "name", "such as \"zg-1-a\"", &mut faults),
            data_centre: require_name(
                file.data_centre,
                "data_centre",
                "such as \"zg-1\"",
                &mut faults,
            ),
            listen: require_address(file.listen, "listen", &mut faults),
            control: require_address(file.control, "control", &mut faults),
            objects: require_address(file.objects, "objects", &mut faults),
            peers: file.peers,
            metrics: file.metrics,
            threads: file.threads.unwrap_or(DEFAULT_THREADS),
            grace: parse_grace(file.grace.as_deref(), &mut faults),
            keys: parse_keys(&file.keys, &mut faults),
        };
        config.check(&mut faults);
        faults.into_result(config)
    }

    /// Returns the options of the node.
    ///
    /// # Errors
    ///
    /// Fails if the socket for metrics can't be opened.
    pub(crate) fn into_options(self) -> io::Result<Options> {
        let metrics = match self.metrics {
            Some(server) => Metrics::udp(server)?,
            None => Metrics::none(),
        };
        Ok(Options {
            keys: self.keys,
            listen: self.listen,
            control: self.control,
            peers: self.peers,
            threads: self.threads,
            metrics: Arc::new(metrics),
            ..Options::new(&self.name, &self.data_centre)
        })
    }

    /// Checks the addresses and the number of threads.
    fn check(&self, faults: &mut Faults) {
        if self.listen == self.control && self.listen != unset_address() {
            let problem = "the same address as listen: peers and operators need a separate one";
            faults.push(path("control"), quote(self.control), problem);
        }
        for (name, addr) in [("objects", self.objects), ("control", self.control)] {
            // Peers call the control address and the node calls the object API, so both need an IP
            // address and a port that can be connected to.
            let reachable = addr.port() != 0 && !addr.ip().is_unspecified();
            if !reachable && addr != unset_address() {
                let problem =
                    "not an address to connect to: write an IP address and a port above 0";
                faults.push(path(name), quote(addr), problem);
            }
        }
        if self.peers.contains(&self.control) {
            let problem = "the node's own control address: list only other nodes";
            faults.push(path("peers"), quote(self.control), problem);
        }
        if self.threads == 0 || self.threads > MAX_THREADS {
            let problem = format!("the number of threads must be 1 to {MAX_THREADS}");
            faults.push(path("threads"), self.threads.to_string(), problem);
        }
    }
}

/// Parses the shared keys. Errors do not contain the invalid key, since they may be logged.
fn parse_keys(written: &[String], faults: &mut Faults) -> Option<Keys> {
    if written.is_empty() {
        return None;
    }
    match Keys::new(written) {
        Ok(keys) => Some(keys),
        Err(err) => {
            faults.push(path("keys"), "", err.to_string());
            None
        }
    }
}

/// Overrides the file's values with the flags.
fn apply_flags(file: &mut ConfigFile, args: &Args, faults: &mut Faults) {
    if args.name.is_some() {
        file.name.clone_from(&args.name);
    }
    if args.data_centre.is_some() {
        file.data_centre.clone_from(&args.data_centre);
    }
    if args.grace.is_some() {
        file.grace.clone_from(&args.grace);
    }
    apply_flag("--listen", args.listen.as_ref(), &mut file.listen, faults);
    apply_flag(
        "--control",
        args.control.as_ref(),
        &mut file.control,
        faults,
    );
    apply_flag(
        "--objects",
        args.objects.as_ref(),
        &mut file.objects,
        faults,
    );
    apply_flag(
        "--metrics",
        args.metrics.as_ref(),
        &mut file.metrics,
        faults,
    );
    apply_flag(
        "--threads",
        args.threads.as_ref(),
        &mut file.threads,
        faults,
    );
    if !args.peer.is_empty() {
        file.peers.clear();
    }
    for peer in &args.peer {
        let mut addr: Option<SocketAddr> = None;
        apply_flag("--peer", Some(peer), &mut addr, faults);
        file.peers.extend(addr);
    }
}

/// Parses the value of a flag, if it is given, and overrides the file's value with it.
fn apply_flag<T>(name: &str, text: Option<&String>, value: &mut Option<T>, faults: &mut Faults)
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    let Some(text) = text else {
        return;
    };
    match text.parse() {
        Ok(parsed) => *value = Some(parsed),
        Err(err) => {
            // Only the invalid flag is reported; `require_address` does not report the value that is
            // missing because of it.
            let problem = format!("{err}; write an IP address and a port, such as 10.11.0.1:8080");
            let problem = match name {
                "--threads" => err.to_string(),
                _ => problem,
            };
            faults.push(path(name), format!("{text:?}"), problem);
        }
    }
}

/// Returns a required name, or reports that it is missing.
fn require_name(value: Option<String>, name: &str, example: &str, faults: &mut Faults) -> String {
    match value {
        Some(value) if !value.is_empty() => value,
        _ => {
            let flag = name.replace('_', "-");
            let problem = format!("missing: write {name} in the file or give --{flag}, {example}");
            faults.push(path(name), "", problem);
            String::new()
        }
    }
}

/// Returns a required address, or reports that it is missing, unless it was reported as invalid.
fn require_address(value: Option<SocketAddr>, name: &str, faults: &mut Faults) -> SocketAddr {
    let is_faulty = |fault: &cassiareel::settings::Fault| {
        let text = fault.path.to_string();
        text == name || text.trim_matches('"') == format!("--{name}")
    };
    if value.is_none() && !faults.faults.iter().any(is_faulty) {
        let problem =
            format!("missing: write {name} in the file or give --{name}, such as 10.11.0.1:8080");
        faults.push(path(name), "", problem);
    }
    value.unwrap_or_else(unset_address)
}

/// Parses the grace time, or returns the default.
fn parse_grace(text: Option<&str>, faults: &mut Faults) -> Duration {
    match text.map(DurationText::parse) {
        None => DEFAULT_GRACE,
        Some(Ok(grace)) => grace,
        Some(Err(err)) => {
            faults.push(path("grace"), format!("{:?}", err.text), err.to_string());
            DEFAULT_GRACE
        }
    }
}

/// Returns the placeholder for an address that is missing or invalid.
fn unset_address() -> SocketAddr {
    SocketAddr::from(([0, 0, 0, 0], 0))
}

fn path(name: &str) -> Path {
    Path::root().child(name)
}

/// Formats an address as it is written in the settings file.
fn quote(addr: SocketAddr) -> String {
    format!("\"{addr}\"")
}
