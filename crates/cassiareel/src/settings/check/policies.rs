//! Checks of policies: references, cycles, which nodes may set a group, and values.

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

/// The kind of node that a policy belongs to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum NodeKind {
    /// The platform, a region or a data centre.
    Site,
    /// A service, or a node beneath it.
    Service,
    /// A client account, or a node beneath it.
    Account,
}

/// Adds the faults of all policies to `faults`.
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
        kind: NodeKind::Site,
    };
    let path = root.join(&["platform", "policy"]);
    site.check(&path, &tree.platform.policy, &Scope::default(), faults);
    for (region, node) in &tree.regions {
        let path = root.join(&["regions", region]);
        // A region's values are checked in the scope of its first data centre, or by themselves if
        // it has none.
        let scope = Scope {
            data_centre: node.data_centres.keys().next().map(|name| &**name),
            ..Scope::default()
        };
        site.check(&path.child("policy"), &node.policy, &scope, faults);
        for (name, data_centre) in &node.data_centres {
            let scope = Scope {
                data_centre: Some(name),
                ..Scope::default()
            };
            let path = path.join(&["data_centres", name, "policy"]);
            site.check(&path, &data_centre.policy, &scope, faults);
        }
    }
    check_services(tree, faults);
    check_accounts(tree, faults);
}

fn check_services(tree: &Tree, faults: &mut Faults) {
    let checker = Checker {
        tree,
        kind: NodeKind::Service,
    };
    for (name, service) in &tree.services {
        let path = Path::root().join(&["services", name]);
        let scope = Scope {
            service: Some(name),
            ..Scope::default()
        };
        checker.check(&path.child("policy"), &service.policy, &scope, faults);
        for (prefix, route) in &service.routes {
            let scope = Scope {
                path: Some(prefix),
                ..scope
            };
            let path = path.join(&["routes", prefix, "policy"]);
            checker.check(&path, &route.policy, &scope, faults);
        }
        for (label, version) in &service.versions {
            let path = path.join(&["versions", label]);
            let scope = Scope {
                version: Some(label),
                ..scope
            };
            checker.check(&path.child("policy"), &version.policy, &scope, faults);
            for (data_centre, placement) in &version.placements {
                let scope = Scope {
                    placement: Some(data_centre),
                    ..scope
                };
                let path = path.join(&["placements", data_centre, "policy"]);
                checker.check(&path, &placement.policy, &scope, faults);
            }
        }
    }
}

