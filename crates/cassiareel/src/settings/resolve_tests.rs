//! Tests of inheritance: precedence, origins, merging and round trips.

use std::time::Duration;

use proptest::{
    collection::{btree_map, vec},
    option,
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use test_case::test_case;

use super::{
    diff, patch,
    units::{Rate, Share},
    Account, Caller, Draft, Policy, PolicyId, ResolvedPolicy, Scope, ServiceUse, Tree,
};

/// A tree in which each node on the path of one request sets its own value.
const TREE: &str = r#"
[platform.policy.time]
queue = "1s"
first_token = "1s"
[policies.slow.time]
queue = "8s"
connect = "8s"
[policies.slower]
base = "slow"
time.connect = "9s"
[regions.r.policy.time]
queue = "2s"
[regions.r.data_centres.d1.policy.time]
queue = "3s"
[services.desk]
kind = "plain"
version = "v1"
policy.time.queue = "4s"
[services.desk.routes."/entries".policy.time]
queue = "5s"
[services.desk.versions.v1.policy.time]
queue = "6s"
[services.desk.versions.v1.placements.d1]
servers = ["10.0.0.1:80"]
policy.time.queue = "7s"
[accounts.a]
services = ["desk"]
policy.base = "slower"
[accounts.a.uses.desk.policy.time]
queue = "10s"
[accounts.a.callers.c.policy.time]
queue = "11s"
"#;

#[derive(Clone, Copy)]
struct Case {
    scope: Scope<'static>,
    queue: u64,
    from: Option<&'static str>,
}

const EMPTY_SCOPE: Scope<'static> = Scope {
    data_centre: None,
    service: None,
    path: None,
    version: None,
    placement: None,
    account: None,
    caller: None,
};

#[test_case(Case { scope: EMPTY_SCOPE, queue: 1, from: Some("platform.policy") })]
#[test_case(Case {
    scope: Scope { data_centre: Some("d1"), ..EMPTY_SCOPE },
    queue: 3,
    from: Some("regions.r.data_centres.d1.policy"),
})]
#[test_case(Case {
    scope: Scope { data_centre: Some("d9"), ..EMPTY_SCOPE },
    queue: 1,
    from: Some("platform.policy"),
})]
#[test_case(Case {
    scope: Scope { data_centre: Some("d1"), service: Some("desk"), ..EMPTY_SCOPE },
    queue: 4,
    from: Some("services.desk.policy"),
})]
#[test_case(Case {
    scope: Scope { service: Some("desk"), path: Some("/entries/7"), ..EMPTY_SCOPE },
    queue: 5,
    from: Some("services.desk.routes.\"/entries\".policy"),
})]
#[test_case(Case {
    scope: Scope { service: Some("desk"), path: Some("/entries2"), ..EMPTY_SCOPE },
    queue: 4,
    from: Some("services.desk.policy"),
})]
#[test_case(Case {
    scope: Scope {
        service: Some("desk"),
        path: Some("/entries"),
        version: Some("v1"),
        ..EMPTY_SCOPE
    },
    queue: 6,
    from: Some("services.desk.versions.v1.policy"),
})]
#[test_case(Case {
    scope: Scope {
        service: Some("desk"),
        version: Some("v1"),
        placement: Some("d1"),
        ..EMPTY_SCOPE
    },
    queue: 7,
    from: Some("services.desk.versions.v1.placements.d1.policy"),
})]
#[test_case(Case {
    scope: Scope { account: Some("a"), ..EMPTY_SCOPE },
    queue: 8,
    from: Some("policies.slow"),
})]
#[test_case(Case {
    scope: Scope {
        service: Some("desk"),
        version: Some("v1"),
        placement: Some("d1"),
        account: Some("a"),
        ..EMPTY_SCOPE
    },
    queue: 10,
    from: Some("accounts.a.uses.desk.policy"),
})]
#[test_case(Case {
    scope: Scope {
        service: Some("desk"),
        account: Some("a"),
        caller: Some("c"),
        ..EMPTY_SCOPE
    },
    queue: 11,
    from: Some("accounts.a.callers.c.policy"),
})]
fn the_last_node_on_the_path_takes_precedence(case: Case) {
    let Case { scope, queue, from } = case;
    let tree = Draft::parse(TREE).unwrap().tree;
    let resolved = tree.resolve(&scope);
    assert_eq!(resolved.time.queue, Duration::from_secs(queue));
    let origins = tree.origins(&scope);
    let found = origins
        .iter()
        .find(|origin| origin.name.to_string() == "time.queue")
        .unwrap();
    assert_eq!(found.value, format!("\"{}s\"", queue));
    assert_eq!(
        found.from.as_ref().map(ToString::to_string).as_deref(),
        from
    );
}

