//! Tests of look-ups: keys, versions and idempotent calls.

use test_case::test_case;

use super::{key_digest, Draft, Identity, Snapshot};

fn snapshot() -> Snapshot {
    let digest = |key| hex::encode(key_digest(key));
    let text = format!(
        r#"
[platform.operators.ana]
keys.laptop = "{ana}"
[regions.r.data_centres.d1]
[regions.r.data_centres.d2]
versions.draft = "v2"
[services.draft]
version = "v1"
versions.v1.placements.d1.servers = ["10.0.0.1:80"]
versions.v2.placements.d1.servers = ["10.0.0.2:80"]
versions.v3.placements.d1.servers = ["10.0.0.3:80"]
versions.v4.placements.d2.servers = ["10.0.0.4:80"]
[services.desk]
kind = "plain"
version = "v1"
versions.v1.placements.d1.servers = ["10.0.1.1:80"]
routes."/entries".idempotent = true
[accounts.plain]
services = ["draft"]
callers.web.keys = {{ old = "{old}", new = "{new}" }}
[accounts.pinned]
services = ["draft"]
versions.draft = "v3"
callers.a = {{}}
callers.b.versions.draft = "v4"
"#,
        ana = digest("k-ana"),
        old = digest("k-old"),
        new = digest("k-new"),
    );
    Snapshot::new(1, Draft::parse(&text).unwrap().tree)
}

fn identity(account: &str, caller: &str) -> Identity {
    Identity {
        account: account.into(),
        caller: caller.into(),
    }
}

#[test]
fn each_key_identifies_its_caller_or_operator() {
    let snapshot = snapshot();
    let web = identity("plain", "web");
    assert_eq!(snapshot.identify("k-old"), Some(&web));
    assert_eq!(snapshot.identify("k-new"), Some(&web));
    assert_eq!(snapshot.identify("k-ana"), None);
    assert_eq!(snapshot.identify(""), None);
    assert_eq!(snapshot.identify_operator("k-ana"), Some("ana"));
    assert_eq!(snapshot.identify_operator("k-old"), None);
}

#[test_case("plain", "web", None, "v1"; "of the service")]
#[test_case("plain", "web", Some("d1"), "v1"; "a data centre that sets none")]
#[test_case("plain", "web", Some("d2"), "v2"; "of the data centre")]
#[test_case("pinned", "a", Some("d2"), "v3"; "of the account")]
#[test_case("pinned", "b", Some("d2"), "v4"; "of the caller")]
fn the_most_specific_version_is_used(
    account: &str,
    caller: &str,
    data_centre: Option<&str>,
    version: &str,
) {
    let snapshot = snapshot();
    let route = snapshot.route_at(&identity(account, caller), "draft", data_centre);
    assert_eq!(&*route.unwrap().version, version);
}

#[test]
fn a_service_that_the_account_may_not_use_has_no_route() {
    let snapshot = snapshot();
    assert_eq!(snapshot.route(&identity("plain", "web"), "desk"), None);
    assert_eq!(snapshot.route(&identity("nobody", "web"), "draft"), None);
}

#[test_case("draft", "/", true; "a model")]
#[test_case("desk", "/entries", true; "an idempotent route")]
#[test_case("desk", "/entries/4", true; "a path beneath the route")]
#[test_case("desk", "/entries-new", false; "a path that only shares the prefix")]
#[test_case("desk", "/stamps", false; "the value of the service")]
#[test_case("nothing", "/", false; "an unknown service")]
fn only_calls_that_are_set_so_are_idempotent(service: &str, path: &str, expected: bool) {
    assert_eq!(snapshot().is_idempotent(service, path), expected);
}
