//! Differences over several reads lead to the newest list.

use std::sync::Arc;

use super::{change::Change, change_chain::ChangeChain, list_digest::list_digest};
use crate::{
    model::{Entry, Phase, StoreRevision},
    source::Listing,
};

/// The list at a revision: entries come, change, go and come back as revisions rise.
fn listing(revision: u64) -> Listing {
    let entry = |id: u64| Entry {
        id: Arc::from(format!("i-{id}")),
        start_time: None,
        service: Arc::from("work"),
        address: ([10, 0, 0, id as u8], 80).into(),
        data_centre: Arc::from("a"),
        version: Arc::from("v1"),
        slots: (revision / 3) as u32,
        phase: Phase::Ready,
    };
    Listing {
        entries: (0..20)
            .filter(|id| (id + revision) % 4 != 0)
            .map(entry)
            .collect(),
        unreadable: Vec::new(),
        revision: StoreRevision::new(0, revision),
        latest: StoreRevision::new(0, revision + 1),
    }
}

fn push(chain: &mut ChangeChain, from: u64, to: u64) {
    let (old, new) = (listing(from), listing(to));
    let change = Arc::new(Change::between(&old, &new));
    chain.push(change, list_digest(&old.entries));
}

/// A change that is composed wrongly would leave a server in use that has left.
#[test]
fn changes_over_several_reads_lead_to_the_newest_list() {
    let mut chain = ChangeChain::default();
    for to in 1..=12 {
        push(&mut chain, to - 1, to);
        for from in 0..to {
            let ends = [from, to].map(|revision| StoreRevision::new(0, revision));
            let digest = list_digest(&listing(from).entries);
            let by_digest = chain.change(StoreRevision::new(9, 9), Some(digest), ends[1]);
            assert!(by_digest.is_some());
            let change = chain.change(ends[0], None, ends[1]).expect("a known list");
            let packed = change.pack(ends[0], list_digest(&listing(to).entries));
            let (made, _) = packed.apply(&listing(from)).expect("the sender's list");
            assert_eq!(made.newest(), listing(to).newest());
        }
    }
}

#[test]
fn a_change_of_an_unknown_list_is_not_made() {
    let revision = |revision| StoreRevision::new(0, revision);
    let mut chain = ChangeChain::default();
    assert!(chain.change(revision(0), None, revision(1)).is_none());
    push(&mut chain, 1, 2);
    assert!(chain.change(revision(0), None, revision(2)).is_none());
    assert!(chain.change(revision(1), None, revision(3)).is_none());
    // A list from another reader between two changes breaks the chain.
    push(&mut chain, 3, 4);
    assert!(chain.change(revision(1), None, revision(4)).is_none());
    assert!(chain.change(revision(3), None, revision(4)).is_some());
}

/// The base of another reader has the same revision, but was read a moment later.
#[test]
fn a_change_of_a_list_with_other_contents_is_refused() {
    let (old, new) = (listing(5), listing(6));
    let packed = Change::between(&old, &new).pack(old.revision, list_digest(&new.entries));
    let mut other = old.clone();
    other.entries[0].phase = Phase::Draining;
    other.entries.push(Entry {
        id: Arc::from("i-99"),
        ..other.entries[0].clone()
    });
    assert!(packed.apply(&other).is_err());
    assert!(packed.apply(&old).is_ok());
}
