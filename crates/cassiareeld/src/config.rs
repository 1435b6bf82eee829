//! The daemon's own settings: a file, flags over it, and checks that name every fault.

use std::{fs, io, net::SocketAddr, sync::Arc, time::Duration};

use cassiareel::{
    node::Options,
    observe::Metrics,
    peer::Keys,
    settings::{parse_collecting_faults, units::DurationText, Faults, Path},
};
use serde::Deserialize;

use crate::args::Args;

/// Threads of a node that does not say.
const DEFAULT_THREADS: usize = 2;

/// The most threads that a node may have.
const MAX_THREADS: usize = 256;

/// Time for the balancer to see that a node is not ready.
const DEFAULT_GRACE: Duration = Duration::from_secs(5);

/// The settings file as written; all of it may be left out where flags say it.
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
    /// The node's name.
    pub name: String,
    /// The node's data centre.
    pub data_centre: String,
    /// The address for callers.
    pub listen: SocketAddr,
    /// The address for peers and operators.
    pub control: SocketAddr,
    /// The object API.
    pub objects: SocketAddr,
    /// Control addresses of peers.
    pub peers: Vec<SocketAddr>,
    /// The StatsD server.
    pub metrics: Option<SocketAddr>,
    /// Threads that run tasks.
    pub threads: usize,
    /// Time between turning readiness off and the last new connection.
    pub grace: Duration,
    /// The keys that the nodes share, the signing one first; none for a node alone.
    pub keys: Option<Keys>,
}

impl Config {
    /// Reads the file that the flags name and puts the flags over it.
    ///
    /// # Errors
    ///
    /// Fails with every fault of both.
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

    /// Reads a file's text and puts the flags over it.
    ///
    /// # Errors
    ///
    /// Fails with every fault of both.
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

    /// The options of the node.
    ///
    /// # Errors
    ///
    /// Fails when the socket for metrics can't be had.
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

    fn check(&self, faults: &mut Faults) {
        if self.listen == self.control && self.listen != unset_address() {
            let problem = "the same address as listen: peers and operators need one of their own";
            faults.push(path("control"), quote(self.control), problem);
        }
        for (name, addr) in [("objects", self.objects), ("control", self.control)] {
            // Peers and the node's own calls go to these, so that they have to be a real address.
            let reachable = addr.port() != 0 && !addr.ip().is_unspecified();
            if !reachable && addr != unset_address() {
                let problem = "not an address to call: write an IP number and a port above 0";
                faults.push(path(name), quote(addr), problem);
            }
        }
        if self.peers.contains(&self.control) {
            let problem = "the node's own control address: list other nodes only";
            faults.push(path("peers"), quote(self.control), problem);
        }
        if self.threads == 0 || self.threads > MAX_THREADS {
            let problem = format!("write 1 to {MAX_THREADS} threads");
            faults.push(path("threads"), self.threads.to_string(), problem);
        }
    }
}

/// Reads the shared keys; a wrong one is not repeated in a message that may be logged.
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

/// Puts flags over the file's values.
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

/// Reads a flag's value.
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
            // The wrong flag is the fault; that nothing else says the value is none.
            let problem = format!("{err}; an address is an IP number and a port: 10.11.0.1:8080");
            let problem = match name {
                "--threads" => err.to_string(),
                _ => problem,
            };
            faults.push(path(name), format!("{text:?}"), problem);
        }
    }
}

/// A name that has to be said.
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

/// An address that has to be said.
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

/// The address that stands for one that was not said.
fn unset_address() -> SocketAddr {
    SocketAddr::from(([0, 0, 0, 0], 0))
}

fn path(name: &str) -> Path {
    Path::root().child(name)
}

fn quote(addr: SocketAddr) -> String {
    format!("\"{addr}\"")
}