fn check_accounts(tree: &Tree, faults: &mut Faults) {
    let checker = Checker {
        tree,
        kind: NodeKind::Account,
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
    kind: NodeKind,
}

impl Checker<'_> {
    fn check(&self, path: &Path, policy: &Policy, scope: &Scope, faults: &mut Faults) {
        if policy.is_empty() {
            return;
        }
        check_base(self.tree, path, policy, faults);
        self.check_groups(path, policy, faults);
        let mut merged = self.tree.merged_bases(policy);
        merged.merge(policy);
        check_values(path, &merged, &self.tree.resolve(scope), faults);
    }

    /// Rejects a group on a node where nothing reads it.
    fn check_groups(&self, path: &Path, policy: &Policy, faults: &mut Faults) {
        let rules = [
            (
                "membership",
                policy.membership.is_empty(),
                &[NodeKind::Site][..],
            ),
            ("logs", policy.logs.is_empty(), &[NodeKind::Site]),
            ("bounds", policy.bounds.is_empty(), &[NodeKind::Site]),
            (
                "routing",
                policy.routing.is_empty(),
                &[NodeKind::Site, NodeKind::Service],
            ),
        ];
        for (group, empty, kinds) in rules {
            if !empty && !kinds.contains(&self.kind) {
                let problem = match kinds {
                    [NodeKind::Site] => "only the platform, a region or a data centre may set this",
                    _ => "only the platform, a region, a data centre or a service may set this",
                };
                faults.push(path.child(group), "", problem);
            }
        }
        if policy.buffers.node.is_some() && self.kind != NodeKind::Site {
            let problem = "only the platform, a region or a data centre may set a node's memory";
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

/// Records each cycle of base policies once, at the first name of the cycle that is met.
fn check_cycles(tree: &Tree, faults: &mut Faults) {
    let mut reported = BTreeSet::new();
    for start in tree.policies.keys() {
        let Some(cycle) = find_cycle(tree, start) else {
            continue;
        };
        if !cycle.iter().all(|name| reported.insert(*name)) {
            continue;
        }
        let next = cycle.get(1).unwrap_or(&cycle[0]);
        let names: Vec<&str> = cycle
            .iter()
            .chain([&cycle[0]])
            .map(|name| &***name)
            .collect();
        let problem = format!(
            "the base policies form a cycle: {}: remove the base of one of them",
            names.join(" -> ")
        );
        let path = Path::root().join(&["policies", cycle[0], "base"]);
        faults.push(path, quote(next), problem);
    }
}

/// Follows the base policies of a policy. Returns the cycle that they lead into, or `None` if the
/// chain ends.
fn find_cycle<'a>(tree: &'a Tree, start: &'a PolicyId) -> Option<Vec<&'a PolicyId>> {
    let mut chain = vec![start];
    loop {
        let next = tree.policies.get(chain[chain.len() - 1])?.base.as_ref()?;
        if let Some(at) = chain.iter().position(|name| *name == next) {
            return Some(chain.split_off(at));
        }
        chain.push(next);
    }
}

/// Checks the groups that a node sets, with the values that it inherits.
fn check_values(path: &Path, policy: &Policy, resolved: &ResolvedPolicy, faults: &mut Faults) {
    let mut require = |group: &str, name: &str, holds: bool, value: String, problem: &str| {
        if !holds {
            faults.push(path.join(&[group, name]), value, problem);
        }
    };
    if !policy.routing.is_empty() {
        check_routing(&resolved.routing, &mut require);
    }
    if !policy.limits.is_empty() {
        check_limits(&resolved.limits, &mut require);
    }
    if !policy.moves.is_empty() {
        check_moves(&resolved.moves, &mut require);
    }
    if !policy.membership.is_empty() {
        check_membership(&resolved.membership, &mut require);
    }
    if !policy.retries.is_empty() {
        let attempts = resolved.retries.attempts;
        let problem = "a generation needs at least 1 attempt";
        require(
            "retries",
            "attempts",
            attempts > 0,
            attempts.to_string(),
            problem,
        );
    }
    if !policy.buffers.is_empty() {
        let (stream, node) = (resolved.buffers.stream, resolved.buffers.node);
        let problem = "one stream can't buffer more than its node: write at most buffers.node";
        require(
            "buffers",
            "stream",
            stream <= node,
            stream.to_string(),
            problem,
        );
        let problem = "the buffer of a stream must be at least 1KiB";
        require(
            "buffers",
            "stream",
            stream >= 1024,
            stream.to_string(),
            problem,
        );
    }
    if !policy.bounds.is_empty() {
        let head = resolved.bounds.head;
        let problem = "the HTTP library reads request heads of at most 8KiB";
        let is_valid = head <= wire::MAX_HEAD_BYTES as u64;
        require("bounds", "head", is_valid, head.to_string(), problem);
        let connections = resolved.bounds.connections;
        let problem = "a node needs at least 1 connection";
        require(
            "bounds",
            "connections",
            connections > 0,
            connections.to_string(),
            problem,
        );
    }
    if !policy.time.is_empty() {
        let times = [
            ("first_token", resolved.time.first_token),
            ("between_tokens", resolved.time.between_tokens),
            ("connect", resolved.time.connect),
            ("answer", resolved.time.answer),
        ];
        for (name, time) in times {
            let problem = "without any time, every call would fail: write at least \"1ms\"";
            require("time", name, !time.is_zero(), "\"0s\"".into(), problem);
        }
    }
}

/// A function that takes a group, the name of a value, whether the value is valid, the value as
/// TOML, and the problem to report if it is not valid.
type Require<'a> = dyn FnMut(&str, &str, bool, String, &str) + 'a;

fn check_routing(routing: &Routing, require: &mut Require) {
    let known = routing::policy(&routing.policy).is_some();
    let problem = format!(
        "there is no routing policy of this name: there are {}",
        list(routing::policy_names())
    );
    require("routing", "policy", known, quote(&routing.policy), &problem);
    let weights = [
        ("load", routing.load),
        ("prefix", routing.prefix),
        ("memory", routing.memory),
        ("pace", routing.pace),
        ("distance", routing.distance),
    ];
    for (name, weight) in weights {
        let problem = "a weight must be a number of 0 or more";
        require(
            "routing",
            name,
            weight.is_finite() && weight >= 0.0,
            weight.to_string(),
            problem,
        );
    }
    let problem = "a subset must have at least 1 backend server, or be \"none\" for all";
    require(
        "routing",
        "subset",
        routing.subset != Some(0),
        "0".into(),
        problem,
    );
    let problem =
        "the number of consecutive failures that eject a backend server must be at least 1";
    require(
        "routing",
        "failures",
        routing.failures > 0,
        "0".into(),
        problem,
    );
}

fn check_limits(limits: &Limits, require: &mut Require) {
    let weight = limits.weight;
    let problem = "a weight must be a number above 0";
    require(
        "limits",
        "weight",
        weight.is_finite() && weight > 0.0,
        weight.to_string(),
        problem,
    );
    let problem = "an answer must have at least 1 token";
    require(
        "limits",
        "max_tokens",
        limits.max_tokens > 0,
        "0".into(),
        problem,
    );
    let problem =
        "a limit of 0 rejects every request: remove the service from the account's services";
    require(
        "limits",
        "open_requests",
        limits.open_requests != Some(0),
        "0".into(),
        problem,
    );
    require(
        "limits",
        "open_tokens",
        limits.open_tokens != Some(0),
        "0".into(),
        problem,
    );
}

fn check_moves(moves: &Moves, require: &mut Require) {
    let steps = &moves.steps;
    let value = format!("[{}]", list(steps));
    let is_increasing = steps.windows(2).all(|pair| pair[0] < pair[1]);
    let problem = "steps must rise from one to the next";
    require("moves", "steps", is_increasing, value.clone(), problem);
    let ends_at_whole = steps.last() == Some(&Share::WHOLE);
    require(
        "moves",
        "steps",
        ends_at_whole,
        value.clone(),
        "the last step must be \"100%\"",
    );
    let has_valid_start = steps
        .first()
        .is_none_or(|first| *first <= moves.cap && first.ppm() > 0);
    let problem = "the first step must be above 0% and at most moves.cap";
    require("moves", "steps", has_valid_start, value, problem);
    let slowdown = moves.slowdown;
    let problem = "the tolerated slowdown must be a factor above 1, such as 1.5";
    require(
        "moves",
        "slowdown",
        slowdown.is_finite() && slowdown > 1.0,
        slowdown.to_string(),
        problem,
    );
    let alarms = moves.alarms;
    let is_valid = alarms.ppm() > 0 && alarms < Share::from_percent(50);
    let problem = "the probability of a false alarm must be above 0% and below 50%";
    require(
        "moves",
        "alarms",
        is_valid,
        format!("\"{alarms}\""),
        problem,
    );
}

fn check_membership(membership: &Membership, require: &mut Require) {
    let Membership {
        period,
        suspect,
        dead,
        ..
    } = *membership;
    let value = |time: std::time::Duration| format!("{time:?}");
    let problem = "the period must be above 0s";
    require(
        "membership",
        "period",
        !period.is_zero(),
        value(period),
        problem,
    );
    let problem = "the silence that makes a node suspected must be longer than one period";
    require(
        "membership",
        "suspect",
        suspect > period,
        value(suspect),
        problem,
    );
    let problem = "a node must be declared dead later than it is suspected";
    require("membership", "dead", dead > suspect, value(dead), problem);
    let problem = "at least 1 peer must get a message each period";
    require(
        "membership",
        "fanout",
        membership.fanout > 0,
        "0".into(),
        problem,
    );
    let problem = "a data centre needs at least 1 watcher";
    require(
        "membership",
        "watchers",
        membership.watchers > 0,
        "0".into(),
        problem,
    );
    let problem = "a lease must last at least 1s";
    require(
        "membership",
        "lease",
        membership.lease.as_secs() > 0,
        value(membership.lease),
        problem,
    );
}
