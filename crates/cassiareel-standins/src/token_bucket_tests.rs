use std::time::Duration;

use crate::token_bucket::TokenBucket;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn a_bucket_permits_its_burst_and_then_its_rate() {
    let mut bucket = TokenBucket::new(10.0, 2.0);
    assert_eq!(bucket.take(SECOND), Ok(()));
    assert_eq!(bucket.take(SECOND), Ok(()));
    assert_eq!(bucket.take(SECOND), Err(Duration::from_millis(100)));
    assert_eq!(bucket.take(SECOND + Duration::from_millis(100)), Ok(()));
}

#[test]
fn reservations_are_refilled_in_the_order_in_which_they_were_made() {
    let mut bucket = TokenBucket::new(100.0, 0.0);
    let waits = [50.0, 50.0, 100.0].map(|amount| bucket.reserve(amount, SECOND));
    assert_eq!(waits, [SECOND / 2, SECOND, 2 * SECOND]);
}
