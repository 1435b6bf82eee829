/*!
Checks that need the whole tree: names, references, cycles and sums.

Each check records its faults and continues, so that an operator sees every fault at once.
*/

mod accounts;
mod policies;
mod services;

use std::{collections::BTreeSet, fmt};

use super::{Faults, Path, Tree};
use crate::kernel::DataCentreId;

/// The most bytes in the name of a node.
const MAX_NAME_BYTES: usize = 63;

/// Adds every fault of a tree to `faults`.
pub(super) fn check(tree: &Tree, faults: &mut Faults) {
    policies::check(tree, faults);
    check_regions(tree, faults);
    services::check(tree, faults);
    accounts::check(tree, faults);
}

/// Checks regions and data centres.
fn check_regions(tree: &Tree, faults: &mut Faults) {
    let root = Path::root().child("regions");
    let mut seen = BTreeSet::new();
    for (region, node) in &tree.regions {
        let path = root.child(region);
        check_name(&path, region, faults);
        for (name, data_centre) in &node.data_centres {
            let path = path.join(&["data_centres", name]);
            check_name(&path, name, faults);
            if !seen.insert(name) {
                let problem = "another region has a data centre of this name: names of data \
                               centres must be unique in the whole tree";
                faults.push(path.clone(), "", problem);
            }
            for (service, version) in &data_centre.versions {
                let path = path.join(&["versions", service]);
                check_version(tree, &path, service, version, faults);
            }
        }
    }
}

/// Checks the name of a node.
fn check_name(path: &Path, name: &str, faults: &mut Faults) {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.@".contains(&b);
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(is_allowed) {
        let problem = format!(
            "not a name: write 1 to {MAX_NAME_BYTES} letters, digits, dots, hyphens or underscores"
        );
        faults.push(path.clone(), "", problem);
    }
}

/// Checks a reference to a service's version.
fn check_version(tree: &Tree, path: &Path, service: &str, version: &str, faults: &mut Faults) {
    let Some(node) = tree.services.get(service) else {
        faults.push(path.clone(), "", no_service(tree, service));
        return;
    };
    if !node.versions.contains_key(version) {
        let problem = format!(
            "service {service} has no such version: it has {}",
            list(node.versions.keys())
        );
        faults.push(path.clone(), quote(version), problem);
    }
}

/// Returns a message that a service does not exist, with the services of the tree.
fn no_service(tree: &Tree, service: &str) -> String {
    format!(
        "there is no service {service}: the tree has {}",
        list(tree.services.keys())
    )
}

/// Returns the names of all data centres of the tree.
fn data_centres(tree: &Tree) -> BTreeSet<&DataCentreId> {
    tree.regions
        .values()
        .flat_map(|region| region.data_centres.keys())
        .collect()
}

/// Joins names for a message; "none" if there are none.
fn list<I>(names: I) -> String
where
    I: IntoIterator,
    I::Item: fmt::Display,
{
    let names: Vec<String> = names.into_iter().map(|name| name.to_string()).collect();
    if names.is_empty() {
        return "none".to_owned();
    }
    names.join(", ")
}

/// Formats a text as a TOML string.
fn quote(text: &str) -> String {
    toml::Value::from(text).to_string()
}