#[test]
fn a_value_that_no_node_sets_has_its_default() {
    let tree = Draft::parse(TREE).unwrap().tree;
    let origins = tree.origins(&EMPTY_SCOPE);
    let drain = origins
        .iter()
        .find(|origin| origin.name.to_string() == "time.drain")
        .unwrap();
    assert_eq!(
        (drain.value.as_str(), drain.from.as_ref()),
        ("\"2min\"", None)
    );
    // The named policy overrides a value of its own base.
    let scope = Scope {
        account: Some("a"),
        ..EMPTY_SCOPE
    };
    assert_eq!(tree.resolve(&scope).time.connect, Duration::from_secs(9));
}

#[test]
fn resolving_an_unchecked_tree_with_a_cycle_terminates() {
    let mut tree = Tree::default();
    let base = Some(PolicyId::from("a"));
    tree.policies.insert(
        "a".into(),
        Policy {
            base: base.clone(),
            ..Policy::default()
        },
    );
    tree.platform.policy.base = base;
    assert_eq!(tree.resolve(&EMPTY_SCOPE), ResolvedPolicy::default());
}

/// Runs a property test over cases that are the same in every run.
fn check<S, F>(strategy: S, property: F)
where
    S: Strategy,
    F: Fn(S::Value) -> Result<(), TestCaseError>,
{
    let config = Config {
        cases: 200,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, rng)
        .run(&strategy, property)
        .unwrap();
}

fn policies() -> impl Strategy<Value = Policy> {
    let share = (0u32..=1_000_000).prop_map(Share::from_ppm);
    (
        option::of((1u64..1 << 40).prop_map(Duration::from_millis)),
        option::of(option::of(
            (1u64..1_000_000).prop_map(Rate::from_per_second),
        )),
        option::of(option::of(1u32..)),
        option::of(1024u64..1 << 24),
        option::of(share.clone()),
        option::of(vec(share, 0..4)),
        option::of(0.1f64..10.0),
    )
        .prop_map(|(queue, requests, open, stream, ejected, steps, weight)| {
            let mut policy = Policy::default();
            policy.time.queue = queue;
            policy.limits.requests = requests;
            policy.limits.open_requests = open;
            policy.buffers.stream = stream;
            policy.routing.ejected = ejected;
            policy.moves.steps = steps;
            policy.limits.weight = weight;
            policy
        })
}

fn accounts() -> impl Strategy<Value = Account> {
    let callers = btree_map("[a-z]{1,3}", policies(), 0..4);
    (policies(), policies(), callers).prop_map(|(policy, usage, callers)| Account {
        services: vec!["draft".into()],
        policy,
        uses: [("draft".into(), ServiceUse { policy: usage })].into(),
        callers: callers
            .into_iter()
            .map(|(name, policy)| {
                let caller = Caller {
                    policy,
                    ..Caller::default()
                };
                (name.into(), caller)
            })
            .collect(),
        ..Account::default()
    })
}

fn trees() -> impl Strategy<Value = Tree> {
    (policies(), btree_map("[a-z]{1,3}", accounts(), 0..4)).prop_map(|(policy, accounts)| {
        let mut tree = Tree::default();
        tree.platform.policy = policy;
        tree.accounts = accounts
            .into_iter()
            .map(|(name, account)| (name.into(), account))
            .collect();
        tree
    })
}

