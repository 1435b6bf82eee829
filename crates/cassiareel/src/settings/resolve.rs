/*!
Inheritance: resolves the policy values that apply to a request.

A request has two paths through the tree: one for the service that it calls (platform, region, data
centre, service, route, version, placement) and one for its sender (client account, the account's
use of the service, caller). A [`Scope`] names the nodes on both. Their policies are applied in that
order, and a later value overrides an earlier one. The base policy of a node's policy is applied
right before the node's own values, and the base of that base before it. So the values of a caller
override those of its account, and the values of an account override those of the service.
*/

use super::{
    policy::{Policy, ResolvedPolicy},
    Path, RouteNode, Tree,
};

/// The nodes of the tree whose policies apply to a request. A node that is `None`, or that the tree
/// lacks, adds nothing.
///
/// # Examples
///
/// ```
/// use cassiareel::settings::{Draft, Scope};
///
/// let text = r#"
///     [platform.policy.time]
///     queue = "1s"
///     [accounts.mira.policy.time]
///     queue = "2s"
/// "#;
/// let tree = Draft::parse(text).unwrap().tree;
/// let scope = Scope { account: Some("mira"), ..Scope::default() };
/// assert_eq!(tree.resolve(&scope).time.queue.as_secs(), 2);
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Scope<'a> {
    /// The data centre of the node that received the request.
    pub data_centre: Option<&'a str>,
    /// The service.
    pub service: Option<&'a str>,
    /// The path of a call to a plain service.
    pub path: Option<&'a str>,
    /// The version of the service.
    pub version: Option<&'a str>,
    /// The data centre of the placement.
    pub placement: Option<&'a str>,
    /// The client account.
    pub account: Option<&'a str>,
    /// The caller.
    pub caller: Option<&'a str>,
}

/// A policy and its path in the tree.
#[derive(Clone, Debug)]
pub struct Layer<'a> {
    /// The path of the policy.
    pub path: Path,
    /// The policy.
    pub policy: &'a Policy,
}

impl Tree {
    /// Resolves every policy value that applies to a request.
    pub fn resolve(&self, scope: &Scope) -> ResolvedPolicy {
        let mut resolved = ResolvedPolicy::default();
        self.visit(scope, &mut |_, policy| resolved.apply(policy));
        resolved
    }

    /// Lists the policies that apply to a request. A later one overrides an earlier one.
    pub fn layers(&self, scope: &Scope) -> Vec<Layer<'_>> {
        let mut layers = Vec::new();
        self.visit(scope, &mut |names, policy| {
            if !policy.is_empty() {
                let path = Path::root().join(names);
                layers.push(Layer { path, policy });
            }
        });
        layers
    }

    /// Returns the values that a policy takes from its chain of base policies, merged.
    pub(super) fn merged_bases(&self, policy: &Policy) -> Policy {
        let mut merged = Policy::default();
        self.visit_base(policy, self.policies.len(), &mut |_, base| {
            merged.merge(base);
        });
        merged
    }

    /// Finds the longest of a service's routes that matches a path.
    pub fn find_route(&self, service: &str, path: &str) -> Option<(&str, &RouteNode)> {
        self.services
            .get(service)?
            .routes
            .iter()
            .filter(|(prefix, _)| route_matches(prefix, path))
            .max_by_key(|(prefix, _)| prefix.len())
            .map(|(prefix, route)| (prefix.as_str(), route))
    }

    /// Visits the policies that apply to a request. A later one overrides an earlier one.
    fn visit<'a>(&'a self, scope: &Scope, f: &mut Visitor<'a, '_>) {
        self.visit_with_bases(&["platform", "policy"], &self.platform.policy, f);
        if let Some(name) = scope.data_centre {
            self.visit_data_centre(name, f);
        }
        if let Some(name) = scope.service {
            self.visit_service(name, scope, f);
        }
        if let Some(name) = scope.account {
            self.visit_account(name, scope, f);
        }
    }

    fn visit_data_centre<'a>(&'a self, name: &str, f: &mut Visitor<'a, '_>) {
        let found = self
            .regions
            .iter()
            .find_map(|(region, node)| Some((region, node, node.data_centres.get(name)?)));
        let Some((region, node, data_centre)) = found else {
            return;
        };
        self.visit_with_bases(&["regions", region, "policy"], &node.policy, f);
        let names = ["regions", region, "data_centres", name, "policy"];
        self.visit_with_bases(&names, &data_centre.policy, f);
    }

    fn visit_service<'a>(&'a self, name: &str, scope: &Scope, f: &mut Visitor<'a, '_>) {
        let Some(service) = self.services.get(name) else {
            return;
        };
        self.visit_with_bases(&["services", name, "policy"], &service.policy, f);
        let route = scope.path.and_then(|path| self.find_route(name, path));
        if let Some((prefix, route)) = route {
            let names = ["services", name, "routes", prefix, "policy"];
            self.visit_with_bases(&names, &route.policy, f);
        }
        let Some((label, version)) = scope
            .version
            .and_then(|label| Some((label, service.versions.get(label)?)))
        else {
            return;
        };
        let names = ["services", name, "versions", label, "policy"];
        self.visit_with_bases(&names, &version.policy, f);
        let placement = scope
            .placement
            .and_then(|place| Some((place, version.placements.get(place)?)));
        if let Some((place, placement)) = placement {
            let names = [
                "services",
                name,
                "versions",
                label,
                "placements",
                place,
                "policy",
            ];
            self.visit_with_bases(&names, &placement.policy, f);
        }
    }

    fn visit_account<'a>(&'a self, name: &str, scope: &Scope, f: &mut Visitor<'a, '_>) {
        let Some(account) = self.accounts.get(name) else {
            return;
        };
        self.visit_with_bases(&["accounts", name, "policy"], &account.policy, f);
        let usage = scope
            .service
            .and_then(|service| Some((service, account.uses.get(service)?)));
        if let Some((service, usage)) = usage {
            let names = ["accounts", name, "uses", service, "policy"];
            self.visit_with_bases(&names, &usage.policy, f);
        }
        let caller = scope
            .caller
            .and_then(|label| Some((label, account.callers.get(label)?)));
        if let Some((label, caller)) = caller {
            let names = ["accounts", name, "callers", label, "policy"];
            self.visit_with_bases(&names, &caller.policy, f);
        }
    }

    /// Visits the base policies of a node's policy, and then the policy itself.
    fn visit_with_bases<'a>(&'a self, names: &[&str], policy: &'a Policy, f: &mut Visitor<'a, '_>) {
        // A tree that was not checked may have a cycle of base policies, so the number of named
        // policies limits the depth.
        self.visit_base(policy, self.policies.len(), f);
        f(names, policy);
    }

    /// Visits the chain of base policies of a policy, the deepest first.
    fn visit_base<'a>(&'a self, policy: &'a Policy, depth: usize, f: &mut Visitor<'a, '_>) {
        let base = policy
            .base
            .as_ref()
            .and_then(|name| self.policies.get_key_value(name));
        if let (Some((name, base)), 1..) = (base, depth) {
            self.visit_base(base, depth - 1, f);
            f(&["policies", name], base);
        }
    }
}

/// A function that takes the segments of a policy's path and the policy.
type Visitor<'a, 'f> = dyn FnMut(&[&str], &'a Policy) + 'f;

/// Reports whether a route's prefix matches a path. Only whole path segments match.
fn route_matches(prefix: &str, path: &str) -> bool {
    path.strip_prefix(prefix).is_some_and(|rest| {
        rest.is_empty() || prefix.ends_with('/') || rest.starts_with(['/', '?'])
    })
}
