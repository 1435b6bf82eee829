//! Lists of backend servers are sent as differences.

use std::{collections::BTreeMap, sync::Arc};

use super::change::Change;
use crate::{
    model::{Entry, Phase, Revision, StoreRevision},
    source::Listing,
};

fn entry(id: u32, phase: Phase) -> Entry {
    Entry {
        id: Arc::from(format!("i-{id}")),
        start_time: None,
        service: Arc::from("work"),
        address: ([10, 0, 0, id as u8], 80).into(),
        data_centre: Arc::from("a"),
        version: Arc::from("v1"),
        slots: 1,
        phase,
    }
}

fn listing(entries: &[(u32, Phase)], revision: Revision) -> Listing {
    Listing {
        entries: entries
            .iter()
            .map(|(id, phase)| entry(*id, *phase))
            .collect(),
        unreadable: vec![format!("bad-{revision}")],
        revision: StoreRevision::new(0, revision),
        latest: StoreRevision::new(0, revision + 1),
    }
}

fn sorted(listing: &Listing) -> BTreeMap<String, Entry> {
    let entries = listing.entries.iter();
    entries.map(|e| (e.id.to_string(), e.clone())).collect()
}

#[test]
fn a_change_makes_the_new_list_of_the_old_one() {
    use Phase::{Draining, Ready};
    struct Case {
        name: &'static str,
        old: &'static [(u32, Phase)],
        new: &'static [(u32, Phase)],
    }
    let cases = [
        Case {
            name: "no change",
            old: &[(1, Ready)],
            new: &[(1, Ready)],
        },
        Case {
            name: "one added, one removed, one draining",
            old: &[(1, Ready), (2, Ready), (3, Ready)],
            new: &[(2, Draining), (3, Ready), (4, Ready)],
        },
        Case {
            name: "all removed",
            old: &[(1, Ready), (2, Ready)],
            new: &[],
        },
        Case {
            name: "from an empty list",
            old: &[],
            new: &[(1, Ready), (2, Draining)],
        },
    ];
    for case in cases {
        let (old, new) = (listing(case.old, 5), listing(case.new, 9));
        let made = Change::between(&old, &new).apply(&old);
        let made = made.expect("the change applies to its list");
        assert_eq!(sorted(&made), sorted(&new), "{}", case.name);
        assert_eq!(
            (made.revision, made.unreadable),
            (StoreRevision::new(0, 9), new.unreadable)
        );
    }
}

#[test]
fn a_change_applies_to_its_own_list_only() {
    let (old, new) = (listing(&[], 5), listing(&[(1, Phase::Ready)], 9));
    let change = Change::between(&old, &new);
    assert!(change.apply(&listing(&[], 6)).is_none());
}