#[test]
fn a_tree_survives_a_round_trip_through_toml() {
    check(trees(), |tree| {
        let parsed: Tree = toml::from_str(&tree.to_toml()).unwrap();
        prop_assert_eq!(&parsed, &tree);
        prop_assert_eq!(parsed.to_toml(), tree.to_toml());
        Ok(())
    });
}

#[test]
fn merging_is_associative_and_equals_applying_in_order() {
    check((policies(), policies(), policies()), |(a, b, c)| {
        let mut one_by_one = ResolvedPolicy::default();
        [&a, &b, &c]
            .into_iter()
            .for_each(|policy| one_by_one.apply(policy));
        let mut left = a.clone();
        left.merge(&b);
        left.merge(&c);
        let mut right = b;
        right.merge(&c);
        let mut whole = a;
        whole.merge(&right);
        prop_assert_eq!(&left, &whole);
        let mut merged = ResolvedPolicy::default();
        merged.apply(&left);
        prop_assert_eq!(merged, one_by_one);
        Ok(())
    });
}

#[test]
fn a_child_that_sets_nothing_inherits_every_value() {
    check(trees(), |mut tree| {
        tree.accounts.insert("new".into(), Account::default());
        let scope = Scope {
            account: Some("new"),
            ..EMPTY_SCOPE
        };
        prop_assert_eq!(tree.resolve(&scope), tree.resolve(&EMPTY_SCOPE));
        Ok(())
    });
}

#[test]
fn origins_and_resolved_values_agree() {
    check(trees(), |tree| {
        for (name, account) in &tree.accounts {
            for caller in account.callers.keys() {
                let scope = Scope {
                    service: Some("draft"),
                    account: Some(name),
                    caller: Some(caller),
                    ..EMPTY_SCOPE
                };
                let resolved = toml::Table::try_from(tree.resolve(&scope).to_policy()).unwrap();
                for origin in tree.origins(&scope) {
                    let [group, value] = origin.name.segments() else {
                        panic!("an origin's name has two segments")
                    };
                    prop_assert_eq!(resolved[group][value].to_string(), origin.value);
                }
            }
        }
        Ok(())
    });
}

#[test]
fn patching_a_tree_with_a_diff_gives_the_other_tree() {
    let patched = std::cell::Cell::new(0);
    check((trees(), trees()), |(old, new)| {
        let changes = diff(&old, &new);
        prop_assert_eq!(changes.is_empty(), old == new);
        // The random trees reference a service that they lack, so both get it here.
        let mut service = Draft::parse(SERVICE).unwrap().tree;
        let (mut old, mut new) = (old, new);
        std::mem::swap(&mut old.services, &mut service.services);
        new.services = old.services.clone();
        new.regions = service.regions.clone();
        old.regions = service.regions;
        if new.check().is_ok() {
            patched.set(patched.get() + 1);
            prop_assert_eq!(patch(&old, &changes).unwrap(), new);
        }
        Ok(())
    });
    assert!(
        patched.get() >= 10,
        "only {} valid trees were generated",
        patched.get()
    );
}

/// The service that the accounts of random trees reference.
const SERVICE: &str = r#"
[regions.r.data_centres.d1]
[services.draft]
version = "v1"
versions.v1.placements.d1.servers = ["10.0.0.1:80"]
"#;

#[test]
fn changes_conflict_if_one_path_contains_the_other() {
    let base = Draft::parse(TREE).unwrap().tree;
    let mut one = base.clone();
    one.accounts.remove("a");
    let mut two = base.clone();
    two.accounts.get_mut("a").unwrap().services.clear();
    let mut three = base.clone();
    three.platform.name = "x".into();
    let [one, two, three] = [one, two, three].map(|tree| diff(&base, &tree).remove(0));
    assert!(one.conflicts_with(&two) && two.conflicts_with(&one));
    assert!(!one.conflicts_with(&three) && !two.conflicts_with(&three));
    assert!(!one.conflicts_with(&one.clone()));
}
