//! Checks limits that follow from the bounds of a deployment.

use std::time::Duration;

use test_case::test_case;

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
        checks_fencing: false,
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

/// Returns settings with a line in the section of the node, and a section at the end.
fn text(line: &str, section: &str) -> String {
    format!(
        "[node]\nname = \"n\"\ndata_centre = \"a\"\n{line}\n[listen]\nfront = \"10.0.0.1:80\"\n\
         ready = \"10.0.0.1:81\"\nmetrics = \"10.0.0.1:82\"\npeers = \"10.0.0.1:83\"\n[limits]\n\
         memory_mb = 110\nmax_fds = 1024\n[store]\naddress = \"10.0.0.9:80\"\n[bounds]\ngrace_s = 8\n\
         config_apply_ms = 2000\ndrain_ms = 2000\nrevoke_ms = 5000\nretry_ratio = 0.8\n\
         retry_window_s = 10\nretry_slack = 150\n{section}"
    )
}

/// A node waits for the first updates from its peers only where its deployment is new: the template
/// omits the line otherwise.
#[test]
fn a_deployment_is_new_only_where_the_settings_say_so() {
    for (line, expected) in [("", false), ("bootstrap = true", true)] {
        let settings = Settings::parse(&text(line, "")).expect("the settings are right");
        assert_eq!(settings.node.bootstrap, expected);
    }
    assert!(Settings::parse(&text("bootstrap = 1", "")).is_err());
}

/// A deployment without duties has none, and the template's forms of the list are read.
#[test_case("", None; "no section")]
#[test_case("kinds = [\"usage\"]", Some(1); "a list")]
#[test_case("kinds = '''[\"usage\",\"autoscale\"]'''", Some(2); "a list as a text")]
#[test_case("kinds = '''[]'''", Some(0); "an empty list")]
#[test_case("kinds = ''''''", Some(0); "an empty text")]
#[test_case("kinds = '''null'''", Some(0); "no value")]
fn duties_are_read(line: &str, count: Option<usize>) {
    let section = match line {
        "" => String::new(),
        line => format!("[duties]\naddress = \"10.0.0.9:90\"\n{line}\n"),
    };
    let settings = Settings::parse(&text("", &section)).expect("the settings are right");
    let duties = settings.duties.as_ref();
    assert_eq!(duties.map(|duties| duties.kinds.len()), count);
    assert_eq!(settings.duty_rules().is_some(), count.is_some());
}

/// A wrong value of the duties names its field.
#[test_case("address = \"cloud\"", "address"; "an address that can't be parsed")]
#[test_case("window_s = 0", "duties.window_s"; "a window of no length")]
#[test_case("late_s = 0", "duties.late_s"; "no time to report")]
#[test_case("lease_ms = 0", "duties.lease_ms"; "a lease of no length")]
#[test_case("calls_per_s = 0", "duties.calls_per_s"; "no calls")]
#[test_case("tolerance = 2", "duties.tolerance"; "a tolerance of more than all")]
#[test_case("kinds = 3", "kinds"; "no list")]
fn a_wrong_value_of_the_duties_is_named(line: &str, field: &str) {
    let address = match line.starts_with("address") {
        true => "",
        false => "address = \"10.0.0.9:90\"\n",
    };
    let section = format!("[duties]\n{address}{line}\n");
    let err = Settings::parse(&text("", &section)).expect_err("the value is wrong");
    assert!(err.to_string().contains(field), "{err}");
}

/// The platform may state in either section that it checks fencing tokens.
#[test_case("", "", false; "in none")]
#[test_case("checks_fencing = true\n", "", true; "with the bounds")]
#[test_case("", "checks_fencing = true\n", true; "with the duties")]
fn either_section_states_that_tokens_are_checked(bounds: &str, duties: &str, expected: bool) {
    let section = format!("{bounds}[duties]\naddress = \"10.0.0.9:90\"\n{duties}");
    let settings = Settings::parse(&text("", &section)).expect("the settings are right");
    let rules = settings.duty_rules().expect("there are duties");
    assert_eq!(rules.checks_fencing, expected);
}
