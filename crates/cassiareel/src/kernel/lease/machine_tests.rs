//! Tests of a single candidate.

use std::time::Duration;

use super::{Action, Event, Lease, Record, Timing};
use crate::store::StoreVersion;

const fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

const fn at(revision: u64) -> StoreVersion {
    StoreVersion::new(0, revision)
}

fn record(holder: &str, fence: u64, renewal: u64) -> Record {
    Record {
        holder: Some(holder.into()),
        incarnation: 1,
        fence,
        renewal,
    }
}

/// Returns a candidate that has read the record of another holder at second 0.
fn candidate() -> Lease {
    let mut lease = Lease::new("b".into(), 1, Timing::default());
    lease.step(secs(0), Event::Tick);
    lease.step(
        secs(0),
        Event::Read {
            found: Some((at(7), record("a", 3, 0))),
        },
    );
    lease
}

#[test]
fn candidate_waits_for_the_duration_and_the_margin() {
    let mut lease = candidate();
    assert_eq!(lease.step(secs(10), Event::Tick), Some(Action::Read));
    let found = Some((at(7), record("a", 3, 0)));
    lease.step(secs(11), Event::Read { found });
    let write = lease.step(secs(11), Event::Tick);
    let record = Record {
        holder: Some("b".into()),
        incarnation: 1,
        fence: 4,
        renewal: 0,
    };
    assert_eq!(
        write,
        Some(Action::Write {
            version: at(7),
            record
        })
    );
    lease.step(secs(12), Event::Written { version: at(8) });
    let grant = lease.grant(secs(12)).expect("the write took effect");
    assert_eq!(
        (grant.fence, grant.valid_until, grant.commands_from),
        (4, secs(20), secs(16))
    );
}

#[test]
fn renewal_of_the_holder_restarts_the_wait() {
    let mut lease = candidate();
    lease.step(secs(9), Event::Tick);
    let found = Some((at(8), record("a", 3, 1)));
    lease.step(
        secs(9),
        Event::Read {
            found: found.clone(),
        },
    );
    lease.step(secs(12), Event::Tick);
    lease.step(secs(12), Event::Read { found });
    assert_eq!(lease.step(secs(12), Event::Tick), Some(Action::Read));
}

#[test]
fn lost_answer_grants_nothing_until_read_back() {
    let mut lease = candidate();
    lease.step(secs(11), Event::Tick);
    let found = Some((at(7), record("a", 3, 0)));
    lease.step(secs(11), Event::Read { found });
    lease.step(secs(11), Event::Tick);
    lease.step(secs(12), Event::Ambiguous);
    assert_eq!(lease.grant(secs(12)), None);
    assert_eq!(lease.step(secs(12), Event::Tick), Some(Action::Read));
    let found = Some((at(8), record("b", 4, 0)));
    lease.step(secs(13), Event::Read { found });
    let grant = lease.grant(secs(13)).expect("the write had taken effect");
    assert_eq!(
        grant.valid_until,
        secs(20),
        "the duration counts from the write"
    );
}

#[test]
fn lease_of_a_paused_holder_expires() {
    let mut lease = Lease::new("a".into(), 1, Timing::default());
    lease.step(secs(0), Event::Tick);
    lease.step(secs(0), Event::Read { found: None });
    lease.step(secs(0), Event::Tick);
    lease.step(secs(0), Event::Written { version: at(1) });
    assert!(lease.grant(secs(8)).is_some());
    assert_eq!(lease.grant(secs(60)), None);
    assert_eq!(lease.step(secs(60), Event::Tick), Some(Action::Read));
}

#[test]
fn restarted_node_does_not_inherit_the_lease() {
    let mut lease = Lease::new("a".into(), 2, Timing::default());
    lease.step(secs(0), Event::Tick);
    let found = Some((at(4), record("a", 2, 5)));
    lease.step(secs(0), Event::Read { found });
    assert_eq!(lease.grant(secs(0)), None);
    assert_eq!(lease.step(secs(1), Event::Tick), Some(Action::Read));
}

