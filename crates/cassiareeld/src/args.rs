//! The daemon's flags.

use gumdrop::Options;

/// Runs one node of cassiareel.
///
/// A flag counts over the settings file. Without a file, the flags have to say all that is needed:
/// the name, the data centre, the addresses and the object API.
#[derive(Debug, Default, Options)]
pub(crate) struct Args {
    /// Print this help.
    pub help: bool,
    /// The daemon's settings file; see examples/node.toml.
    #[options(meta = "FILE")]
    pub settings: Option<String>,
    /// Check the settings, name every fault, and start nothing.
    pub check: bool,
    /// The node's name, unique in the fleet.
    #[options(meta = "NAME", no_short)]
    pub name: Option<String>,
    /// The data centre that the node is in, as the tree names it.
    #[options(meta = "NAME", no_short)]
    pub data_centre: Option<String>,
    /// The address for callers, such as 10.11.0.1:8080.
    #[options(meta = "ADDR", no_short)]
    pub listen: Option<String>,
    /// The address for peers and operators.
    #[options(meta = "ADDR", no_short)]
    pub control: Option<String>,
    /// The address of the platform's object API.
    #[options(meta = "ADDR", no_short)]
    pub objects: Option<String>,
    /// The control address of a peer to join by; may be given several times.
    #[options(meta = "ADDR", no_short)]
    pub peer: Vec<String>,
    /// The address of a StatsD server for metrics.
    #[options(meta = "ADDR", no_short)]
    pub metrics: Option<String>,
    /// Threads that run the node's tasks.
    #[options(meta = "COUNT", no_short)]
    pub threads: Option<String>,
    /// Time between turning readiness off and the last new connection.
    #[options(meta = "TIME", no_short)]
    pub grace: Option<String>,
}
