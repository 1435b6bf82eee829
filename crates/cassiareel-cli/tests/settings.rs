//! Tests of the commands on settings, accounts and keys, against an object API in memory.

use std::{fs, path::PathBuf};

use cassiareel::{
    settings::{self, Draft, Snapshot, Tree},
    store::MemoryObjects,
};
use cassiareel_cli::{
    accounts, add_account, add_key, apply_file, diff_files, get, history, list_keys,
    remove_account, remove_key, servers, show, validate, versions, ApplyOptions, Code, KeyOwner,
    ShowOptions,
};
use test_case::test_case;

const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/zrinski.toml");

/// A temporary file of one test, removed when it is dropped.
struct TempFile(PathBuf);

impl TempFile {
    fn new(name: &str, text: &str) -> TempFile {
        let name = format!("cassiareel-cli-{}-{name}.toml", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::write(&path, text).expect("the directory for temporary files takes files");
        TempFile(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("the path is text")
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

fn example() -> Tree {
    let text = fs::read_to_string(EXAMPLE).expect("the example is there");
    Draft::parse(&text).expect("the example is valid").tree
}

/// Returns a store in which the example is revision 1.
async fn store() -> MemoryObjects {
    let store = MemoryObjects::new(1);
    let options = ApplyOptions::default();
    let (applied, _) = apply_file(&store, "ana", EXAMPLE, &options)
        .await
        .expect("the example is accepted");
    assert_eq!(applied.revision, 1);
    store
}

async fn accepted(store: &MemoryObjects) -> Tree {
    let loaded = settings::load(store).await.expect("the store answers");
    loaded.expect("a tree is accepted").tree
}

#[test]
fn edited_tree_is_compared_and_applied() {
    smol::block_on(async {
        let store = store().await;
        let text = get(&store).await.unwrap().text;
        assert!(text.starts_with("revision = 1\n"));
        let file = TempFile::new("edited", &text.replace("\"5/s\"", "\"6/s\""));
        let compared = diff_files(Some(&store), file.path(), None).await.unwrap();
        let change = "~ policies.small.limits.requests: \"5/s\" -> \"6/s\"";
        assert_eq!(compared.text.trim(), change);
        let options = ApplyOptions {
            note: "more for small accounts".into(),
            ..ApplyOptions::default()
        };
        let (applied, report) = apply_file(&store, "ana", file.path(), &options)
            .await
            .unwrap();
        assert_eq!((applied.revision, applied.changes.len()), (2, 1));
        assert!(report.text.contains(change));
        assert_eq!(
            report.json["changes"][0]["path"],
            "policies.small.limits.requests"
        );
        let shown = history(&store, Some(2)).await.unwrap();
        assert!(shown.text.contains("more for small accounts") && shown.text.contains(change));
        let list = history(&store, None).await.unwrap();
        assert_eq!(list.text.lines().count(), 3);
    });
}

#[test]
fn concurrent_edit_is_refused_with_both_changes_or_rebased() {
    smol::block_on(async {
        let store = store().await;
        let text = get(&store).await.unwrap().text;
        let theirs = TempFile::new("theirs", &text.replace("\"5/s\"", "\"6/s\""));
        let same = TempFile::new("same", &text.replace("\"5/s\"", "\"7/s\""));
        let other = TempFile::new(
            "other",
            &text.replace("open_requests = 20\n", "open_requests = 21\n"),
        );
        let defaults = ApplyOptions::default();
        let rebase = ApplyOptions {
            rebase: true,
            ..ApplyOptions::default()
        };
        apply_file(&store, "ana", theirs.path(), &defaults)
            .await
            .unwrap();
        for (file, options, next) in [
            (&same, &defaults, "talk to the other author"),
            (&same, &rebase, "talk to the other author"),
            (&other, &defaults, "--rebase"),
        ] {
            let err = apply_file(&store, "rex", file.path(), options)
                .await
                .unwrap_err();
            assert_eq!(err.code, Code::Conflict);
            assert!(err.message.contains("\"5/s\" -> \"6/s\""), "{err}");
            assert!(
                err.message
                    .contains("yours, from revision 1:\n  ~ policies.small"),
                "{err}"
            );
            assert!(err.next.contains(next), "{}", err.next);
        }
        apply_file(&store, "rex", other.path(), &rebase)
            .await
            .unwrap();
        let limits = accepted(&store).await.policies["small"].limits.clone();
        assert_eq!(limits.requests.flatten().unwrap().to_string(), "6/s");
        assert_eq!(limits.open_requests, Some(Some(21)));
    });
}

#[test]
fn file_without_a_revision_needs_a_base() {
    smol::block_on(async {
        let store = store().await;
        let text = example().to_toml().replace("\"5/s\"", "\"6/s\"");
        let file = TempFile::new("base", &text);
        let defaults = ApplyOptions::default();
        let err = apply_file(&store, "ana", file.path(), &defaults)
            .await
            .unwrap_err();
        assert_eq!(err.code, Code::Refused);
        assert!(err.next.contains("--base 1"), "{}", err.next);
        let based = ApplyOptions {
            base: Some(1),
            ..defaults
        };
        apply_file(&store, "ana", file.path(), &based)
            .await
            .unwrap();
    });
}

#[test]
fn invalid_file_is_reported_and_changes_nothing() {
    smol::block_on(async {
        let store = store().await;
        let text = get(&store).await.unwrap().text;
        let invalid = text
            .replace("\"5/s\"", "5")
            .replace("version = \"v1\"\nchecks", "version = \"v7\"\nchecks");
        assert_ne!(invalid, text);
        let file = TempFile::new("invalid", &invalid);
        let err = validate(file.path()).unwrap_err();
        assert_eq!(err.code, Code::Refused);
        assert!(
            err.message.contains("policies.small.limits.requests = 5"),
            "{err}"
        );
        let applied = apply_file(&store, "ana", file.path(), &ApplyOptions::default()).await;
        assert_eq!(applied.unwrap_err(), err);
        assert_eq!(accepted(&store).await, example());
    });
}

#[test]
fn unreachable_or_empty_object_api_is_reported() {
    smol::block_on(async {
        let store = store().await;
        store.set_outage(true);
        let err = get(&store).await.unwrap_err();
        assert_eq!(err.code, Code::Unreachable);
        let empty = MemoryObjects::new(1);
        let err = get(&empty).await.unwrap_err();
        assert!(err.message.contains("no settings are accepted yet"));
    });
}

#[test]
fn new_key_is_printed_once_and_only_its_digest_is_stored() {
    smol::block_on(async {
        let store = store().await;
        let owner = KeyOwner::Caller {
            account: "shops",
            caller: "new-till",
        };
        let report = add_key(&store, "ana", owner, "first").await.unwrap();
        let key = report.text.lines().last().unwrap().to_owned();
        assert_eq!(report.json["key"], key.as_str());
        let tree = accepted(&store).await;
        assert!(!tree.to_toml().contains(&key));
        assert!(!list_keys(&tree).text.contains(&key));
        let snapshot = Snapshot::new(2, tree);
        assert_eq!(&*snapshot.identify(&key).unwrap().caller, "new-till");
        // The key is rotated: a second one is added, then the first is removed.
        let again = add_key(&store, "ana", owner, "first").await.unwrap_err();
        assert_eq!(again.code, Code::Refused);
        let second = add_key(&store, "ana", owner, "second").await.unwrap();
        remove_key(&store, "ana", owner, "first").await.unwrap();
        let snapshot = Snapshot::new(4, accepted(&store).await);
        assert_eq!(snapshot.identify(&key), None);
        assert!(snapshot
            .identify(second.json["key"].as_str().unwrap())
            .is_some());
        let err = remove_key(&store, "ana", owner, "first").await.unwrap_err();
        assert!(err.message.contains("has no key first"));
    });
}

#[test]
fn operator_key_is_added() {
    smol::block_on(async {
        let store = store().await;
        let owner = KeyOwner::Operator("iva");
        let report = add_key(&store, "ana", owner, "first").await.unwrap();
        let snapshot = Snapshot::new(2, accepted(&store).await);
        let key = report.json["key"].as_str().unwrap();
        assert_eq!(snapshot.identify_operator(key), Some("iva"));
    });
}

#[test]
fn accounts_are_added_and_removed() {
    smol::block_on(async {
        let store = store().await;
        add_account(&store, "ana", "new", &["dedication"])
            .await
            .unwrap();
        assert!(accounts(&accepted(&store).await).text.contains("new"));
        let err = add_account(&store, "ana", "new", &[]).await.unwrap_err();
        assert!(err.message.contains("already"));
        let err = add_account(&store, "ana", "odd", &["nothing"])
            .await
            .unwrap_err();
        assert!(err.message.contains("there is no service nothing"));
        remove_account(&store, "ana", "new").await.unwrap();
        let err = remove_account(&store, "ana", "new").await.unwrap_err();
        assert!(err.next.contains("shops"));
        assert_eq!(accepted(&store).await, example());
    });
}

#[test_case("", "platform"; "the whole tree")]
#[test_case("accounts.shops.reserve", "share = \"30%\""; "a table")]
#[test_case("services.dedication.version", "\"v1\""; "a value")]
fn show_prints_the_node_at_a_path(path: &str, part: &str) {
    let options = ShowOptions {
        path: path.into(),
        ..ShowOptions::default()
    };
    assert!(show(&example(), &options).unwrap().text.contains(part));
}

#[test_case(
    "accounts.shops",
    None,
    "limits.requests",
    "\"60/s\"",
    "policies.large"
)]
#[test_case("accounts.shops", None, "limits.max_tokens", "2048", "policies.small")]
#[test_case("accounts.shops", None, "limits.priority", "0", "built in")]
#[test_case(
    "accounts.shops",
    Some("dedication"),
    "limits.priority",
    "-1",
    "accounts.shops.uses.dedication.policy"
)]
#[test_case(
    "accounts.shops.callers.samobor-till",
    Some("engraving"),
    "time.answer",
    "\"20s\"",
    "services.engraving.policy"
)]
#[test_case(
    "regions.hr-zagreb.data_centres.zg-1",
    None,
    "moves.cap",
    "\"3%\"",
    "platform.policy"
)]
fn show_prints_the_origin_of_a_value(
    path: &str,
    service: Option<&str>,
    name: &str,
    value: &str,
    from: &str,
) {
    let options = ShowOptions {
        path: path.into(),
        origin: true,
        service: service.map(str::to_owned),
        ..ShowOptions::default()
    };
    let text = show(&example(), &options).unwrap().text;
    let row = text.lines().find(|row| row.starts_with(name)).unwrap();
    let cells: Vec<&str> = row.splitn(3, "  ").map(str::trim).collect();
    assert_eq!(cells[0], name);
    assert!(row.contains(value), "{row}");
    assert!(row.ends_with(from), "{row}");
}

#[test]
fn missing_path_lists_the_names_that_exist() {
    let options = ShowOptions {
        path: "services.dedicatoin.version".into(),
        ..ShowOptions::default()
    };
    let err = show(&example(), &options).unwrap_err();
    assert_eq!(err.next, "`services` has: dedication, engraving");
}

#[test]
fn servers_and_versions_are_listed() {
    let mut tree = example();
    assert_eq!(
        servers(&tree, None).unwrap().text.lines().count(),
        1 + 36 + 3
    );
    let err = servers(&tree, Some("x")).unwrap_err();
    assert!(err.next.contains("dedication"));
    let account = tree.accounts.get_mut("darovi").unwrap();
    account.versions.insert("dedication".into(), "v2".into());
    let listed = versions(&tree, Some("dedication")).unwrap();
    assert_eq!(listed.json["versions"][1]["gets"][0], "account darovi");
    assert_eq!(listed.json["versions"][0]["servers"], 24);
}
