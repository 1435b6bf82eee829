//! When a node may send to a process that has a limit.

use std::time::Duration;

use super::{LimitReading, PermitGrant, PermitPool, Purpose, PERMIT_LIFETIME, REQUEST_INTERVAL};

const NOW: Duration = Duration::from_secs(100);

/// The only owner.
const OWNER: u64 = 1;

fn reading(limit: Option<f64>, at: Duration) -> LimitReading {
    LimitReading {
        limit,
        sent: at,
        received: at,
    }
}

/// Returns a pool of a process with a limit, with permits that were asked for at [`NOW`].
fn pool(permits: u32) -> PermitPool {
    let mut pool = PermitPool::default();
    pool.record(reading(Some(10.0), NOW), NOW);
    receive(&mut pool, permits, NOW);
    pool
}

fn receive(pool: &mut PermitPool, permits: u32, asked_at: Duration) {
    let grant = PermitGrant {
        permits,
        next: REQUEST_INTERVAL,
    };
    pool.receive(OWNER, grant, asked_at);
}

#[test]
fn nothing_is_sent_without_a_permit() {
    let mut pool = pool(1);
    assert!(pool.take(Purpose::New, NOW));
    assert!(!pool.take(Purpose::New, NOW));
    assert!(!pool.take(Purpose::Ongoing, NOW));
}

#[test]
fn no_permit_is_required_without_a_limit() {
    let mut pool = PermitPool::default();
    assert!(pool.take(Purpose::New, NOW));
    pool.record(reading(None, NOW), NOW);
    assert!(pool.take(Purpose::New, NOW));
}

#[test]
fn a_repeat_leaves_the_last_permit_to_work_that_begins() {
    let mut pool = pool(1);
    assert!(!pool.take(Purpose::Repeat, NOW));
    assert!(pool.take(Purpose::New, NOW));
}

/// A node that was frozen or cut off finds its permits expired.
#[test]
fn a_permit_expires() {
    let mut pool = pool(2);
    assert!(!pool.take(Purpose::New, NOW + PERMIT_LIFETIME));
}

#[test]
fn unused_permits_are_returned_once() {
    let mut pool = pool(2);
    let later = NOW + PERMIT_LIFETIME;
    pool.note_want(Purpose::New, later);
    let requests = pool.requests(&[OWNER], later);
    assert_eq!(requests[0].1.returned, 2);
    receive(&mut pool, 0, later);
    let later = later + REQUEST_INTERVAL;
    pool.note_want(Purpose::New, later);
    assert_eq!(pool.requests(&[OWNER], later)[0].1.returned, 0);
}

#[test]
fn a_lower_limit_takes_permits_away() {
    let mut pool = pool(10);
    let later = NOW + Duration::from_millis(10);
    pool.record(reading(Some(2.0), later), later);
    assert_eq!(pool.available(later), 2);
}

#[test]
fn the_end_of_a_limit_ends_the_requests_for_permits() {
    let mut pool = pool(0);
    pool.note_want(Purpose::New, NOW);
    let later = NOW + REQUEST_INTERVAL;
    assert!(pool.record(reading(None, later), later).is_some());
    assert!(pool.take(Purpose::New, later));
    assert!(pool.requests(&[OWNER], later).is_empty());
}

/// A process that names a limit and then sends no answer gets a request in the end.
#[test]
fn a_limit_that_no_answer_confirms_ends() {
    let mut pool = pool(0);
    assert!(!pool.take(Purpose::New, NOW + Duration::from_secs(59)));
    assert!(pool.take(Purpose::New, NOW + Duration::from_secs(61)));
}

#[test]
fn an_owner_is_asked_once_an_interval() {
    let mut pool = pool(0);
    let mut asked = 0;
    for ms in 0..2000 {
        let now = NOW + Duration::from_millis(ms);
        pool.note_want(Purpose::New, now);
        if !pool.requests(&[OWNER], now).is_empty() {
            asked += 1;
            receive(&mut pool, 0, now);
        }
    }
    assert!((3..=4).contains(&asked), "{asked}");
}

#[test]
fn a_resumed_stream_does_not_wait_for_the_interval() {
    let mut pool = pool(0);
    let now = NOW + REQUEST_INTERVAL;
    pool.note_want(Purpose::New, now);
    assert_eq!(pool.requests(&[OWNER], now).len(), 1);
    receive(&mut pool, 0, now);
    let now = now + Duration::from_millis(150);
    assert!(!pool.take(Purpose::Ongoing, now));
    let requests = pool.requests(&[OWNER], now);
    assert_eq!(requests.first().map(|(_, request)| request.urgent), Some(1));
}

#[test]
fn an_owner_that_does_not_answer_is_asked_less_often() {
    let mut pool = pool(0);
    let now = NOW + REQUEST_INTERVAL;
    pool.note_want(Purpose::New, now);
    assert_eq!(pool.requests(&[OWNER], now).len(), 1);
    pool.record_silence(OWNER, now);
    let soon = now + REQUEST_INTERVAL;
    pool.note_want(Purpose::Ongoing, soon);
    assert!(pool.requests(&[OWNER], soon).is_empty());
    let later = now + Duration::from_secs(1);
    pool.note_want(Purpose::New, later);
    assert_eq!(pool.requests(&[OWNER], later).len(), 1);
}
