//! Command-line flags of the daemon.

use gumdrop::Options;

/// Runs one node of cassiareel.
///
/// Flags override the settings file. Without a file, flags must give the name, the data centre, the
/// listen and control addresses, and the address of the object API.
#[derive(Debug, Default, Options)]
pub(crate) struct Args {
    /// Print this help.
    pub help: bool,
    /// The settings file of the daemon; see examples/node.toml.
    #[options(meta = "FILE")]
    pub settings: Option<String>,
    /// Check the settings, list every error, and exit.
    pub check: bool,
    /// The name of the node, unique in the fleet.
    #[options(meta = "NAME", no_short)]
    pub name: Option<String>,
    /// The data centre of the node, as named in the tree of settings.
    #[options(meta = "NAME", no_short)]
    pub data_centre: Option<String>,
    /// The listen address for callers, such as 10.11.0.1:8080.
    #[options(meta = "ADDR", no_short)]
    pub listen: Option<String>,
    /// The control address for peers and operators.
    #[options(meta = "ADDR", no_short)]
    pub control: Option<String>,
    /// The address of the platform's object API.
    #[options(meta = "ADDR", no_short)]
    pub objects: Option<String>,
    /// The control address of a peer through which to join; may be repeated.
    #[options(meta = "ADDR", no_short)]
    pub peer: Vec<String>,
    /// The address of a StatsD server for metrics.
    #[options(meta = "ADDR", no_short)]
    pub metrics: Option<String>,
    /// The number of threads that run the node's tasks.
    #[options(meta = "COUNT", no_short)]
    pub threads: Option<String>,
    /// At shutdown, how long to accept new connections after readiness is turned off, such as 5s.
    #[options(meta = "TIME", no_short)]
    pub grace: Option<String>,
}
