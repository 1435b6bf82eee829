//! Tests of parsing and checking a tree: every fault is found, and all are reported at once.

use test_case::test_case;

use super::{Draft, Fault};

/// A valid tree that the cases add to.
const BASE: &str = r#"
[platform]
name = "test"
[regions.r.data_centres.d1]
accelerators = 16
[regions.r.data_centres.d2]
[services.draft]
version = "v1"
[services.draft.versions.v1]
accelerators = 4
[services.draft.versions.v1.placements.d1]
servers = ["10.0.0.1:80", "10.0.0.2:80"]
[services.desk]
kind = "plain"
version = "v1"
[services.desk.versions.v1.placements.d2]
servers = ["10.0.1.1:80"]
[accounts.mira]
services = ["draft"]
[accounts.mira.callers.web]
"#;

fn faults(text: &str) -> Vec<Fault> {
    Draft::parse(text).map_or_else(|faults| faults.faults, |_| Vec::new())
}

#[test]
fn the_base_has_no_faults() {
    assert_eq!(faults(BASE), Vec::new());
}

#[derive(Clone, Copy)]
struct Case {
    /// The text that is added to the base.
    text: &'static str,
    /// The path of the expected fault.
    path: &'static str,
    /// The value there, as TOML.
    value: &'static str,
    /// A part of the fault's message; empty if no fault is expected.
    message: &'static str,
}

