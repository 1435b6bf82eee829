//! The status of nodes and the revision that each has in force.

use cassiareel::{front::NodeStatus, kernel::Revision};
use futures_lite::{stream, StreamExt};
use serde_json::json;

use crate::{
    report::{heading, table},
    Code, NodeClient, Report,
};

/// Queries all targets concurrently and returns their answers in the order of the targets.
pub(crate) async fn query_all<A, F, O, T>(targets: &[A], query: F) -> Vec<T>
where
    A: Clone,
    F: Fn(A) -> O,
    O: std::future::Future<Output = T> + Send + 'static,
    T: Send + 'static,
{
    let tasks: Vec<_> = targets
        .iter()
        .map(|target| smol::spawn(query(target.clone())))
        .collect();
    stream::iter(tasks).then(|task| task).collect().await
}

/// Reports the status of each node; `accepted` is the revision that nodes should have in force.
pub async fn status(nodes: &[NodeClient], accepted: Option<Revision>) -> Report {
    let answers = query_all(nodes, |node| async move { node.status().await }).await;
    let names = [
        "node",
        "data centre",
        "address",
        "revision",
        "open",
        "up",
        "state",
    ];
    let mut rows = vec![heading(&names)];
    let mut list = Vec::new();
    let mut all_reached = true;
    for (node, answer) in nodes.iter().zip(answers) {
        let addr = node.addr.to_string();
        match answer {
            Ok(status) => {
                let state = describe_state(&status, accepted);
                rows.push(vec![
                    status.name.to_string(),
                    status.data_centre.to_string(),
                    addr.clone(),
                    status.revision.to_string(),
                    status.open.to_string(),
                    format!("{}s", status.uptime),
                    state.clone(),
                ]);
                list.push(json!({"address": addr, "status": status, "state": state}));
            }
            Err(cause) => {
                all_reached = false;
                let dash = || "-".to_owned();
                let mut row = vec![dash(), dash(), addr.clone()];
                row.extend([dash(), dash(), dash(), cause.clone()]);
                rows.push(row);
                list.push(json!({"address": addr, "error": cause}));
            }
        }
    }
    let code = if all_reached {
        Code::Success
    } else {
        Code::Unreachable
    };
    let accepted = accepted.map_or("not read".to_owned(), |revision| revision.to_string());
    let text = format!("accepted revision: {accepted}\n{}", table(&rows));
    Report::new(text, json!({"accepted": accepted, "nodes": list})).with_code(code)
}

/// Describes the state of a node.
fn describe_state(status: &NodeStatus, accepted: Option<Revision>) -> String {
    match accepted {
        _ if status.leaving => "stopping".to_owned(),
        _ if status.revision == 0 => "waiting for settings".to_owned(),
        Some(accepted) if status.revision < accepted => {
            format!("{} revisions behind", accepted - status.revision)
        }
        _ => "serving".to_owned(),
    }
}