#[test]
fn read_from_an_old_replica_is_ignored() {
    let mut lease = candidate();
    lease.step(secs(1), Event::Tick);
    let found = Some((at(6), Record::default()));
    lease.step(secs(1), Event::Read { found });
    assert_eq!(lease.record(), Some(&record("a", 3, 0)));
    assert_eq!(lease.step(secs(2), Event::Tick), Some(Action::Read));
}

#[test]
fn released_lease_is_free_at_once() {
    let mut lease = Lease::new("a".into(), 1, Timing::default());
    lease.step(secs(0), Event::Tick);
    lease.step(secs(0), Event::Read { found: None });
    lease.step(secs(0), Event::Tick);
    lease.step(secs(0), Event::Written { version: at(1) });
    let Some(Action::Write { version, record }) = lease.step(secs(1), Event::Release) else {
        panic!("a stopping holder writes the release");
    };
    assert_eq!(
        (version, record.holder.clone(), record.fence),
        (at(1), None, 1)
    );
    let mut other = Lease::new("b".into(), 1, Timing::default());
    other.step(secs(2), Event::Tick);
    other.step(
        secs(2),
        Event::Read {
            found: Some((at(2), record)),
        },
    );
    assert!(matches!(
        other.step(secs(2), Event::Tick),
        Some(Action::Write { .. })
    ));
    other.step(secs(2), Event::Written { version: at(3) });
    let grant = other.grant(secs(2)).expect("the lease was free");
    assert_eq!(
        (grant.fence, grant.commands_from),
        (2, secs(2)),
        "commands need not wait after a release"
    );
}

#[test]
fn number_of_a_lost_holder_is_not_given_again() {
    let mut lease = Lease::new("b".into(), 1, Timing::default());
    let free = |fence| Record {
        holder: None,
        ..record("a", fence, 0)
    };
    lease.step(secs(0), Event::Tick);
    let found = Some((at(9), free(3)));
    lease.step(secs(0), Event::Read { found });
    let restored = Some((StoreVersion::new(1, 4), free(1)));
    let written = Event::Written {
        version: StoreVersion::new(1, 5),
    };
    let fence = (1..60).find_map(|second| {
        if second > 1 {
            lease.step(secs(second), Event::EraSeen { era: 1 });
        }
        match lease.step(secs(second), Event::Tick) {
            Some(Action::Read) => {
                let found = restored.clone();
                lease.step(secs(second), Event::Read { found });
            }
            // The first write was sent before the restore.
            Some(Action::Write { version, .. }) if version.era() == 0 => {
                lease.step(secs(second), Event::Conflict);
            }
            Some(Action::Write { .. }) => {
                lease.step(secs(second), written.clone());
            }
            None => {}
        }
        lease.grant(secs(second)).map(|grant| grant.fence)
    });
    assert!(fence.expect("the lease is acquired in time") > 3);
}

/// The answer to a renewal that was in flight must not give a refused number back.
#[test]
fn renewal_in_flight_does_not_revive_a_refused_number() {
    let mut lease = Lease::new("a".into(), 1, Timing::default());
    lease.step(secs(0), Event::Tick);
    lease.step(secs(0), Event::Read { found: None });
    lease.step(secs(0), Event::Tick);
    lease.step(secs(0), Event::Written { version: at(1) });
    let renewal = lease.step(secs(4), Event::Tick);
    assert!(matches!(renewal, Some(Action::Write { .. })));
    lease.step(secs(4), Event::Fenced { fence: 1, next: 2 });
    lease.step(secs(4), Event::Written { version: at(2) });
    assert_eq!(lease.grant(secs(4)), None);
    lease.step(secs(5), Event::Tick);
    let found = Some((at(2), record("a", 1, 1)));
    lease.step(secs(5), Event::Read { found });
    lease.step(secs(5), Event::Tick);
    lease.step(secs(5), Event::Written { version: at(3) });
    assert_eq!(lease.grant(secs(5)).map(|grant| grant.fence), Some(2));
}
