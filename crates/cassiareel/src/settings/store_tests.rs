//! Tests of the tree in the object API: races, lost answers, outages, large trees, damaged parts.

use std::time::Duration;

use serde_json::json;
use test_case::test_case;

use super::{
    apply, collect_unreferenced_parts, load, read_revision, split_into_parts, ApplyError, Caller,
    Draft, Edit, Head, LoadError, Tree, HEAD_KIND, HEAD_NAME, PART_GRACE_PERIOD, PART_KIND,
};
use crate::store::{Call, Fault, FaultRates, MemoryObjects, Object, Objects, StoreError};

const TREE: &str = r#"
[platform]
name = "test"
[regions.r.data_centres.d1]
[services.draft]
version = "v1"
versions.v1.placements.d1.servers = ["10.0.0.1:80"]
[accounts.mira]
services = ["draft"]
[accounts.rex]
services = ["draft"]
"#;

fn tree() -> Tree {
    Draft::parse(TREE).unwrap().tree
}

fn named(name: &str) -> Tree {
    let mut tree = tree();
    tree.platform.name = name.into();
    tree
}

fn edit(base: Option<u64>, tree: Tree) -> Edit {
    Edit {
        base,
        tree,
        author: "ana".into(),
        note: "test".into(),
        time_ms: 1_000,
        rebase: false,
    }
}

/// A store in which a tree is revision 1.
async fn store() -> MemoryObjects {
    let store = MemoryObjects::new(1);
    let applied = apply(&store, &edit(None, tree())).await.unwrap();
    assert_eq!(applied.revision, 1);
    store
}

async fn revision(store: &MemoryObjects) -> u64 {
    load(store).await.unwrap().unwrap().revision()
}

#[test]
fn an_edit_becomes_the_next_revision() {
    smol::block_on(async {
        let store = store().await;
        let applied = apply(&store, &edit(Some(1), named("new"))).await.unwrap();
        assert_eq!(applied.revision, 2);
        assert_eq!(
            applied.changes[0].to_string(),
            "~ platform.name: \"test\" -> \"new\""
        );
        let loaded = load(&store).await.unwrap().unwrap();
        assert_eq!(loaded.tree, named("new"));
        let old = loaded.head.find(1).unwrap();
        assert_eq!(read_revision(&store, old).await.unwrap(), tree());
    });
}

#[test]
fn an_edit_in_a_restored_store_is_above_every_lost_revision() {
    smol::block_on(async {
        let store = store().await;
        store.copy();
        for i in 1..4 {
            let next = named(&format!("lost-{i}"));
            apply(&store, &edit(Some(i), next)).await.unwrap();
        }
        let lost = revision(&store).await;
        store.restore();
        let applied = apply(&store, &edit(Some(1), named("new"))).await.unwrap();
        assert!(applied.revision > lost, "{} and {lost}", applied.revision);
        let late = apply(&store, &edit(Some(lost), named("late"))).await;
        assert!(
            matches!(late, Err(ApplyError::UnknownBase { .. })),
            "{late:?}"
        );
    });
}

#[test]
fn an_edit_without_changes_creates_no_revision() {
    smol::block_on(async {
        let store = store().await;
        let writes = store.call_counts().writes;
        let applied = apply(&store, &edit(Some(1), tree())).await.unwrap();
        assert_eq!((applied.revision, applied.changes.len()), (1, 0));
        assert_eq!(store.call_counts().writes, writes);
    });
}

#[test]
fn an_invalid_tree_changes_nothing() {
    smol::block_on(async {
        let store = store().await;
        let writes = store.call_counts().writes;
        let mut invalid = tree();
        invalid.accounts.get_mut("mira").unwrap().services = vec!["x".into(), "y".into()];
        let err = apply(&store, &edit(Some(1), invalid)).await.unwrap_err();
        let ApplyError::InvalidTree { source } = err else {
            panic!("{err}")
        };
        assert_eq!(source.faults.len(), 2);
        assert_eq!(store.call_counts().writes, writes);
    });
}

