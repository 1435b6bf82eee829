//! The `serve` command: a deployment that runs until interrupted.

use std::{io, thread, time::Duration};

use cassiareel::node::Node;
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    flag,
};

use super::{Deployment, ACCOUNT, KEY, OPERATOR_KEY};

/// Interval at which the signal flag is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Prints how to reach a deployment, and returns after SIGINT or SIGTERM.
///
/// # Errors
///
/// Fails if the signal handlers cannot be registered.
pub fn serve(deployment: &Deployment) -> io::Result<()> {
    let stop = std::sync::Arc::default();
    flag::register(SIGINT, std::sync::Arc::clone(&stop))?;
    flag::register(SIGTERM, std::sync::Arc::clone(&stop))?;
    println!("{}", usage_text(deployment));
    while !stop.load(std::sync::atomic::Ordering::Relaxed) {
        thread::sleep(POLL_INTERVAL);
    }
    println!("interrupted; stopping the nodes and stand-ins");
    Ok(())
}

/// Returns the addresses, the API key and three commands to try.
fn usage_text(deployment: &Deployment) -> String {
    let (model, version) = deployment.model();
    let mut lines = vec!["nodes:".to_owned()];
    lines.extend(deployment.nodes().map(node_line));
    lines.push(format!("object API: {}", deployment.objects.addr()));
    lines.push(format!("key: {KEY} (of the client account {ACCOUNT})"));
    lines.push(format!("model: {model}, version {version}"));
    let Some(first) = deployment.nodes().next() else {
        return lines.join("\n");
    };
    let addr = first.addr().map(|addr| addr.to_string());
    let addr = addr.unwrap_or_default();
    let objects = deployment.objects.addr();
    let nodes: Vec<String> = deployment
        .nodes()
        .map(|node| node.control_addr().to_string())
        .collect();
    let nodes = nodes.join(",");
    lines.push(format!(
        r#"
A standard client:

  python3 -c '
from openai import OpenAI
client = OpenAI(base_url="http://{addr}/v1", api_key="{KEY}")
for part in client.completions.create(model="{model}", prompt="Once", max_tokens=40, stream=True):
    print(part.choices[0].text, end="", flush=True)
'

curl:

  curl -N http://{addr}/v1/completions -H 'Authorization: Bearer {KEY}' \
    -H 'Content-Type: application/json' \
    -d '{{"model": "{model}", "prompt": "Once", "max_tokens": 40, "stream": true}}'

The operators' command line:

  export CASSIAREEL_OBJECT_API={objects} CASSIAREEL_NODES={nodes}
  export CASSIAREEL_KEY={OPERATOR_KEY}
  cargo run --release --bin cassiareel -- status

Stop with Ctrl-C."#
    ));
    lines.join("\n")
}

fn node_line(node: &Node) -> String {
    let options = node.options();
    let callers = node.addr().map(|addr| addr.to_string());
    format!(
        "  {} in {}: callers {}, peers and operators {}",
        options.name,
        options.data_centre,
        callers.unwrap_or_default(),
        node.control_addr()
    )
}
