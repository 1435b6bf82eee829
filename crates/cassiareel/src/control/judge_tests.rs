//! Tests that counts lead to a recorded verdict.

use std::sync::Arc;

use slog::{o, Discard, Logger};

use super::{
    judge::{record_outcomes_once, Judges},
    lease::{Candidate, LeaseOptions},
    moves,
};
use crate::{
    kernel::{
        moves::{Cell, Key, Outcome, Plan, Resources, Scope, State},
        Time,
    },
    peer::SharedState,
    store::{MemoryObjects, Objects},
};

fn key(version: &str, server: u16) -> Key {
    Key {
        version: version.into(),
        cell: Cell {
            account: "zrinski".into(),
            route: "/v1/completions".into(),
        },
        server,
    }
}

#[test]
fn lease_holder_reverses_a_bad_version_after_a_store_outage() {
    let objects = Arc::new(MemoryObjects::new(1));
    let shared = SharedState::new();
    let log = Logger::root(Discard, o!());
    let store: Arc<dyn Objects> = objects.clone();
    let options = LeaseOptions::default();
    let holder = Candidate::new("n1".into(), 1, options, Arc::new(store), log);
    smol::block_on(async {
        holder.poll().await;
        holder.poll().await;
        let plan = Plan {
            service: "drafts".into(),
            from: "v1".into(),
            to: "v2".into(),
            scope: Scope::default(),
            within_secs: 600,
        };
        let resources = Resources {
            servers: 1,
            loaded: 1,
            ..Resources::default()
        };
        moves::start(&*objects, plan, resources, "ana")
            .await
            .unwrap();
        let record = moves::status(&*objects, "drafts").await.unwrap();
        shared.update_view(|view| {
            view.merge_record(Time::ZERO, &"drafts".into(), record.clone(), Time::ZERO)
        });
        objects.set_outage(true);
        let mut judges = Judges::default();
        let mut verdicts = Vec::new();
        for second in 0..20 {
            for _ in 0..40 {
                shared.record_start(key("v1", 0));
            }
            shared.record_start(key("v2", 0));
            shared.record_start(key("v2", 0));
            shared.record_end(key("v2", 1 + second % 8), Outcome::Early);
            shared.publish_counts(&"n1".into(), 1);
            verdicts.extend(judges.check(&shared));
        }
        assert_eq!(verdicts.len(), 1, "exactly one verdict is returned");
        assert!(shared.view.load().verdicts.is_bad("drafts", "v2", 1));
        assert!(
            record_outcomes_once(&*objects, &shared, &holder)
                .await
                .is_err(),
            "the store is unavailable"
        );
        objects.set_outage(false);
        record_outcomes_once(&*objects, &shared, &holder)
            .await
            .unwrap();
        let record = moves::status(&*objects, "drafts").await.unwrap();
        assert_eq!(record.latest.unwrap().state, State::Reversed);
        assert_eq!(record.verdicts, verdicts);
    });
}
