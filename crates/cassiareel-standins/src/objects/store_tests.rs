use serde_json::json;

use super::store::{Change, Metadata, Refusal, Store, StoredObject, MAX_HISTORY};

fn stored(name: &str, value: usize) -> StoredObject {
    StoredObject {
        api_version: String::new(),
        kind: String::new(),
        metadata: Metadata {
            name: name.to_owned(),
            resource_version: None,
        },
        spec: json!(value),
    }
}

#[test]
fn changes_are_kept_up_to_the_maximum_history() {
    let mut store = Store::default();
    store.create("k", stored("a", 0)).unwrap();
    for i in 0..MAX_HISTORY {
        store.update("k", stored("a", i)).unwrap();
    }
    assert_eq!(store.changes_since("k", 0), None);
    let known = store.changes_since("k", 1).unwrap();
    assert_eq!(known.len(), MAX_HISTORY);
    assert!(known.iter().all(|event| event.change == Change::Modified));
    assert_eq!(store.get_at("k", "a", 2).unwrap().spec, json!(0));
}

#[test]
fn a_deleted_name_can_be_created_again_with_a_later_version() {
    let mut store = Store::default();
    let first = store.create("k", stored("a", 1)).unwrap();
    let version = first.metadata.resource_version.clone();
    store.delete("k", "a", version.as_deref()).unwrap();
    assert_eq!(store.delete("k", "a", None), Err(Refusal::Missing));
    let second = store.create("k", stored("a", 2)).unwrap();
    assert_ne!(second.metadata.resource_version, version);
    let mut stale = stored("a", 3);
    stale.metadata.resource_version = version;
    assert_eq!(store.update("k", stale), Err(Refusal::Stale));
    let seen: Vec<_> = store
        .changes_since("k", 0)
        .unwrap()
        .iter()
        .map(|e| e.change)
        .collect();
    assert_eq!(seen, [Change::Added, Change::Deleted, Change::Added]);
    assert_eq!(store.list_at("k", 2).len(), 0);
    assert_eq!(store.list_at("k", 1)[0].spec, json!(1));
}
