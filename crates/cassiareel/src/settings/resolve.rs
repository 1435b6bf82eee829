/*!
Inheritance: which node's value counts.

A request has two paths through the tree, one for what it asks (platform, region, data centre,
service, route, version, placement) and one for who asks (client account, the account's use of the
service, caller). [`Scope`] names the nodes; their policies apply in that order, and the later one
counts. A node's named policy applies right before the node's own values, and what that one builds
on before it. So a caller's word counts over its account's, and an account's over the service's.
*/

use super::{
    policy::{Policy, ResolvedPolicy},
    Path, RouteNode, Tree,
};

/// The nodes of the tree that a request meets; a name that is left out adds nothing.
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
    /// The data centre of the node that the request came to.
    pub data_centre: Option<&'a str>,
    /// The service.
    pub service: Option<&'a str>,
    /// The path of a call of a plain service.
    pub path: Option<&'a str>,
    /// The version.
    pub version: Option<&'a str>,
    /// The data centre of the placement.
    pub placement: Option<&'a str>,
    /// The client account.
    pub account: Option<&'a str>,
    /// The caller.
    pub caller: Option<&'a str>,
}

/// A policy with the path of the node that says it.
#[derive(Clone, Debug)]
pub struct Layer<'a> {
    /// Where it is said.
    pub path: Path,
    /// What is said.
    pub policy: &'a Policy,
}

impl Tree {
    /// Works out every value along the path of a request.
    pub fn resolve(&self, scope: &Scope) -> ResolvedPolicy {
        let mut resolved = ResolvedPolicy::default();
        self.visit(scope, &mut |_, policy| resolved.apply(policy));
        resolved
    }

    /// Lists the policies along the path of a request, the one that counts last.
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

    /// What a policy builds on, merged.
    pub(super) fn with_bases(&self, policy: &Policy) -> Policy {
        let mut merged = Policy::default();
        self.visit_base(policy, self.policies.len(), &mut |_, base| {
            merged.merge(base);
        });
        merged
    }

    /// The longest of a service's routes that a path starts with.
    pub fn find_route(&self, service: &str, path: &str) -> Option<(&str, &RouteNode)> {
        self.services
            .get(service)?
            .routes
            .iter()
            .filter(|(start, _)| covers(start, path))
            .max_by_key(|(start, _)| start.len())
            .map(|(start, route)| (start.as_str(), route))
    }

    /// Visits the policies along the path of a request, the one that counts last.
    fn visit<'a>(&'a self, scope: &Scope, f: &mut Visitor<'a, '_>) {
        self.visit_one(&["platform", "policy"], &self.platform.policy, f);
        if let Some(name) = scope.data_centre {
            self.visit_place(name, f);
        }
        if let Some(name) = scope.service {
            self.visit_service(name, scope, f);
        }
        if let Some(name) = scope.account {
            self.visit_account(name, scope, f);
        }
    }

    fn visit_place<'a>(&'a self, name: &str, f: &mut Visitor<'a, '_>) {
        let found = self
            .regions
            .iter()
            .find_map(|(region, node)| Some((region, node, node.data_centres.get(name)?)));
        let Some((region, node, place)) = found else {
            return;
        };
        self.visit_one(&["regions", region, "policy"], &node.policy, f);
        let names = ["regions", region, "data_centres", name, "policy"];
        self.visit_one(&names, &place.policy, f);
    }

    fn visit_service<'a>(&'a self, name: &str, scope: &Scope, f: &mut Visitor<'a, '_>) {
        let Some(service) = self.services.get(name) else {
            return;
        };
        self.visit_one(&["services", name, "policy"], &service.policy, f);
        let route = scope.path.and_then(|path| self.find_route(name, path));
        if let Some((start, route)) = route {
            let names = ["services", name, "routes", start, "policy"];
            self.visit_one(&names, &route.policy, f);
        }
        let Some((label, version)) = scope
            .version
            .and_then(|label| Some((label, service.versions.get(label)?)))
        else {
            return;
        };
        let names = ["services", name, "versions", label, "policy"];
        self.visit_one(&names, &version.policy, f);
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
            self.visit_one(&names, &placement.policy, f);
        }
    }

    fn visit_account<'a>(&'a self, name: &str, scope: &Scope, f: &mut Visitor<'a, '_>) {
        let Some(account) = self.accounts.get(name) else {
            return;
        };
        self.visit_one(&["accounts", name, "policy"], &account.policy, f);
        let usage = scope
            .service
            .and_then(|service| Some((service, account.uses.get(service)?)));
        if let Some((service, usage)) = usage {
            let names = ["accounts", name, "uses", service, "policy"];
            self.visit_one(&names, &usage.policy, f);
        }
        let caller = scope
            .caller
            .and_then(|label| Some((label, account.callers.get(label)?)));
        if let Some((label, caller)) = caller {
            let names = ["accounts", name, "callers", label, "policy"];
            self.visit_one(&names, &caller.policy, f);
        }
    }

    /// Visits what a node's policy builds on, and then the policy.
    fn visit_one<'a>(&'a self, names: &[&str], policy: &'a Policy, f: &mut Visitor<'a, '_>) {
        // The count of names bounds the walk in a tree that was not checked for cycles.
        self.visit_base(policy, self.policies.len(), f);
        f(names, policy);
    }

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

/// Takes the names of a policy's path and the policy.
type Visitor<'a, 'f> = dyn FnMut(&[&str], &'a Policy) + 'f;

/// Reports whether a route that starts so covers a path: whole segments count.
fn covers(start: &str, path: &str) -> bool {
    path.strip_prefix(start)
        .is_some_and(|rest| rest.is_empty() || start.ends_with('/') || rest.starts_with(['/', '?']))
}
