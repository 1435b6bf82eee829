//! Commands that list the backend servers and versions of the tree of settings.

use cassiareel::settings::{Service, Tree};
use serde_json::json;

use crate::{
    report::{heading, table},
    Code, Error, Report,
};

/// Lists the backend servers of a service, or of all services.
///
/// # Errors
///
/// Fails if the service does not exist.
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
    for (name, node) in select_services(tree, service)? {
        for (version_name, version) in &node.versions {
            let current = *version_name == node.version;
            for (data_centre, placement) in &version.placements {
                for server in &placement.servers {
                    rows.push(vec![
                        name.to_owned(),
                        version_name.to_string(),
                        data_centre.to_string(),
                        server.to_string(),
                        if current { "yes" } else { "where named" }.to_owned(),
                    ]);
                    list.push(json!({
                        "service": name, "version": version_name, "data_centre": data_centre,
                        "server": server, "current": current,
                    }));
                }
            }
        }
    }
    Ok(Report::new(table(&rows), json!({"servers": list})))
}

/// Lists the versions of a service, or of all services, with the number of backend servers and the
/// traffic of each.
///
/// # Errors
///
/// Fails if the service does not exist.
pub fn versions(tree: &Tree, service: Option<&str>) -> Result<Report, Error> {
    let mut rows = vec![heading(&["service", "version", "servers", "gets"])];
    let mut list = Vec::new();
    for (name, node) in select_services(tree, service)? {
        for (version_name, version) in &node.versions {
            let servers: usize = version.placements.values().map(|p| p.servers.len()).sum();
            let traffic = traffic(tree, name, node, version_name);
            rows.push(vec![
                name.to_owned(),
                version_name.to_string(),
                servers.to_string(),
                traffic.join(", "),
            ]);
            list.push(json!({
                "service": name, "version": version_name, "servers": servers, "gets": traffic,
            }));
        }
    }
    Ok(Report::new(table(&rows), json!({"versions": list})))
}

/// Returns descriptions of the traffic that the tree routes to a version.
fn traffic(tree: &Tree, service: &str, node: &Service, version: &str) -> Vec<String> {
    let mut traffic = Vec::new();
    if &*node.version == version {
        traffic.push("all that is not named elsewhere".to_owned());
    }
    let names_version = |versions: &std::collections::BTreeMap<_, _>| {
        versions
            .get(service)
            .is_some_and(|named: &std::sync::Arc<str>| &**named == version)
    };
    for region in tree.regions.values() {
        for (name, data_centre) in &region.data_centres {
            if names_version(&data_centre.versions) {
                traffic.push(format!("data centre {name}"));
            }
        }
    }
    for (name, account) in &tree.accounts {
        if names_version(&account.versions) {
            traffic.push(format!("account {name}"));
        }
        for (caller_name, caller) in &account.callers {
            if names_version(&caller.versions) {
                traffic.push(format!("caller {caller_name} of {name}"));
            }
        }
    }
    traffic
}

/// Returns the named service, or all services if no name is given.
fn select_services<'a>(
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