#[test]
fn one_of_two_concurrent_edits_is_rejected_with_the_changes_of_both() {
    smol::block_on(async {
        let store = store().await;
        let one = edit(Some(1), named("one"));
        let two = edit(Some(1), named("two"));
        let (first, second) = smol::future::zip(apply(&store, &one), apply(&store, &two)).await;
        assert_eq!(u8::from(first.is_ok()) + u8::from(second.is_ok()), 1);
        let (winner, err) = match (first, second) {
            (Ok(_), Err(err)) => ("one", err),
            (Err(err), Ok(_)) => ("two", err),
            _ => unreachable!("one of the two was accepted"),
        };
        let ApplyError::Conflict {
            base,
            theirs,
            yours,
            overlap,
            ..
        } = err
        else {
            panic!("{err}")
        };
        assert_eq!((base, overlap), (1, true));
        assert_eq!(theirs[0].new, Some(winner.into()));
        assert_ne!(theirs[0].new, yours[0].new);
        assert_eq!(load(&store).await.unwrap().unwrap().tree, named(winner));
    });
}

#[derive(Clone, Copy)]
struct Race {
    rebase: bool,
    same_path: bool,
    accepted: bool,
}

#[test_case(Race { rebase: false, same_path: false, accepted: false })]
#[test_case(Race { rebase: true, same_path: false, accepted: true })]
#[test_case(Race { rebase: true, same_path: true, accepted: false })]
fn an_edit_is_rebased_only_on_changes_of_other_paths(race: Race) {
    smol::block_on(async {
        let store = store().await;
        let mut theirs = tree();
        theirs.accounts.remove("rex");
        apply(&store, &edit(Some(1), theirs)).await.unwrap();
        let mut yours = tree();
        let account = if race.same_path { "rex" } else { "mira" };
        let node = yours.accounts.get_mut(account).unwrap();
        node.policy.limits.weight = Some(2.0);
        let edit = Edit {
            rebase: race.rebase,
            ..edit(Some(1), yours)
        };
        let applied = apply(&store, &edit).await;
        assert_eq!(applied.is_ok(), race.accepted);
        let kept = load(&store).await.unwrap().unwrap();
        assert!(!kept.tree.accounts.contains_key("rex"));
        let weight = kept.tree.accounts["mira"].policy.limits.weight;
        assert_eq!(weight.is_some(), race.accepted);
        if let Err(ApplyError::Conflict { overlap, .. }) = applied {
            assert_eq!(overlap, race.same_path);
        }
    });
}

#[test]
fn a_rebased_tree_is_checked_again() {
    smol::block_on(async {
        let store = store().await;
        let reserve = |account: &str| {
            let mut tree = tree();
            let node = tree.accounts.get_mut(account).unwrap();
            node.reserve.share = Some("60%".parse().unwrap());
            tree
        };
        apply(&store, &edit(Some(1), reserve("rex"))).await.unwrap();
        let edit = Edit {
            rebase: true,
            ..edit(Some(1), reserve("mira"))
        };
        let err = apply(&store, &edit).await.unwrap_err();
        assert!(err.to_string().contains("adds up to 120%"), "{err}");
        assert_eq!(revision(&store).await, 2);
    });
}

#[test]
fn an_edit_without_a_known_base_is_rejected() {
    smol::block_on(async {
        let store = store().await;
        let err = apply(&store, &edit(None, named("x"))).await.unwrap_err();
        assert_eq!(err, ApplyError::MissingBase { accepted: 1 });
        let err = apply(&store, &edit(Some(9), named("x"))).await.unwrap_err();
        assert_eq!(err, ApplyError::UnknownBase { base: 9, oldest: 1 });
        let empty = MemoryObjects::new(1);
        let err = apply(&empty, &edit(Some(1), named("x"))).await.unwrap_err();
        assert_eq!(err, ApplyError::UnknownBase { base: 1, oldest: 0 });
    });
}

