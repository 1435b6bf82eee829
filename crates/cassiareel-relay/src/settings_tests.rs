//! Checks limits that follow from the bounds of a deployment.

use std::time::Duration;

use crate::{
    kernel::ReadSchedule,
    settings::{Bounds, Settings},
};

fn bounds(config: u64, drain: u64, revoke: u64) -> Bounds {
    Bounds {
        grace: Duration::from_secs(8),
        config_apply: Duration::from_millis(config),
        drain: Duration::from_millis(drain),
        revoke: Duration::from_millis(revoke),
        retry_ratio: 0.8,
        retry_slack: 150.0,
        retry_window: Duration::from_secs(10),
        exposure_share: 0.1,
        exposure_slack: 50.0,
    }
}

/// No node uses a value that is too old for any of its bounds, whichever bound is the shortest.
#[test]
fn values_are_read_in_time_for_each_bound() {
    struct Case {
        bounds: Bounds,
        shortest: u64,
    }
    let cases = [
        Case {
            bounds: bounds(2000, 2000, 5000),
            shortest: 2000,
        },
        Case {
            bounds: bounds(5000, 3000, 5000),
            shortest: 3000,
        },
        Case {
            bounds: bounds(5000, 4000, 2000),
            shortest: 2000,
        },
    ];
    for case in cases {
        let shortest = case.bounds.min_apply_time();
        assert_eq!(shortest, Duration::from_millis(case.shortest));
        assert!(ReadSchedule::new(shortest).read_age(1000) < case.bounds.revoke.mul_f64(0.75));
    }
}

/// A node waits for the first updates from its peers only where its deployment is new: the template
/// omits the line otherwise.
#[test]
fn a_deployment_is_new_only_where_the_settings_say_so() {
    let text = |line: &str| {
        format!(
            "[node]\nname = \"n\"\ndata_centre = \"a\"\n{line}\n[listen]\nfront = \"10.0.0.1:80\"\n\
             ready = \"10.0.0.1:81\"\nmetrics = \"10.0.0.1:82\"\npeers = \"10.0.0.1:83\"\n[limits]\n\
             memory_mb = 110\nmax_fds = 1024\n[store]\naddress = \"10.0.0.9:80\"\n[bounds]\ngrace_s = 8\n\
             config_apply_ms = 2000\ndrain_ms = 2000\nrevoke_ms = 5000\nretry_ratio = 0.8\n\
             retry_window_s = 10\nretry_slack = 150\n"
        )
    };
    for (line, expected) in [("", false), ("bootstrap = true", true)] {
        let settings = Settings::parse(&text(line)).expect("the settings are right");
        assert_eq!(settings.node.bootstrap, expected);
    }
    assert!(Settings::parse(&text("bootstrap = 1")).is_err());
}
