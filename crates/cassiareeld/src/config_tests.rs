//! Tests of the daemon's own settings.

use std::time::Duration;

use test_case::test_case;

use crate::{args::Args, config::Config};

const FILE: &str = include_str!("../../../examples/node.toml");

/// Returns the paths of all errors in the settings.
fn paths(text: &str, args: &Args) -> Vec<String> {
    match Config::read(text, args) {
        Ok(_) => Vec::new(),
        Err(faults) => faults
            .faults
            .iter()
            .map(|fault| fault.path.to_string())
            .collect(),
    }
}

#[test]
fn example_file_is_valid() {
    let config = Config::read(FILE, &Args::default()).unwrap();
    assert_eq!(config.name, "zg-1-a");
    assert_eq!(config.grace, Duration::from_secs(5));
    assert_eq!(config.peers.len(), 2);
}

#[test]
fn flags_override_the_file() {
    let args = Args {
        name: Some("other".into()),
        listen: Some("10.0.0.9:1".into()),
        peer: vec!["10.0.0.8:2".into()],
        threads: Some("7".into()),
        grace: Some("250ms".into()),
        ..Args::default()
    };
    let config = Config::read(FILE, &args).unwrap();
    assert_eq!(config.name, "other");
    assert_eq!(config.listen, "10.0.0.9:1".parse().unwrap());
    assert_eq!(config.peers, ["10.0.0.8:2".parse().unwrap()]);
    assert_eq!(
        (config.threads, config.grace),
        (7, Duration::from_millis(250))
    );
}

#[test]
fn all_missing_values_are_reported_together() {
    let wanted = ["control", "data_centre", "listen", "name", "objects"];
    assert_eq!(paths("", &Args::default()), wanted);
}

#[test]
fn errors_in_the_file_and_in_flags_are_reported_together() {
    let text = "name = \"n\"\ndata_center = \"d\"\nlisten = \"10.0.0.1\"\nthreads = 0\n\
                control = \"10.0.0.1:9\"\npeers = [\"10.0.0.1:9\"]\ngrace = \"5\"";
    let args = Args {
        objects: Some("store:80".into()),
        ..Args::default()
    };
    let wanted = [
        "--objects",
        "data_center",
        "data_centre",
        "grace",
        "listen",
        "peers",
        "threads",
    ];
    assert_eq!(paths(text, &args), wanted);
}

#[test_case("control = \"10.11.0.1:8080\"", "control"; "control address equals listen address")]
#[test_case("objects = \"0.0.0.0:8280\"", "objects"; "unspecified IP address")]
#[test_case("control = \"10.11.0.1:0\"", "control"; "port 0")]
fn invalid_address_is_reported(line: &str, path: &str) {
    let name = line.split(' ').next().unwrap();
    let text: String = FILE
        .lines()
        .filter(|kept| !kept.starts_with(name))
        .chain([line])
        .map(|line| format!("{line}\n"))
        .collect();
    assert_eq!(paths(&text, &Args::default()), [path]);
}

#[test]
fn missing_file_is_reported() {
    let args = Args {
        settings: Some("/nonexistent/node.toml".into()),
        ..Args::default()
    };
    let err = Config::load(&args).unwrap_err();
    assert!(err.to_string().contains("can't be read"), "{err}");
}

/// Returns the example file with another line of keys.
fn with_keys(keys: &str) -> String {
    FILE.lines()
        .filter(|line| !line.starts_with("keys"))
        .chain([keys])
        .map(|line| format!("{line}\n"))
        .collect()
}

#[test]
fn invalid_keys_are_reported_without_their_secret() {
    let none = Args::default();
    let good = "11".repeat(32);
    let one = with_keys(&format!("keys = [\"{good}\"]"));
    assert_eq!(paths(&one, &none), Vec::<String>::new());
    let text = with_keys("keys = [\"c0ffee\"]");
    assert_eq!(paths(&text, &none), ["keys"]);
    let err = Config::read(&text, &none).unwrap_err();
    assert!(!err.to_string().contains("c0ffee"), "{err}");
    let config = Config::read(&one, &none).unwrap();
    assert!(!format!("{config:?}").contains(&good), "{config:?}");
}