#[derive(Clone)]
struct StoreFault {
    call: Call,
    skip: usize,
    fault: Fault,
}

fn store_fault(call: Call, skip: usize, fault: Fault) -> StoreFault {
    StoreFault { call, skip, fault }
}

#[test_case(&[store_fault(Call::Create, 0, Fault::LoseAnswer)]; "the part's answer is lost")]
#[test_case(&[store_fault(Call::Create, 0, Fault::LoseCall)]; "the part is lost")]
#[test_case(&[store_fault(Call::Create, 0, Fault::Refuse)]; "the part is refused")]
#[test_case(&[store_fault(Call::Update, 0, Fault::LoseAnswer)]; "the head's answer is lost")]
#[test_case(&[store_fault(Call::Update, 0, Fault::LoseCall)]; "the head is lost")]
#[test_case(&[
    store_fault(Call::Update, 0, Fault::Throttle(Duration::ZERO)),
]; "the head is throttled")]
#[test_case(&[
    store_fault(Call::Update, 0, Fault::LoseAnswer),
    store_fault(Call::Get, 2, Fault::Refuse),
]; "the head's answer is lost, and so is the first read")]
#[test_case(&[
    store_fault(Call::Update, 0, Fault::LoseAnswer),
    store_fault(Call::Get, 2, Fault::Refuse),
    store_fault(Call::Update, 0, Fault::LoseAnswer),
]; "two answers and a read are lost")]
fn passing_store_faults_are_retried(faults: &[StoreFault]) {
    smol::block_on(async {
        let store = store().await;
        for StoreFault { call, skip, fault } in faults.iter().cloned() {
            store.inject_fault(call, skip, fault);
        }
        let applied = apply(&store, &edit(Some(1), named("new"))).await.unwrap();
        assert_eq!((applied.revision, store.pending_faults()), (2, 0));
        let loaded = load(&store).await.unwrap().unwrap();
        assert_eq!((loaded.revision(), loaded.tree), (2, named("new")));
        assert_eq!(loaded.head.history.len(), 1);
    });
}

#[test]
fn an_edit_with_a_lost_answer_is_not_mistaken_for_another_authors() {
    smol::block_on(async {
        let store = store().await;
        // The answer is lost, and before it can be read back another edit is accepted.
        store.inject_fault(Call::Update, 0, Fault::LoseAnswer);
        store.inject_fault(Call::Get, 2, Fault::Refuse);
        let mine = edit(Some(1), named("mine"));
        let theirs = async {
            let from = |base| Edit {
                author: "rex".into(),
                ..edit(Some(base), named("theirs"))
            };
            while apply(&store, &from(2)).await.is_err() {
                smol::future::yield_now().await;
            }
        };
        let (applied, ()) = smol::future::zip(apply(&store, &mine), theirs).await;
        assert_eq!((applied.unwrap().revision, store.pending_faults()), (2, 0));
        assert_eq!(revision(&store).await, 3);
    });
}

#[test]
fn an_outage_before_the_head_is_written_leaves_the_old_revision() {
    smol::block_on(async {
        let store = store().await;
        for _ in 0..6 {
            store.inject_fault(Call::Update, 0, Fault::Refuse);
        }
        let err = apply(&store, &edit(Some(1), named("new")))
            .await
            .unwrap_err();
        assert!(matches!(
            err,
            ApplyError::Store {
                source: StoreError::NotApplied { .. }
            }
        ));
        assert_eq!(load(&store).await.unwrap().unwrap().tree, tree());
        // The written parts stay in the store and are harmless; the next try succeeds.
        assert_eq!(store.names(PART_KIND).len(), 2);
        apply(&store, &edit(Some(1), named("new"))).await.unwrap();
        assert_eq!(revision(&store).await, 2);
    });
}