#[test_case(Case {
    text: "[platfrom]",
    path: "platfrom",
    value: "{}",
    message: "unknown field `platfrom`, expected one of `platform`",
}; "an unknown node")]
#[test_case(Case {
    text: "[accounts.rex]\nservice = []",
    path: "accounts.rex.service",
    value: "[]",
    message: "expected one of `services`",
}; "an unknown value")]
#[test_case(Case {
    text: "[accounts.rex.policy.time]\nqueue = 5",
    path: "accounts.rex.policy.time.queue",
    value: "5",
    message: "`5` is not a duration: write a whole number and a unit, such as \"250ms\"",
}; "a number without a unit")]
#[test_case(Case {
    text: "[accounts.rex.policy.buffers]\nstream = \"64kb\"",
    path: "accounts.rex.policy.buffers.stream",
    value: "\"64kb\"",
    message: "such as \"512B\", \"64KiB\"",
}; "an unknown unit")]
#[test_case(Case {
    text: "[accounts.rex.policy.limits]\nrequests = \"100\"",
    path: "accounts.rex.policy.limits.requests",
    value: "\"100\"",
    message: "such as \"100/s\", \"30/min\" or \"5/h\", or \"none\"",
}; "a rate without a period")]
#[test_case(Case {
    text: "[accounts.rex.policy.limits]\nopen_requests = -1",
    path: "accounts.rex.policy.limits.open_requests",
    value: "-1",
    message: "expected u32, or \"none\"",
}; "a negative limit")]
#[test_case(Case {
    text: "[policies.a]\nbase = \"b\"",
    path: "policies.a.base",
    value: "\"b\"",
    message: "there is no policy of this name: the tree has a",
}; "a dangling base")]
#[test_case(Case {
    text: "[policies.a]\nbase = \"b\"\n[policies.b]\nbase = \"c\"\n[policies.c]\nbase = \"a\"",
    path: "policies.a.base",
    value: "\"b\"",
    message: "the base policies form a cycle: a -> b -> c -> a",
}; "a cycle")]
#[test_case(Case {
    text: "[policies.a]\nbase = \"a\"",
    path: "policies.a.base",
    value: "\"a\"",
    message: "the base policies form a cycle: a -> a",
}; "a policy that is its own base")]
#[test_case(Case {
    text: "[accounts.rex]\nservices = [\"drafts\"]",
    path: "accounts.rex.services.0",
    value: "\"drafts\"",
    message: "there is no service drafts: the tree has desk, draft",
}; "a dangling service")]
#[test_case(Case {
    text: "[accounts.rex]\nservices = [\"draft\"]\nversions.draft = \"v9\"",
    path: "accounts.rex.versions.draft",
    value: "\"v9\"",
    message: "service draft has no such version: it has v1",
}; "a dangling version")]
#[test_case(Case {
    text: "[accounts.rex.uses.draft]",
    path: "accounts.rex.uses.draft",
    value: "",
    message: "add it to the account's services",
}; "a use of a service that is not allowed")]
#[test_case(Case {
    text: "[services.draft.versions.v2.placements.d9]",
    path: "services.draft.versions.v2.placements.d9",
    value: "",
    message: "there is no data centre of this name: the tree has d1, d2",
}; "a dangling data centre")]
#[test_case(Case {
    text: "[services.idle]",
    path: "services.idle.version",
    value: "",
    message: "missing: write the version",
}; "a service without a version")]
#[test_case(Case {
    text: "[services.idle]\nversion = \"v1\"\n[services.idle.versions.v1]",
    path: "services.idle.version",
    value: "\"v1\"",
    message: "no backend server runs this version",
}; "a version without servers")]
#[test_case(Case {
    text: "[services.draft.versions.v2]\naccelerators = 9\nplacements.d1.servers = [\"10.0.0.2:80\"]",
    path: "regions.r.data_centres.d1.accelerators",
    value: "16",
    message: "",
}; "accelerators that just fit")]
#[test_case(Case {
    text: "[services.draft.versions.v2]\naccelerators = 13\nplacements.d1.servers = [\"10.0.0.2:80\"]",
    path: "regions.r.data_centres.d1.accelerators",
    value: "16",
    message: "placements in this data centre need 17 accelerators",
}; "placements beyond the accelerators")]
#[test_case(Case {
    text: "[services.other]\nversion = \"v1\"\nversions.v1.placements.d1.servers = [\"10.0.0.1:80\"]",
    path: "services.other.versions.v1.placements.d1.servers.0",
    value: "\"10.0.0.1:80\"",
    message: "this backend server already belongs to service draft in d1",
}; "a server of two services")]
#[test_case(Case {
    text: "[services.other]\nversion = \"v1\"\nversions.v1.placements.d1.servers = [\"10.0.0.7:0\"]",
    path: "services.other.versions.v1.placements.d1.servers.0",
    value: "\"10.0.0.7:0\"",
    message: "a port above 0",
}; "a server without a port")]
#[test_case(Case {
    text: "[services.other]\nversion = \"v1\"\nversions.v1.placements.d1.servers = [\"10.0.0.7:80\", \"localhost:80\"]",
    path: "services.other.versions.v1.placements.d1.servers.1",
    value: "\"localhost:80\"",
    message: "invalid socket address",
}; "a server by host name")]
#[test_case(Case {
    text: "[services.draft.routes.\"/x\"]",
    path: "services.draft.routes.\"/x\"",
    value: "",
    message: "only a plain service has routes",
}; "a route of a model")]
#[test_case(Case {
    text: "[accounts.a.reserve]\nshare = \"60%\"\n[accounts.b.reserve]\nshare = \"40.1%\"",
    path: "accounts",
    value: "",
    message: "adds up to 100.1%",
}; "shares above 100%")]
#[test_case(Case {
    text: "[accounts.a.policy.limits]\nopen_requests = 10\n\
           [accounts.a.callers.x.reserve]\nopen_requests = 6\n\
           [accounts.a.callers.y.reserve]\nopen_requests = 5",
    path: "accounts.a.callers",
    value: "",
    message: "adds up to 11, but the account has limits.open_requests = 10",
}; "callers that reserve more than their account has")]
#[test_case(Case {
    text: "[platform.policy.limits]\nopen_requests = 10\n[accounts.a.reserve]\nopen_requests = 11",
    path: "accounts",
    value: "",
    message: "adds up to 11, but the platform has",
}; "accounts that reserve more than the platform has")]
#[test_case(Case {
    text: "[accounts.a.policy.routing]\nload = 2.0",
    path: "accounts.a.policy.routing",
    value: "",
    message: "only the platform, a region, a data centre or a service may set this",
}; "a group on a node where nothing reads it")]
#[test_case(Case {
    text: "[platform.policy.routing]\npolicy = \"best\"",
    path: "platform.policy.routing.policy",
    value: "\"best\"",
    message: "there is no routing policy of this name: there are",
}; "an unknown routing policy")]
#[test_case(Case {
    text: "[platform.policy.moves]\nsteps = [\"5%\", \"1%\", \"100%\"]",
    path: "platform.policy.moves.steps",
    value: "[5%, 1%, 100%]",
    message: "steps must rise",
}; "steps that do not rise")]
#[test_case(Case {
    text: "[platform.policy.moves]\ncap = \"0.5%\"",
    path: "platform.policy.moves.steps",
    value: "[1%, 5%, 25%, 50%, 100%]",
    message: "at most moves.cap",
}; "a first step above the cap")]
#[test_case(Case {
    text: "[platform.policy.membership]\nsuspect = \"3s\"",
    path: "platform.policy.membership.dead",
    value: "1.8s",
    message: "later than it is suspected",
}; "a node that is dead before it is suspected")]
#[test_case(Case {
    text: "[policies.a.limits]\nweight = 0.0\n[accounts.rex.policy]\nbase = \"a\"",
    path: "accounts.rex.policy.limits.weight",
    value: "0",
    message: "a number above 0",
}; "an invalid value of a named policy")]
#[test_case(Case {
    text: "[accounts.\"a b\"]",
    path: "accounts.\"a b\"",
    value: "",
    message: "not a name",
}; "a name with a space")]
#[test_case(Case {
    text: "revision = \"x\"",
    path: "revision",
    value: "\"x\"",
    message: "not a revision",
}; "an invalid revision")]
fn exactly_one_fault_is_found(case: Case) {
    let Case {
        text,
        path,
        value,
        message,
    } = case;
    // TOML requires a bare key before the first table.
    let text = match text.starts_with('[') {
        true => format!("{BASE}\n{text}"),
        false => format!("{text}\n{BASE}"),
    };
    let found = faults(&text);
    if message.is_empty() {
        assert_eq!(found, Vec::new());
        return;
    }
    assert_eq!(found.len(), 1, "{found:#?}");
    assert_eq!(found[0].path.to_string(), path);
    assert_eq!(found[0].value, value);
    assert!(found[0].problem.contains(message), "{}", found[0].problem);
}

