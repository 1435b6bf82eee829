//! Backend servers and versions, as the tree places them.

use cassiareel::settings::{Service, Tree};
use serde_json::json;

use crate::{
    report::{heading, table},
    Code, Error, Report,
};

/// Lists backend servers.
///
/// # Errors
///
/// Fails where there is no such service.
pub fn servers(tree: &Tree, service: Option<&str>) -> Result<Report, Error> {
    let names = [
        "service",
        "version",
        "data centre",
        "server",
        "gets new work",
    ];
    let mut rows = vec![heading(&names)];
    let mut list = Vec::new();
    for (name, node) in services(tree, service)? {
        for (label, version) in &node.versions {
            let current = *label == node.version;
            for (place, placement) in &version.placements {
                for server in &placement.servers {
                    rows.push(vec![
                        name.to_owned(),
                        label.to_string(),
                        place.to_string(),
                        server.to_string(),
                        if current { "yes" } else { "where named" }.to_owned(),
                    ]);
                    list.push(json!({
                        "service": name, "version": label, "data_centre": place,
                        "server": server, "current": current,
                    }));
                }
            }
        }
    }
    Ok(Report::new(table(&rows), json!({"servers": list})))
}

/// Lists versions with their placements and who is sent to them.
///
/// # Errors
///
/// Fails where there is no such service.
pub fn versions(tree: &Tree, service: Option<&str>) -> Result<Report, Error> {
    let mut rows = vec![heading(&["service", "version", "servers", "gets"])];
    let mut list = Vec::new();
    for (name, node) in services(tree, service)? {
        for (label, version) in &node.versions {
            let servers: usize = version.placements.values().map(|p| p.servers.len()).sum();
            let users = users(tree, name, node, label);
            rows.push(vec![
                name.to_owned(),
                label.to_string(),
                servers.to_string(),
                users.join(", "),
            ]);
            list.push(json!({
                "service": name, "version": label, "servers": servers, "gets": users,
            }));
        }
    }
    Ok(Report::new(table(&rows), json!({"versions": list})))
}

/// Who is sent to a version.
fn users(tree: &Tree, service: &str, node: &Service, version: &str) -> Vec<String> {
    let mut users = Vec::new();
    if &*node.version == version {
        users.push("all that is not named elsewhere".to_owned());
    }
    let is_here = |versions: &std::collections::BTreeMap<_, _>| {
        versions
            .get(service)
            .is_some_and(|named: &std::sync::Arc<str>| &**named == version)
    };
    for region in tree.regions.values() {
        for (name, place) in &region.data_centres {
            if is_here(&place.versions) {
                users.push(format!("data centre {name}"));
            }
        }
    }
    for (name, account) in &tree.accounts {
        if is_here(&account.versions) {
            users.push(format!("account {name}"));
        }
        for (label, caller) in &account.callers {
            if is_here(&caller.versions) {
                users.push(format!("caller {label} of {name}"));
            }
        }
    }
    users
}

fn services<'a>(
    tree: &'a Tree,
    service: Option<&str>,
) -> Result<Vec<(&'a str, &'a Service)>, Error> {
    let found: Vec<(&str, &Service)> = tree
        .services
        .iter()
        .filter(|(name, _)| service.is_none_or(|service| &***name == service))
        .map(|(name, node)| (&**name, node))
        .collect();
    match service {
        Some(service) if found.is_empty() => {
            let names: Vec<&str> = tree.services.keys().map(|name| &**name).collect();
            Err(Error::new(
                Code::Refused,
                format!("there is no service {service}"),
                format!("the tree has: {}", names.join(", ")),
            ))
        }
        _ => Ok(found),
    }
}
