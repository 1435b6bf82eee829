//! Tests of the `cassiareel` binary: help, JSON output and exit codes.

use std::process::{Command, Output};

use test_case::test_case;

const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/bangkok.toml");

fn command(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cassiareel"))
        .args(args)
        .env_remove("CASSIAREEL_OBJECT_API")
        .env_remove("CASSIAREEL_NODES")
        .env_remove("CASSIAREEL_KEY")
        .output()
        .expect("the command can be started")
}

#[test_case(&["--help"], "Exit codes"; "of the command")]
#[test_case(&[], "Exit codes"; "without arguments")]
#[test_case(&["settings"], "validate"; "of a group without a command")]
#[test_case(&["settings", "apply", "--help"], "--rebase"; "of a command")]
#[test_case(&["keys", "add", "--help"], "--operator"; "of another command")]
fn help_is_printed(args: &[&str], part: &str) {
    let Output { status, stdout, .. } = command(args);
    let text = String::from_utf8(stdout).expect("help is text");
    assert_eq!(status.code(), Some(0), "{text}");
    assert!(text.starts_with("Usage: cassiareel"), "{text}");
    assert!(text.contains(part), "{text}");
}

#[test_case(&["settings", "validate", EXAMPLE], 0; "a valid file")]
#[test_case(&["settings", "validate", "/nonexistent"], 1; "a missing file")]
#[test_case(&["settings", "validate"], 2; "no file")]
#[test_case(&["settngs"], 2; "no such command")]
#[test_case(&["settings", "get"], 2; "no object API")]
#[test_case(&["--object-api", "store", "settings", "get"], 2; "an address that is a host name")]
#[test_case(&["status", "--nodes", "127.0.0.1:9"], 2; "no key")]
#[test_case(&["settings", "get", "--object-api=127.0.0.1:9"], 4; "an unreachable object API")]
#[test_case(&["status", "--nodes=127.0.0.1:9", "--key=k"], 4; "an unreachable node")]
#[test_case(&["explain", "r1", "--nodes=127.0.0.1:9", "--key=k"], 4; "explain with an unreachable node")]
#[test_case(&["keys", "add", "--object-api=127.0.0.1:9"], 2; "a key without an owner")]
fn exit_code_reports_the_kind_of_error(args: &[&str], code: i32) {
    let Output { status, stderr, .. } = command(args);
    assert_eq!(status.code(), Some(code));
    let stderr = String::from_utf8(stderr).expect("errors are text");
    // An error is printed with a next step. A report is not, even if its exit code is not 0.
    assert_eq!(
        stderr.contains("next: "),
        code != 0 && args[0] != "status" || code == 2
    );
}

#[test]
fn errors_are_printed_as_json_with_the_json_flag() {
    let Output { stdout, .. } = command(&["settings", "validate", "/nonexistent", "--json"]);
    let error: serde_json::Value = serde_json::from_slice(&stdout).expect("the output is JSON");
    assert_eq!(error["code"], 1);
    assert!(error["next"].as_str().is_some_and(|next| !next.is_empty()));
}