#[test]
fn all_faults_are_found_at_once() {
    let text = r#"
nonsense = 1
[platform.policy.time]
queue = "5 parsecs"
first_token = 3
[services.draft]
kind = "modle"
version = "v1"
versions.v1.placements.d9.servers = ["10.0.0.1", "10.0.0.1:80", "x:1", "10.0.0.1:80"]
[accounts.mira]
services = ["nothing"]
reserve.share = "110%"
callers.web.keys.first = "abc"
"#;
    let paths: Vec<String> = faults(text).iter().map(|f| f.path.to_string()).collect();
    let expected = [
        "accounts.mira.callers.web.keys.first",
        "accounts.mira.reserve.share",
        "accounts.mira.services.0",
        "nonsense",
        "platform.policy.time.first_token",
        "platform.policy.time.queue",
        "services.draft.kind",
        "services.draft.versions.v1.placements.d9",
        "services.draft.versions.v1.placements.d9.servers.0",
        "services.draft.versions.v1.placements.d9.servers.2",
        "services.draft.versions.v1.placements.d9.servers.3",
    ];
    assert_eq!(paths, expected);
}

#[test]
fn a_key_of_two_callers_is_rejected() {
    let digest = "ab".repeat(32);
    let text =
        format!("{BASE}keys.a = \"{digest}\"\n[accounts.mira.callers.app]\nkeys.b = \"{digest}\"");
    let found = faults(&text);
    assert_eq!(found.len(), 1);
    assert_eq!(
        found[0].path.to_string(),
        "accounts.mira.callers.web.keys.a"
    );
    assert!(found[0]
        .problem
        .contains("the same key as accounts.mira.callers.app.keys.b"));
}

#[test]
fn the_fault_of_malformed_toml_names_the_line() {
    let found = faults("[platform]\nname = \n");
    assert_eq!(found.len(), 1);
    assert!(found[0].to_string().contains("line 2"), "{}", found[0]);
}

#[test]
fn the_revision_is_not_part_of_the_tree() {
    let draft = Draft::parse(&format!("revision = 7\n{BASE}")).unwrap();
    assert_eq!(draft.base, Some(7));
    assert_eq!(draft.tree, Draft::parse(BASE).unwrap().tree);
    assert_eq!(Draft::parse(&draft.to_toml()).unwrap(), draft);
}
