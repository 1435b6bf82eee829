//! docs/LOGS.md lists exactly the messages that the relay logs.

use std::{collections::BTreeSet, fs, path::Path};

/// The calls that are followed by a message.
const CALLS: [&str; 4] = ["debug!(", "info!(", "warn!(", "error!("];

/// Collects the messages in the sources below a folder.
fn logged(folder: &Path, messages: &mut BTreeSet<String>) {
    for entry in fs::read_dir(folder).expect("the sources are there") {
        let path = entry.expect("the sources can be listed").path();
        if path.is_dir() {
            logged(&path, messages);
        } else {
            logged_in(&path, messages);
        }
    }
}

/// Collects the messages in a source.
fn logged_in(file: &Path, messages: &mut BTreeSet<String>) {
    let text = fs::read_to_string(file).expect("the sources can be read");
    for call in CALLS {
        let found = text.split(call).skip(1).filter_map(message);
        messages.extend(found);
    }
}

/// Returns the first string literal of a call, which is its message.
fn message(call: &str) -> Option<String> {
    let (_, rest) = call.split_once('"')?;
    let (message, _) = rest.split_once('"')?;
    Some(message.to_owned())
}

/// Returns the messages in the first columns of the page's tables.
fn listed(page: &str) -> BTreeSet<String> {
    page.lines()
        .filter(|line| line.starts_with("| `"))
        .filter_map(|line| line.split('|').nth(1))
        .flat_map(|column| column.split('`').skip(1).step_by(2))
        .map(str::to_owned)
        .collect()
}

#[test]
fn the_page_and_the_code_agree() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut messages = BTreeSet::new();
    logged(&root.join("src"), &mut messages);
    logged(&root.join("../../platform/src"), &mut messages);
    // The relay's duties use the lease of the other front.
    logged_in(
        &root.join("../cassiareel/src/control/lease.rs"),
        &mut messages,
    );
    let page = fs::read_to_string(root.join("../../docs/LOGS.md")).expect("the page is there");
    assert_eq!(messages, listed(&page));
}
