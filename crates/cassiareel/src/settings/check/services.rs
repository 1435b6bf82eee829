//! Checks of services, versions and placements.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use super::{check_name, check_version, list, places, quote};
use crate::settings::{tree::ServiceKind, Faults, Path, Service, Tree, Version};

/// Adds the faults of all services.
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
    for start in service.routes.keys() {
        let path = path.join(&["routes", start]);
        if service.kind == ServiceKind::Model {
            let problem = "only a plain service has routes: a model is called by its name";
            faults.push(path.clone(), "", problem);
        }
        if !start.starts_with('/') {
            faults.push(path, "", "a route starts with \"/\", such as \"/entries\"");
        }
    }
}

fn check_placements(tree: &Tree, path: &Path, version: &Version, faults: &mut Faults) {
    let places = places(tree);
    for (name, placement) in &version.placements {
        let path = path.join(&["placements", name]);
        if !places.contains(name) {
            let problem = format!(
                "there is no data centre of this name: the tree has {}",
                list(&places)
            );
            faults.push(path.clone(), "", problem);
        }
        if placement.surge == Some(0) {
            let problem = "nothing could ever be loaded: write at least 1";
            faults.push(path.child("surge"), "0", problem);
        }
        let mut seen = BTreeSet::new();
        for (i, server) in placement.servers.iter().enumerate() {
            let path = path.child("servers").element(i);
            let value = quote(&server.to_string());
            if !seen.insert(server) {
                faults.push(path, value, "listed twice: leave one out");
            } else if server.port() == 0 || server.ip().is_unspecified() {
                let problem = "not an address to call: write an IP number and a port above 0";
                faults.push(path, value, problem);
            }
        }
    }
}

/// Where a backend server was met first.
struct Owner<'a> {
    service: &'a str,
    place: &'a str,
}

/// Refuses a backend server of two services or in two data centres.
fn check_servers(tree: &Tree, faults: &mut Faults) {
    let mut owners: BTreeMap<SocketAddr, Owner> = BTreeMap::new();
    for (service, node) in &tree.services {
        for (label, version) in &node.versions {
            for (place, placement) in &version.placements {
                for (i, server) in placement.servers.iter().enumerate() {
                    let owner = owners.entry(*server).or_insert(Owner { service, place });
                    if (owner.service, owner.place) == (&**service, &**place) {
                        continue;
                    }
                    let path = Path::root().join(&["services", service, "versions", label]);
                    let path = path.join(&["placements", place, "servers"]).element(i);
                    let problem = format!(
                        "this backend server is one of service {} in {}: each serves one service \
                         in one data centre",
                        owner.service, owner.place
                    );
                    faults.push(path, quote(&server.to_string()), problem);
                }
            }
        }
    }
}

/// Refuses placements that take more accelerators than their data centre has.
///
/// A backend server that runs several versions takes as many as the greediest of them.
fn check_accelerators(tree: &Tree, faults: &mut Faults) {
    let mut taken: BTreeMap<(&str, SocketAddr), u32> = BTreeMap::new();
    let versions = tree.services.values().flat_map(|s| s.versions.values());
    for version in versions {
        let each = version.accelerators.unwrap_or(0);
        for (place, placement) in &version.placements {
            for server in &placement.servers {
                let most = taken.entry((place, *server)).or_default();
                *most = each.max(*most);
            }
        }
    }
    for (region, node) in &tree.regions {
        for (name, place) in &node.data_centres {
            let Some(has) = place.accelerators else {
                continue;
            };
            let sum: u64 = taken
                .iter()
                .filter(|((at, _), _)| *at == &**name)
                .map(|(_, each)| u64::from(*each))
                .sum();
            if sum > u64::from(has) {
                let path = Path::root().join(&["regions", region, "data_centres", name]);
                let problem = format!(
                    "placements here take {sum} accelerators: write at least {sum}, or place fewer \
                     servers"
                );
                faults.push(path.child("accelerators"), has.to_string(), problem);
            }
        }
    }
}
