//! Waiting until a revision is in force on every node.

use std::time::{Duration, Instant};

use cassiareel::kernel::Revision;
use serde_json::json;
use smol::Timer;

use crate::{status::query_all, Code, NodeClient, Report};

/// The interval at which a node is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Waits until each node has a revision or a later one in force.
///
/// The report lists the nodes that do not reach the revision within the limit; its exit code is then
/// [`Code::Pending`].
pub async fn wait_for_revision(
    nodes: &[NodeClient],
    revision: Revision,
    limit: Duration,
) -> Report {
    let started = Instant::now();
    let answers = query_all(nodes, move |node| {
        wait_for_node(node, revision, started + limit)
    })
    .await;
    let late: Vec<String> = nodes
        .iter()
        .zip(answers)
        .filter_map(|(node, late)| Some(format!("{}: {}", node.addr, late?)))
        .collect();
    let elapsed_ms = started.elapsed().as_millis();
    let json = json!({"revision": revision, "millis": elapsed_ms as u64, "late": late});
    if late.is_empty() {
        let text = format!(
            "revision {revision} is in force on all {} nodes after {elapsed_ms} ms",
            nodes.len()
        );
        return Report::new(text, json);
    }
    let text = format!(
        "revision {revision} is accepted, but not in force after {elapsed_ms} ms on:\n{}\nnext: `cassiareel \
         status` shows when that changes; see \"A node is behind\" in docs/OPERATIONS.md",
        late.join("\n")
    );
    Report::new(text, json).with_code(Code::Pending)
}

/// Waits until one node has the revision in force; returns the reason if it does not in time.
async fn wait_for_node(node: NodeClient, revision: Revision, deadline: Instant) -> Option<String> {
    loop {
        let late = match node.status().await {
            Ok(status) if status.revision >= revision => return None,
            Ok(status) => format!("revision {} is in force", status.revision),
            Err(cause) => cause,
        };
        if Instant::now() >= deadline {
            return Some(late);
        }
        Timer::after(POLL_INTERVAL).await;
    }
}
