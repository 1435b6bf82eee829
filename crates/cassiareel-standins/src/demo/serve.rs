//! A deployment that stays up.

use std::{io, thread, time::Duration};

use cassiareel::node::Node;
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    flag,
};

use super::{Deployment, ACCOUNT, KEY, OPERATOR_KEY};

/// How often waiting for a signal looks at its flag.
const POLL: Duration = Duration::from_millis(50);

/// Prints how to reach a deployment, and keeps it up until interrupted.
///
/// # Errors
///
/// Fails when signals can't be caught.
pub fn serve(deployment: &Deployment) -> io::Result<()> {
    let stop = std::sync::Arc::default();
    flag::register(SIGINT, std::sync::Arc::clone(&stop))?;
    flag::register(SIGTERM, std::sync::Arc::clone(&stop))?;
    println!("{}", guide(deployment));
    while !stop.load(std::sync::atomic::Ordering::Relaxed) {
        thread::sleep(POLL);
    }
    println!("interrupted; all is taken down");
    Ok(())
}

/// The addresses, a key and three commands to try.
fn guide(deployment: &Deployment) -> String {
    let (model, version) = deployment.model();
    let mut lines = vec!["nodes:".to_owned()];
    lines.extend(deployment.nodes().map(line));
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
A stock client:

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

fn line(node: &Node) -> String {
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
