//! Tests of the commands on orders whose outcome is unknown.

use std::{sync::Arc, time::SystemTime};

use cassiareel::{
    kernel::order::{Record, State, Verdict},
    orders::{record_name, KIND},
    settings::{Draft, Tree},
    store::{MemoryObjects, Object, Objects},
};
use cassiareel_cli::{list_orders, query_order, settle_order, Code};
use cassiareel_standins::service::{Ledger, PlainService};
use test_case::test_case;

/// The age of an order that may still be in progress.
const RECENT_MS: u64 = 0;
/// The age of an order that can no longer be in progress.
const OLD_MS: u64 = 3_600_000;

fn record(key: &str, state: State, age: u64) -> Record {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let now = since.expect("it is after 1970").as_millis() as u64;
    Record {
        account: "shops".into(),
        caller: "till".into(),
        key: key.into(),
        service: "orders".into(),
        digest: "00".into(),
        attempt: "a-1".into(),
        since_ms: now - age,
        state,
    }
}

fn name(key: &str) -> String {
    record_name("shops", "till", "orders", key)
}

async fn store(records: &[Record]) -> Arc<MemoryObjects> {
    let store = Arc::new(MemoryObjects::new(1));
    for record in records {
        let spec = serde_json::to_value(record).expect("a record can be written as JSON");
        let object = Object::new(KIND, &name(&record.key), spec);
        store
            .create(&object)
            .await
            .expect("the store accepts the object");
    }
    store
}

fn tree(addr: &str) -> Tree {
    let text = format!(
        "[regions.r.data_centres.d1]\n[services.orders]\nkind = \"plain\"\nversion = \"v1\"\n\
         versions.v1.placements.d1.servers = [\"{addr}\"]\n"
    );
    Draft::parse(&text).expect("the tree is valid").tree
}

/// Returns a tree whose only backend server is unreachable.
fn unreachable_service() -> Tree {
    tree("127.0.0.1:9")
}

#[test]
fn open_orders_are_listed_oldest_first() {
    smol::block_on(async {
        let store = store(&[
            record("recent", State::Claimed, RECENT_MS),
            record("old", State::Unknown, OLD_MS),
            record("known", State::NotRun, OLD_MS),
        ])
        .await;
        let report = list_orders(store).await.unwrap();
        let rows: Vec<&str> = report.text.lines().collect();
        assert_eq!(rows.len(), 3, "{}", report.text);
        assert!(rows[1].ends_with("old") && rows[1].contains("unknown"));
        assert!(rows[2].ends_with("recent") && rows[2].contains("claimed"));
    });
}

#[derive(Clone, Copy)]
struct Case {
    key: &'static str,
    verdict: Verdict,
    code: Code,
}

#[test_case(Case { key: "old", verdict: Verdict::Ran, code: Code::Success })]
#[test_case(Case { key: "old", verdict: Verdict::NotRun, code: Code::Success })]
#[test_case(Case { key: "recent", verdict: Verdict::NotRun, code: Code::Refused })]
#[test_case(Case { key: "known", verdict: Verdict::Ran, code: Code::Refused })]
#[test_case(Case { key: "missing", verdict: Verdict::Ran, code: Code::Refused })]
fn only_an_old_open_order_is_settled(case: Case) {
    smol::block_on(async {
        let records = [
            record("recent", State::Claimed, RECENT_MS),
            record("old", State::Unknown, OLD_MS),
            record("known", State::NotRun, OLD_MS),
        ];
        let store = store(&records).await;
        let name = name(case.key);
        let before = store.get(KIND, &name).await.unwrap();
        let settled = settle_order(
            store.clone(),
            &unreachable_service(),
            &name[..12],
            case.verdict,
        )
        .await;
        let code = settled.map_or_else(|err| err.code, |report| report.code);
        assert_eq!(code, case.code);
        let after = store.get(KIND, &name).await.unwrap();
        assert_eq!(before == after, case.code != Code::Success);
    });
}

#[test]
fn order_that_the_service_ran_is_not_settled_as_not_run() {
    let ledger = Ledger::default();
    let service = PlainService::start("orders@v1", &ledger).expect("loopback has ports");
    let tree = tree(&service.addr().to_string());
    smol::block_on(async {
        let store = store(&[
            record("ran", State::Unknown, OLD_MS),
            record("lost", State::Unknown, OLD_MS),
        ])
        .await;
        run_order(&service, &name("ran")).await;
        let queried = query_order(store.clone(), &tree, &name("ran"))
            .await
            .unwrap();
        assert_eq!(queried.json["ran"], true, "{}", queried.text);
        let queried = query_order(store.clone(), &tree, &name("lost"))
            .await
            .unwrap();
        assert_eq!(queried.json["ran"], false, "{}", queried.text);
        let err = settle_order(store.clone(), &tree, &name("ran"), Verdict::NotRun)
            .await
            .unwrap_err();
        assert!(err.message.contains("says that order"), "{err}");
        settle_order(store.clone(), &tree, &name("ran"), Verdict::Ran)
            .await
            .unwrap();
        settle_order(store, &tree, &name("lost"), Verdict::NotRun)
            .await
            .unwrap();
    });
}

#[test]
fn ambiguous_name_prefix_is_refused() {
    smol::block_on(async {
        let records: Vec<Record> = (0..40)
            .map(|i| record(&format!("k{i}"), State::Unknown, OLD_MS))
            .collect();
        let store = store(&records).await;
        // At least 3 of 40 hexadecimal names begin with the same digit.
        let names: Vec<String> = records.iter().map(|record| name(&record.key)).collect();
        let count_prefix =
            |digit: &str| names.iter().filter(|name| name.starts_with(digit)).count();
        let digits = "0123456789abcdef"
            .split("")
            .filter(|digit| !digit.is_empty());
        let digit = digits
            .max_by_key(|digit| count_prefix(digit))
            .unwrap_or_default();
        for (prefix, message) in [(digit, "open orders begin with"), ("", "an empty name")] {
            let settled =
                settle_order(store.clone(), &unreachable_service(), prefix, Verdict::Ran).await;
            let err = settled.unwrap_err();
            assert!(err.message.contains(message), "{err}");
        }
    });
}

/// Runs an order on the service under the given name.
async fn run_order(service: &PlainService, name: &str) {
    use cassiareel::backend::{Call, HttpService, Service};
    let call = Call {
        method: http_types::Method::Post,
        path: "/orders".to_owned(),
        id: name.to_owned(),
        media_type: None,
        body: b"{}".to_vec().into(),
    };
    let client = HttpService::new(service.addr(), std::time::Duration::from_secs(5));
    client
        .call(&call)
        .await
        .expect("the service runs the order");
}
