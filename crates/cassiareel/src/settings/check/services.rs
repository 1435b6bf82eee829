//! Checks of services, versions and placements.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use super::{check_name, check_version, data_centres, list, quote};
use crate::settings::{tree::ServiceKind, Faults, Path, Service, Tree, Version};

/// Adds the faults of all services to `faults`.
pub(super) fn check(tree: &Tree, faults: &mut Faults) {
    let root = Path::root().child("services");
    for (name, service) in &tree.services {
        let path = root.child(name);
        check_name(&path, name, faults);
        check_current(tree, &path, name, service, faults);
        check_routes(&path, service, faults);
        for (label, version) in &service.versions {
            let path = path.join(&["versions", label]);
            check_name(&path, label, faults);
            check_placements(tree, &path, version, faults);
        }
    }
    check_servers(tree, faults);
    check_accelerators(tree, faults);
}

/// Checks the version that new work goes to.
fn check_current(tree: &Tree, path: &Path, name: &str, service: &Service, faults: &mut Faults) {
    let path = path.child("version");
    if service.version.is_empty() {
        let problem = format!(
            "missing: write the version that new work goes to, one of {}",
            list(service.versions.keys())
        );
        faults.push(path, "", problem);
        return;
    }
    check_version(tree, &path, name, &service.version, faults);
    let Some(version) = service.versions.get(&service.version) else {
        return;
    };
    if version.placements.values().all(|p| p.servers.is_empty()) {
        let problem = "no backend server runs this version: write servers in one of its placements";
        faults.push(path, quote(&service.version), problem);
    }
}

fn check_routes(path: &Path, service: &Service, faults: &mut Faults) {
    for prefix in service.routes.keys() {
        let path = path.join(&["routes", prefix]);
        if service.kind == ServiceKind::Model {
            let problem = "only a plain service has routes: a model is called by its name";
            faults.push(path.clone(), "", problem);
        }
        if !prefix.starts_with('/') {
            faults.push(
                path,
                "",
                "a route must start with \"/\", such as \"/entries\"",
            );
        }
    }
}

fn check_placements(tree: &Tree, path: &Path, version: &Version, faults: &mut Faults) {
    let data_centres = data_centres(tree);
    for (name, placement) in &version.placements {
        let path = path.join(&["placements", name]);
        if !data_centres.contains(name) {
            let problem = format!(
                "there is no data centre of this name: the tree has {}",
                list(&data_centres)
            );
            faults.push(path.clone(), "", problem);
        }
        if placement.surge == Some(0) {
            let problem = "no backend server could ever load a version: write at least 1";
            faults.push(path.child("surge"), "0", problem);
        }
        let mut seen = BTreeSet::new();
        for (i, server) in placement.servers.iter().enumerate() {
            let path = path.child("servers").element(i);
            let value = quote(&server.to_string());
            if !seen.insert(server) {
                faults.push(path, value, "listed twice: remove one");
            } else if server.port() == 0 || server.ip().is_unspecified() {
                let problem = "not an address to call: write an IP number and a port above 0";
                faults.push(path, value, problem);
            }
        }
    }
}

/// The service and data centre that a backend server is first listed under.
struct Owner<'a> {
    service: &'a str,
    data_centre: &'a str,
}

/// Rejects a backend server that is listed under two services or in two data centres.
fn check_servers(tree: &Tree, faults: &mut Faults) {
    let mut owners: BTreeMap<SocketAddr, Owner> = BTreeMap::new();
    for (service, node) in &tree.services {
        for (label, version) in &node.versions {
            for (data_centre, placement) in &version.placements {
                for (i, server) in placement.servers.iter().enumerate() {
                    let owner = owners.entry(*server).or_insert(Owner {
                        service,
                        data_centre,
                    });
                    if (owner.service, owner.data_centre) == (&**service, &**data_centre) {
                        continue;
                    }
                    let path = Path::root().join(&["services", service, "versions", label]);
                    let path = path
                        .join(&["placements", data_centre, "servers"])
                        .element(i);
                    let problem = format!(
                        "this backend server already belongs to service {} in {}: each one serves \
                         one service in one data centre",
                        owner.service, owner.data_centre
                    );
                    faults.push(path, quote(&server.to_string()), problem);
                }
            }
        }
    }
}

/// Rejects placements that need more accelerators than their data centre has.
///
/// A backend server that runs several versions needs as many as the version that uses the most.
fn check_accelerators(tree: &Tree, faults: &mut Faults) {
    let mut used: BTreeMap<(&str, SocketAddr), u32> = BTreeMap::new();
    let versions = tree.services.values().flat_map(|s| s.versions.values());
    for version in versions {
        let each = version.accelerators.unwrap_or(0);
        for (data_centre, placement) in &version.placements {
            for server in &placement.servers {
                let most = used.entry((data_centre, *server)).or_default();
                *most = each.max(*most);
            }
        }
    }
    for (region, node) in &tree.regions {
        for (name, data_centre) in &node.data_centres {
            let Some(available) = data_centre.accelerators else {
                continue;
            };
            let sum: u64 = used
                .iter()
                .filter(|((at, _), _)| *at == &**name)
                .map(|(_, each)| u64::from(*each))
                .sum();
            if sum > u64::from(available) {
                let path = Path::root().join(&["regions", region, "data_centres", name]);
                let problem = format!(
                    "placements in this data centre need {sum} accelerators: write at least {sum}, \
                     or place fewer servers"
                );
                faults.push(path.child("accelerators"), available.to_string(), problem);
            }
        }
    }
}
