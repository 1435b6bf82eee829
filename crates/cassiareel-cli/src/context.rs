//! The context of a command: the object API, the nodes and the operator.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

use cassiareel::store::{HttpObjects, Objects};

use crate::{Args, Code, Error, NodeClient};

/// The object API, the nodes and the operator that a command works with.
#[derive(Clone)]
pub struct Context {
    /// The object API, if its address was given.
    pub objects: Option<Arc<dyn Objects>>,
    /// Control addresses of nodes.
    pub nodes: Vec<SocketAddr>,
    /// The operator's key, which authenticates calls to nodes.
    pub key: Option<String>,
    /// The operator's name, which is recorded in the history.
    pub author: String,
}

impl Context {
    /// Creates the context from the options, with environment variables for those not given.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be parsed.
    pub fn new(args: &Args) -> Result<Context, Error> {
        let objects = match option_or_env(args.object_api.as_ref(), "CASSIAREEL_OBJECT_API") {
            Some(addr) => {
                let objects = HttpObjects::new(parse_address("--object-api", &addr)?);
                Some(Arc::new(objects) as Arc<dyn Objects>)
            }
            None => None,
        };
        let nodes = option_or_env(args.nodes.as_ref(), "CASSIAREEL_NODES").unwrap_or_default();
        let nodes = nodes
            .split([',', ' '])
            .filter(|addr| !addr.is_empty())
            .map(|addr| parse_address("--nodes", addr))
            .collect::<Result<_, _>>()?;
        let author = option_or_env(args.author.as_ref(), "CASSIAREEL_AUTHOR")
            .or_else(|| std::env::var("USER").ok())
            .unwrap_or_else(|| "unknown".to_owned());
        Ok(Context {
            objects,
            nodes,
            key: option_or_env(args.key.as_ref(), "CASSIAREEL_KEY"),
            author,
        })
    }

    /// Returns the object API.
    ///
    /// # Errors
    ///
    /// Fails if its address was not given.
    pub fn objects(&self) -> Result<&dyn Objects, Error> {
        self.objects.as_deref().ok_or_else(missing_objects)
    }

    /// Returns a shared handle to the object API.
    ///
    /// # Errors
    ///
    /// Fails if its address was not given.
    pub fn shared_objects(&self) -> Result<Arc<dyn Objects>, Error> {
        self.objects.clone().ok_or_else(missing_objects)
    }

    /// Returns a client for each node.
    ///
    /// # Errors
    ///
    /// Fails if no node or no key was given.
    pub fn nodes(&self) -> Result<Vec<NodeClient>, Error> {
        if self.nodes.is_empty() {
            return Err(Error::new(
                Code::Usage,
                "no node is given",
                "give --nodes ADDR,ADDR (control addresses) or set CASSIAREEL_NODES",
            ));
        }
        let Some(key) = &self.key else {
            return Err(Error::new(
                Code::Usage,
                "no operator key is given",
                "set CASSIAREEL_KEY or give --key; `cassiareel keys add --operator NAME` creates one",
            ));
        };
        let client = |addr: &SocketAddr| NodeClient::new(*addr, key);
        Ok(self.nodes.iter().map(client).collect())
    }
}

fn missing_objects() -> Error {
    Error::new(
        Code::Usage,
        "the address of the object API is not given",
        "give --object-api ADDR or set CASSIAREEL_OBJECT_API",
    )
}

/// Returns the milliseconds since the Unix epoch.
pub(crate) fn now_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |since_epoch| {
        u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
    })
}

/// Returns the value of an option or, if it was not given, of its environment variable.
fn option_or_env(option: Option<&String>, variable: &str) -> Option<String> {
    option.cloned().or_else(|| std::env::var(variable).ok())
}

/// Parses the address that an option was given.
fn parse_address(option: &str, text: &str) -> Result<SocketAddr, Error> {
    text.parse().map_err(|_| {
        Error::new(
            Code::Usage,
            format!("{option}: `{text}` is not an address"),
            "write an IP address and a port, such as 10.11.0.100:8280",
        )
    })
}
