//! Tests of look-ups: keys, versions, and calls that may run twice.

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
fn each_key_of_a_caller_is_its_own() {
    let snapshot = snapshot();
    let web = identity("plain", "web");
    assert_eq!(snapshot.identify("k-old"), Some(&web));
    assert_eq!(snapshot.identify("k-new"), Some(&web));
    assert_eq!(snapshot.identify("k-ana"), None);
    assert_eq!(snapshot.identify(""), None);
    assert_eq!(snapshot.identify_operator("k-ana"), Some("ana"));
    assert_eq!(snapshot.identify_operator("k-old"), None);
}

#[test_case("plain", "web", None, "v1"; "the service's")]
#[test_case("plain", "web", Some("d1"), "v1"; "a data centre that says nothing")]
#[test_case("plain", "web", Some("d2"), "v2"; "the data centre's")]
#[test_case("pinned", "a", Some("d2"), "v3"; "the account's")]
#[test_case("pinned", "b", Some("d2"), "v4"; "the caller's")]
fn the_nearest_version_counts(account: &str, caller: &str, place: Option<&str>, version: &str) {
    let snapshot = snapshot();
    let route = snapshot.route_at(&identity(account, caller), "draft", place);
    assert_eq!(&*route.unwrap().version, version);
}

#[test]
fn a_service_that_the_account_lacks_has_no_route() {
    let snapshot = snapshot();
    assert_eq!(snapshot.route(&identity("plain", "web"), "desk"), None);
    assert_eq!(snapshot.route(&identity("nobody", "web"), "draft"), None);
}

#[test_case("draft", "/", true; "a model")]
#[test_case("desk", "/entries", true; "a route that may")]
#[test_case("desk", "/entries/4", true; "beneath it")]
#[test_case("desk", "/entries-new", false; "beside it")]
#[test_case("desk", "/stamps", false; "the service's own word")]
#[test_case("nothing", "/", false; "no service")]
fn a_call_may_run_twice_only_where_it_is_said(service: &str, path: &str, right: bool) {
    assert_eq!(snapshot().is_idempotent(service, path), right);
}
