//! Checks of policies: references, cycles, where a group may stand, and values.

use std::collections::BTreeSet;

use super::{check_name, list, quote};
use crate::{
    kernel::routing,
    settings::{
        policy::{Group, Limits, Membership, Moves, Policy, PolicyId, ResolvedPolicy, Routing},
        units::Share,
        Faults, Path, Scope, Tree,
    },
    wire,
};

/// Where a policy stands in the tree.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Place {
    /// The platform, a region or a data centre.
    Site,
    /// A service and what is beneath it.
    Service,
    /// A client account and what is beneath it.
    Account,
}

/// Adds the faults of all policies.
pub(super) fn check(tree: &Tree, faults: &mut Faults) {
    check_cycles(tree, faults);
    let root = Path::root();
    for (name, policy) in &tree.policies {
        let path = root.join(&["policies", name]);
        check_name(&path, name, faults);
        check_base(tree, &path, policy, faults);
    }
    let site = Checker {
        tree,
        place: Place::Site,
    };
    let path = root.join(&["platform", "policy"]);
    site.check(&path, &tree.platform.policy, &Scope::default(), faults);
    for (region, node) in &tree.regions {
        let path = root.join(&["regions", region]);
        // A region's values are checked with one of its data centres, or alone where it has none.
        let scope = Scope {
            data_centre: node.data_centres.keys().next().map(|name| &**name),
            ..Scope::default()
        };
        site.check(&path.child("policy"), &node.policy, &scope, faults);
        for (name, place) in &node.data_centres {
            let scope = Scope {
                data_centre: Some(name),
                ..Scope::default()
            };
            let path = path.join(&["data_centres", name, "policy"]);
            site.check(&path, &place.policy, &scope, faults);
        }
    }
    check_services(tree, faults);
    check_accounts(tree, faults);
}

fn check_services(tree: &Tree, faults: &mut Faults) {
    let checker = Checker {
        tree,
        place: Place::Service,
    };
    for (name, service) in &tree.services {
        let path = Path::root().join(&["services", name]);
        let scope = Scope {
            service: Some(name),
            ..Scope::default()
        };
        checker.check(&path.child("policy"), &service.policy, &scope, faults);
        for (start, route) in &service.routes {
            let scope = Scope {
                path: Some(start),
                ..scope
            };
            let path = path.join(&["routes", start, "policy"]);
            checker.check(&path, &route.policy, &scope, faults);
        }
        for (label, version) in &service.versions {
            let path = path.join(&["versions", label]);
            let scope = Scope {
                version: Some(label),
                ..scope
            };
            checker.check(&path.child("policy"), &version.policy, &scope, faults);
            for (place, placement) in &version.placements {
                let scope = Scope {
                    placement: Some(place),
                    ..scope
                };
                let path = path.join(&["placements", place, "policy"]);
                checker.check(&path, &placement.policy, &scope, faults);
            }
        }
    }
}

fn check_accounts(tree: &Tree, faults: &mut Faults) {
    let checker = Checker {
        tree,
        place: Place::Account,
    };
    for (name, account) in &tree.accounts {
        let path = Path::root().join(&["accounts", name]);
        let scope = Scope {
            account: Some(name),
            ..Scope::default()
        };
        checker.check(&path.child("policy"), &account.policy, &scope, faults);
        for (service, usage) in &account.uses {
            let scope = Scope {
                service: Some(service),
                ..scope
            };
            let path = path.join(&["uses", service, "policy"]);
            checker.check(&path, &usage.policy, &scope, faults);
        }
        for (label, caller) in &account.callers {
            let scope = Scope {
                caller: Some(label),
                ..scope
            };
            let path = path.join(&["callers", label, "policy"]);
            checker.check(&path, &caller.policy, &scope, faults);
        }
    }
}

/// Checks the policies of one kind of node.
struct Checker<'a> {
    tree: &'a Tree,
    place: Place,
}