#[test]
fn an_unknown_outcome_is_reported() {
    smol::block_on(async {
        let store = store().await;
        store.inject_fault(Call::Update, 0, Fault::LoseAnswer);
        for _ in 0..6 {
            store.inject_fault(Call::Update, 0, Fault::Refuse);
        }
        for skip in [2, 0, 0, 0, 0, 0] {
            store.inject_fault(Call::Get, skip, Fault::Refuse);
        }
        let err = apply(&store, &edit(Some(1), named("new")))
            .await
            .unwrap_err();
        let ApplyError::OutcomeUnknown { revision: 2, nonce } = err else {
            panic!("{err}")
        };
        let head = load(&store).await.unwrap().unwrap().head;
        assert_eq!(head.accepted.nonce, nonce);
    });
}

#[test]
fn stale_reads_revert_nothing() {
    smol::block_on(async {
        let store = store().await;
        apply(&store, &edit(Some(1), named("two"))).await.unwrap();
        // Reads return revision 1 until the part of revision 3 is written.
        store.set_read_lag(1);
        let err = apply(&store, &edit(Some(1), named("three")))
            .await
            .unwrap_err();
        assert!(matches!(err, ApplyError::Conflict { .. }), "{err}");
        // All reads return revision 1.
        store.set_read_lag(3);
        let err = apply(&store, &edit(Some(1), named("three")))
            .await
            .unwrap_err();
        assert!(matches!(err, ApplyError::Store { .. }), "{err}");
        store.set_read_lag(0);
        assert_eq!(load(&store).await.unwrap().unwrap().tree, named("two"));
    });
}

/// A tree of more than 3 MB.
fn large_tree() -> Tree {
    let mut tree = tree();
    let mut number = 0u64;
    for account in 0..120 {
        let mut node = tree.accounts["mira"].clone();
        for caller in 0..300 {
            number += 1;
            let key = super::units::Digest(super::key_digest(&number.to_string()));
            let leaf = Caller {
                keys: [("first".into(), key)].into(),
                ..Caller::default()
            };
            node.callers.insert(format!("c{caller}").into(), leaf);
        }
        tree.accounts
            .insert(format!("account-{account}").into(), node);
    }
    tree
}

#[test]
fn a_tree_of_three_megabytes_is_one_revision() {
    smol::block_on(async {
        let store = store().await;
        let large = large_tree();
        assert!(large.to_toml().len() > 3_000_000);
        let applied = apply(&store, &edit(Some(1), large.clone())).await.unwrap();
        assert!(applied.parts_written > 12);
        assert_eq!(load(&store).await.unwrap().unwrap().tree, large);
        // A small edit writes only the parts near it.
        let mut edited = large;
        let node = edited.accounts.get_mut("account-50").unwrap();
        node.policy.limits.weight = Some(2.0);
        let applied = apply(&store, &edit(Some(2), edited.clone())).await.unwrap();
        assert!(
            applied.parts_written <= 2,
            "{} parts",
            applied.parts_written
        );
        assert_eq!(load(&store).await.unwrap().unwrap().tree, edited);
    });
}

#[test]
fn the_concatenated_parts_are_the_text() {
    let text = large_tree().to_toml();
    let whole: String = split_into_parts(&text)
        .iter()
        .map(|part| part.text)
        .collect();
    assert_eq!(whole, text);
    let line = "".repeat(400_000);
    let parts = split_into_parts(&line);
    assert!(parts.iter().all(|part| part.text.len() <= 256 << 10));
    assert_eq!(parts.iter().map(|part| part.text).collect::<String>(), line);
    assert_eq!(split_into_parts("").len(), 1);
}

