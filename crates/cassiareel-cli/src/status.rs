//! The nodes, and which revision each has in force.

use cassiareel::{front::NodeStatus, kernel::Revision};
use futures_lite::{stream, StreamExt};
use serde_json::json;

use crate::{
    report::{heading, table},
    Code, NodeClient, Report,
};

/// Asks all at the same time, and gives their answers in the same order.
pub(crate) async fn ask_each<A, F, O, T>(asked: &[A], ask: F) -> Vec<T>
where
    A: Clone,
    F: Fn(A) -> O,
    O: std::future::Future<Output = T> + Send + 'static,
    T: Send + 'static,
{
    let tasks: Vec<_> = asked
        .iter()
        .map(|one| smol::spawn(ask(one.clone())))
        .collect();
    stream::iter(tasks).then(|task| task).collect().await
}

/// Asks each node for its status; `accepted` is the revision that it should have in force.
pub async fn status(nodes: &[NodeClient], accepted: Option<Revision>) -> Report {
    let answers = ask_each(nodes, |node| async move { node.status().await }).await;
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
    let mut reached = true;
    for (node, answer) in nodes.iter().zip(answers) {
        let addr = node.addr.to_string();
        match answer {
            Ok(status) => {
                let state = state(&status, accepted);
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
                reached = false;
                let unknown = || "-".to_owned();
                let mut row = vec![unknown(), unknown(), addr.clone()];
                row.extend([unknown(), unknown(), unknown(), cause.clone()]);
                rows.push(row);
                list.push(json!({"address": addr, "error": cause}));
            }
        }
    }
    let code = if reached { Code::Done } else { Code::Unreached };
    let accepted = accepted.map_or("not read".to_owned(), |revision| revision.to_string());
    let text = format!("accepted revision: {accepted}\n{}", table(&rows));
    Report::new(text, json!({"accepted": accepted, "nodes": list})).with_code(code)
}

fn state(status: &NodeStatus, accepted: Option<Revision>) -> String {
    match accepted {
        _ if status.leaving => "stopping".to_owned(),
        _ if status.revision == 0 => "waiting for settings".to_owned(),
        Some(accepted) if status.revision < accepted => {
            format!("{} revisions behind", accepted - status.revision)
        }
        _ => "serving".to_owned(),
    }
}