impl Checker<'_> {
    fn check(&self, path: &Path, policy: &Policy, scope: &Scope, faults: &mut Faults) {
        if policy.is_empty() {
            return;
        }
        check_base(self.tree, path, policy, faults);
        self.check_groups(path, policy, faults);
        let mut said = self.tree.with_bases(policy);
        said.merge(policy);
        check_values(path, &said, &self.tree.resolve(scope), faults);
    }

    /// Refuses a group where nothing would read it.
    fn check_groups(&self, path: &Path, policy: &Policy, faults: &mut Faults) {
        let rules = [
            (
                "membership",
                policy.membership.is_empty(),
                &[Place::Site][..],
            ),
            ("logs", policy.logs.is_empty(), &[Place::Site]),
            ("bounds", policy.bounds.is_empty(), &[Place::Site]),
            (
                "routing",
                policy.routing.is_empty(),
                &[Place::Site, Place::Service],
            ),
        ];
        for (group, empty, places) in rules {
            if !empty && !places.contains(&self.place) {
                let problem = match places {
                    [Place::Site] => "only the platform, a region or a data centre may say this",
                    _ => "only the platform, a region, a data centre or a service may say this",
                };
                faults.push(path.child(group), "", problem);
            }
        }
        if policy.buffers.node.is_some() && self.place != Place::Site {
            let problem = "a node's memory is said by the platform, a region or a data centre";
            faults.push(path.join(&["buffers", "node"]), "", problem);
        }
    }
}

fn check_base(tree: &Tree, path: &Path, policy: &Policy, faults: &mut Faults) {
    let Some(base) = &policy.base else {
        return;
    };
    if !tree.policies.contains_key(base) {
        let problem = format!(
            "there is no policy of this name: the tree has {}",
            list(tree.policies.keys())
        );
        faults.push(path.child("base"), quote(base), problem);
    }
}

/// Reports each cycle of named policies once, at its first name.
fn check_cycles(tree: &Tree, faults: &mut Faults) {
    let mut known = BTreeSet::new();
    for start in tree.policies.keys() {
        let Some(cycle) = find_cycle(tree, start) else {
            continue;
        };
        if !cycle.iter().all(|name| known.insert(*name)) {
            continue;
        }
        let next = cycle.get(1).unwrap_or(&cycle[0]);
        let walk: Vec<&str> = cycle
            .iter()
            .chain([&cycle[0]])
            .map(|name| &***name)
            .collect();
        let problem = format!(
            "a cycle: {}: let one of them build on nothing",
            walk.join(" -> ")
        );
        let path = Path::root().join(&["policies", cycle[0], "base"]);
        faults.push(path, quote(next), problem);
    }
}

/// Follows what a policy builds on until it ends or comes back to a name, and gives that circle.
fn find_cycle<'a>(tree: &'a Tree, start: &'a PolicyId) -> Option<Vec<&'a PolicyId>> {
    let mut walk = vec![start];
    loop {
        let next = tree.policies.get(walk[walk.len() - 1])?.base.as_ref()?;
        if let Some(at) = walk.iter().position(|name| *name == next) {
            return Some(walk.split_off(at));
        }
        walk.push(next);
    }
}

/// Checks what a node says, together with what it inherits.
fn check_values(path: &Path, said: &Policy, all: &ResolvedPolicy, faults: &mut Faults) {
    let mut need = |group: &str, name: &str, holds: bool, value: String, right: &str| {
        if !holds {
            faults.push(path.join(&[group, name]), value, right);
        }
    };
    if !said.routing.is_empty() {
        check_routing(&all.routing, &mut need);
    }
    if !said.limits.is_empty() {
        check_limits(&all.limits, &mut need);
    }
    if !said.moves.is_empty() {
        check_moves(&all.moves, &mut need);
    }
    if !said.membership.is_empty() {
        check_membership(&all.membership, &mut need);
    }
    if !said.retries.is_empty() {
        let attempts = all.retries.attempts;
        let right = "a generation needs at least 1 attempt";
        need(
            "retries",
            "attempts",
            attempts > 0,
            attempts.to_string(),
            right,
        );
    }
    if !said.buffers.is_empty() {
        let (stream, node) = (all.buffers.stream, all.buffers.node);
        let right = "one stream may not hold more than its node: at most buffers.node";
        need(
            "buffers",
            "stream",
            stream <= node,
            stream.to_string(),
            right,
        );
        let right = "a stream needs room for at least 1KiB";
        need(
            "buffers",
            "stream",
            stream >= 1024,
            stream.to_string(),
            right,
        );
    }
    if !said.bounds.is_empty() {
        let head = all.bounds.head;
        let right = "the HTTP library reads heads of at most 8KiB";
        let fits = head <= wire::MAX_HEAD_BYTES as u64;
        need("bounds", "head", fits, head.to_string(), right);
        let connections = all.bounds.connections;
        let right = "a node needs at least 1 connection";
        need(
            "bounds",
            "connections",
            connections > 0,
            connections.to_string(),
            right,
        );
    }
    if !said.time.is_empty() {
        let times = [
            ("first_token", all.time.first_token),
            ("between_tokens", all.time.between_tokens),
            ("connect", all.time.connect),
            ("answer", all.time.answer),
        ];
        for (name, time) in times {
            let right = "with no time at all each call would fail: write at least \"1ms\"";
            need("time", name, !time.is_zero(), "\"0s\"".into(), right);
        }
    }
}

