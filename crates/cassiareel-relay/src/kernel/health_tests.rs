//! Failing backend servers are avoided for a while, and so are data centres where several fail.

use std::{sync::Arc, time::Duration};

use test_case::test_case;

use super::{DataCentreHealth, Health};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn pauses_grow_while_a_backend_server_keeps_failing() {
    let mut health = Health::default();
    let mut now = ms(0);
    let mut pauses = Vec::new();
    for _ in 0..6 {
        health.record_loss(now);
        let pause = (0..10_000)
            .step_by(100)
            .find(|p| !health.is_suspect(now + ms(*p)));
        pauses.push(pause.expect("the pause ends"));
        now += ms(10_000);
    }
    assert!(pauses.windows(2).all(|p| p[0] <= p[1]), "{pauses:?}");
    assert!(pauses[5] <= 5_000, "{pauses:?}");
    health.record_activity();
    assert!(!health.is_suspect(now));
}

struct Case {
    /// Losses: the number of the backend server and the time in milliseconds.
    losses: &'static [(u64, u64)],
    now: u64,
    suspect: bool,
}

#[test_case(&Case { losses: &[], now: 0, suspect: false }; "no loss")]
#[test_case(&Case { losses: &[(1, 0), (2, 10)], now: 20, suspect: false }; "two losses")]
#[test_case(&Case { losses: &[(1, 0), (2, 10), (3, 20)], now: 30, suspect: true }; "three together")]
#[test_case(&Case { losses: &[(1, 0), (1, 10), (1, 20)], now: 30, suspect: false }; "one, three times")]
#[test_case(&Case { losses: &[(1, 0), (2, 1_000), (3, 2_000)], now: 2_010, suspect: false }; "at different times")]
#[test_case(&Case { losses: &[(1, 0), (2, 10), (3, 20)], now: 2_000, suspect: false }; "long ago")]
fn common_failures_make_a_data_centre_suspect(case: &Case) {
    let (service, data_centre) = (Arc::from("s"), Arc::from("z"));
    let mut health = DataCentreHealth::default();
    for (member, at) in case.losses {
        health.record_loss(&service, &data_centre, *member, ms(*at));
    }
    assert_eq!(
        health.is_suspect(&service, &data_centre, ms(case.now)),
        case.suspect
    );
    assert!(!health.is_suspect(&service, &Arc::from("other"), ms(case.now)));
}