#[test]
fn a_damaged_or_missing_part_is_detected() {
    smol::block_on(async {
        let store = store().await;
        let name = store.names(PART_KIND).remove(0);
        let spec = json!({"text": TREE.replace("mira", "mallory"), "time": 0});
        store.tamper(PART_KIND, &name, spec);
        let damaged = LoadError::Damaged { name: name.clone() };
        assert_eq!(load(&store).await, Err(damaged));
        let stored = store.get(PART_KIND, &name).await.unwrap().unwrap();
        store.delete(&stored).await.unwrap();
        assert_eq!(load(&store).await, Err(LoadError::Missing { name }));
    });
}

#[test]
fn a_head_with_the_whole_tree_is_read_and_replaced() {
    smol::block_on(async {
        let store = MemoryObjects::new(1);
        let head = Object::new(HEAD_KIND, HEAD_NAME, json!({"revision": 4, "tree": TREE}));
        store.create(&head).await.unwrap();
        assert_eq!(revision(&store).await, 4);
        apply(&store, &edit(Some(4), named("new"))).await.unwrap();
        let loaded = load(&store).await.unwrap().unwrap();
        assert_eq!((loaded.revision(), loaded.tree), (5, named("new")));
        // The tree from the head can still be read back, so a late edit is compared with it.
        let old = loaded.head.find(4).unwrap();
        assert_eq!(read_revision(&store, old).await.unwrap(), tree());
        let late = apply(&store, &edit(Some(4), named("late"))).await;
        assert!(matches!(
            late,
            Err(ApplyError::Conflict { overlap: true, .. })
        ));
    });
}

#[test]
fn only_expired_unreferenced_parts_are_deleted() {
    smol::block_on(async {
        let store = store().await;
        let grace = u64::try_from(PART_GRACE_PERIOD.as_millis()).unwrap();
        // The parts of three edits are written, but their heads never are.
        for (i, time) in [1_000, 1_000, 5_000].into_iter().enumerate() {
            for _ in 0..6 {
                store.inject_fault(Call::Update, 0, Fault::Refuse);
            }
            let edit = Edit {
                time_ms: time,
                ..edit(Some(1), named(&format!("lost-{i}")))
            };
            assert!(apply(&store, &edit).await.is_err());
        }
        assert_eq!(store.names(PART_KIND).len(), 4);
        // One of the edits is applied again, which writes its part again.
        let again = Edit {
            time_ms: 2_000,
            ..edit(Some(1), named("lost-0"))
        };
        apply(&store, &again).await.unwrap();
        assert_eq!(collect_unreferenced_parts(&store, grace).await.unwrap(), 0);
        assert_eq!(
            collect_unreferenced_parts(&store, grace + 1_001)
                .await
                .unwrap(),
            1
        );
        assert_eq!(load(&store).await.unwrap().unwrap().tree, named("lost-0"));
        assert_eq!(store.names(PART_KIND).len(), 3);
    });
}

#[test]
fn a_part_written_again_during_a_collection_is_kept() {
    smol::block_on(async {
        let store = store().await;
        for _ in 0..6 {
            store.inject_fault(Call::Update, 0, Fault::Refuse);
        }
        assert!(apply(&store, &edit(Some(1), named("late"))).await.is_err());
        let now = 1_001 + u64::try_from(PART_GRACE_PERIOD.as_millis()).unwrap();
        // Deletes as a collector does that listed the parts and read the head before the part was
        // written again.
        let old: Vec<Object> = store.list(PART_KIND).await.unwrap().objects;
        let late = Edit {
            time_ms: now,
            ..edit(Some(1), named("late"))
        };
        apply(&store, &late).await.unwrap();
        let mut kept = 0;
        for part in old {
            kept += u8::from(store.delete(&part).await.is_err());
        }
        assert_eq!(kept, 1);
        // Only the deletion of the rewritten part failed. The part of revision 1, which only the
        // history needs, is gone.
        assert_eq!(load(&store).await.unwrap().unwrap().tree, named("late"));
    });
}