/// Takes a group, a name, whether the value is right, the value, and what would be right.
type Need<'a> = dyn FnMut(&str, &str, bool, String, &str) + 'a;

fn check_routing(routing: &Routing, need: &mut Need) {
    let known = routing::policy(&routing.policy).is_some();
    let right = format!(
        "there is no routing policy of this name: there are {}",
        list(routing::policy_names())
    );
    need("routing", "policy", known, quote(&routing.policy), &right);
    let weights = [
        ("load", routing.load),
        ("prefix", routing.prefix),
        ("memory", routing.memory),
        ("pace", routing.pace),
        ("distance", routing.distance),
    ];
    for (name, weight) in weights {
        let right = "a weight is a number of 0 or more";
        need(
            "routing",
            name,
            weight.is_finite() && weight >= 0.0,
            weight.to_string(),
            right,
        );
    }
    let right = "a subset holds at least 1 backend server, or \"none\" for all";
    need(
        "routing",
        "subset",
        routing.subset != Some(0),
        "0".into(),
        right,
    );
    let right = "write how many failures in a row eject a backend server: at least 1";
    need(
        "routing",
        "failures",
        routing.failures > 0,
        "0".into(),
        right,
    );
}

fn check_limits(limits: &Limits, need: &mut Need) {
    let weight = limits.weight;
    let right = "a weight against others is a number above 0";
    need(
        "limits",
        "weight",
        weight.is_finite() && weight > 0.0,
        weight.to_string(),
        right,
    );
    let right = "an answer has at least 1 token";
    need(
        "limits",
        "max_tokens",
        limits.max_tokens > 0,
        "0".into(),
        right,
    );
    let right = "a limit of 0 refuses everything: take the service out of the account's services";
    need(
        "limits",
        "open_requests",
        limits.open_requests != Some(0),
        "0".into(),
        right,
    );
    need(
        "limits",
        "open_tokens",
        limits.open_tokens != Some(0),
        "0".into(),
        right,
    );
}

fn check_moves(moves: &Moves, need: &mut Need) {
    let steps = &moves.steps;
    let value = format!("[{}]", list(steps));
    let rises = steps.windows(2).all(|pair| pair[0] < pair[1]);
    let right = "steps rise from one to the next";
    need("moves", "steps", rises, value.clone(), right);
    let ends = steps.last() == Some(&Share::WHOLE);
    need(
        "moves",
        "steps",
        ends,
        value.clone(),
        "the last step is \"100%\"",
    );
    let starts = steps
        .first()
        .is_none_or(|first| *first <= moves.cap && first.ppm() > 0);
    let right = "the first step is above 0% and at most moves.cap";
    need("moves", "steps", starts, value, right);
    let slowdown = moves.slowdown;
    let right = "a tolerated slowdown is a factor above 1, such as 1.5";
    need(
        "moves",
        "slowdown",
        slowdown.is_finite() && slowdown > 1.0,
        slowdown.to_string(),
        right,
    );
    let alarms = moves.alarms;
    let fits = alarms.ppm() > 0 && alarms < Share::from_percent(50);
    let right = "a chance of false alarms is above 0% and under 50%";
    need("moves", "alarms", fits, format!("\"{alarms}\""), right);
}

fn check_membership(membership: &Membership, need: &mut Need) {
    let Membership {
        period,
        suspect,
        dead,
        ..
    } = *membership;
    let value = |time: std::time::Duration| format!("{time:?}");
    let right = "a period is above 0s";
    need(
        "membership",
        "period",
        !period.is_zero(),
        value(period),
        right,
    );
    let right = "a node is suspected after more than one period";
    need(
        "membership",
        "suspect",
        suspect > period,
        value(suspect),
        right,
    );
    let right = "a node counts as dead later than it is suspected";
    need("membership", "dead", dead > suspect, value(dead), right);
    let right = "each period at least 1 peer gets a message";
    need(
        "membership",
        "fanout",
        membership.fanout > 0,
        "0".into(),
        right,
    );
    let right = "a data centre needs at least 1 watcher";
    need(
        "membership",
        "watchers",
        membership.watchers > 0,
        "0".into(),
        right,
    );
    let right = "a lease lasts at least 1s";
    need(
        "membership",
        "lease",
        membership.lease.as_secs() > 0,
        value(membership.lease),
        right,
    );
}