#[test]
fn the_history_is_limited_to_50_revisions() {
    smol::block_on(async {
        let store = store().await;
        for i in 1..60 {
            apply(&store, &edit(Some(i), named(&format!("n{i}"))))
                .await
                .unwrap();
        }
        let head = load(&store).await.unwrap().unwrap().head;
        let revisions: Vec<u64> = head.revisions().map(|old| old.revision).collect();
        assert_eq!(revisions, (11..=60).rev().collect::<Vec<u64>>());
    });
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
fn the_history_agrees_with_the_reported_outcomes(seed: u64) {
    smol::block_on(async {
        let seeded = MemoryObjects::new(seed);
        apply(&seeded, &edit(None, tree())).await.unwrap();
        seeded.set_fault_rates(FaultRates {
            refuse: 0.1,
            lose_answer: 0.15,
            lose_call: 0.1,
            stale: 0.1,
            stale_writes: 2,
        });
        let operator = |name: &'static str| {
            let store = &seeded;
            async move {
                let mut accepted = Vec::new();
                for i in 0..20 {
                    let Ok(Some(base)) = load(store).await else {
                        continue;
                    };
                    let mut tree = base.tree.clone();
                    tree.platform.name = format!("{name}-{i}");
                    let edit = Edit {
                        author: name.into(),
                        ..edit(Some(base.revision()), tree)
                    };
                    if let Ok(applied) = apply(store, &edit).await {
                        accepted.push((applied.revision, format!("{name}-{i}")));
                    }
                }
                accepted
            }
        };
        let (mut reported, more) = smol::future::zip(operator("ana"), operator("rex")).await;
        reported.extend(more);
        reported.sort_unstable();
        seeded.set_fault_rates(FaultRates::default());
        let loaded = load(&seeded).await.unwrap().unwrap();
        assert!(
            reported.len() > 10,
            "only {} edits were accepted",
            reported.len()
        );
        for (revision, name) in reported {
            if let Some(old) = loaded.head.find(revision) {
                let tree = read_revision(&seeded, old).await.unwrap();
                assert_eq!(tree.platform.name, name, "revision {revision}, seed {seed}");
            }
        }
        let revisions: Vec<u64> = loaded.head.revisions().map(|old| old.revision).collect();
        assert!(revisions.windows(2).all(|pair| pair[0] == pair[1] + 1));
    });
}

#[test]
fn a_head_lists_each_part_once_and_stays_small() {
    smol::block_on(async {
        let store = store().await;
        let mut tree = large_tree();
        apply(&store, &edit(Some(1), tree.clone())).await.unwrap();
        for i in 2..6 {
            let node = tree
                .accounts
                .get_mut(format!("account-{i}").as_str())
                .unwrap();
            node.policy.limits.weight = Some(2.0);
            apply(&store, &edit(Some(i), tree.clone())).await.unwrap();
        }
        let object = store.get(HEAD_KIND, HEAD_NAME).await.unwrap().unwrap();
        let head = Head::decode(&object).unwrap();
        assert_eq!(head.encode(), object.spec);
        assert_eq!(
            read_revision(&store, head.find(2).unwrap()).await.unwrap(),
            large_tree()
        );
        let listed = object.spec["parts"].as_array().unwrap().len();
        assert_eq!(listed, store.names(PART_KIND).len());
        assert!(listed < 2 * head.accepted.parts.len(), "{listed} parts");
    });
}

#[test_case(json!({"revision": "x"}); "an invalid revision")]
#[test_case(json!({"revision": 1, "parts": [], "revisions": []}); "no revision")]
#[test_case(json!({
    "revision": 1,
    "parts": [],
    "revisions": [{
        "revision": 1, "digest": "00".repeat(32), "parts": [0], "author": "a", "time": 1,
        "note": "", "nonce": 1,
    }],
}); "a part that is not listed")]
fn an_invalid_head_is_rejected(spec: serde_json::Value) {
    let object = Object::new(HEAD_KIND, HEAD_NAME, spec);
    assert!(matches!(
        Head::decode(&object),
        Err(LoadError::Malformed { .. })
    ));
}
