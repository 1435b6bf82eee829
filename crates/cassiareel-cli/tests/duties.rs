//! Tests of `duties`: holders, usage windows and orders are shown from the logs of several nodes.

use std::{fs, path::PathBuf};

use cassiareel_cli::{duties, Code, Error, Report};
use serde_json::Value;
use test_case::test_case;

/// Runs the command on two log files. Each line has its second, its node and its other fields.
fn run(name: &str, lines: &[(u32, &str, &str)]) -> Result<Report, Error> {
    let file = |node: &str| -> PathBuf {
        let name = format!("cassiareel-duties-{}-{name}-{node}", std::process::id());
        let of_node = lines.iter().filter(|line| line.1 == node);
        let text = of_node.map(|(second, node, fields)| {
            format!("{{\"ts\":\"2026-12-06T14:00:{second:02}Z\",\"node\":\"{node}\",{fields}}}\n")
        });
        let path = std::env::temp_dir().join(name);
        fs::write(&path, text.collect::<String>()).expect("the file can be written");
        path
    };
    let files = [file("b"), file("a")];
    let result = duties(&files);
    files.iter().for_each(|file| drop(fs::remove_file(file)));
    result
}

const BEGAN_5: &str = r#""msg":"duty term began","fence":5"#;
const BEGAN_6: &str = r#""msg":"duty term began","fence":6"#;
const ENDED_5: &str = r#""msg":"duty term ended","fence":5"#;
const ENDED_6: &str = r#""msg":"duty term ended","fence":6"#;
const CALL_5: &str = r#""msg":"duty call","fence":5,"outcome":"fenced""#;
const OTHER_LEASE: &str = r#""msg":"lease acquired","fence":9,"lease":"settings""#;

#[test_case("held", &[(1, "a", BEGAN_5), (3, "b", OTHER_LEASE)], "a with token 5, since 2026-12-06T14:00:01.000Z", 0; "a lease on something else")]
#[test_case("killed", &[(1, "a", BEGAN_5), (3, "b", BEGAN_6)], "b with token 6", 1; "no end of a killed holder")]
#[test_case("woken", &[(1, "a", BEGAN_5), (3, "b", BEGAN_6), (4, "a", CALL_5), (5, "a", ENDED_5)], "b with token 6", 1; "a holder that ends after its successor began")]
#[test_case("cut", &[(3, "b", BEGAN_6), (4, "a", CALL_5)], "b with token 6", 1; "a late line of a term without its beginning")]
#[test_case("nobody", &[(1, "a", BEGAN_5), (3, "b", BEGAN_6), (4, "b", ENDED_6)], "nobody", 2; "the newest term has ended")]
#[test_case("rotated", &[(4, "a", CALL_5)], "a with token 5, since before 2026-12-06T14:00:04.000Z", 0; "logs without the beginning")]
#[test_case("again", &[(1, "a", BEGAN_5), (2, "a", ENDED_5), (4, "a", BEGAN_5)], "a with token 5, since 2026-12-06T14:00:04.000Z", 1; "a term that began again")]
fn holder_is_the_newest_term(
    name: &str,
    lines: &[(u32, &str, &str)],
    holder: &str,
    earlier: usize,
) {
    let report = run(name, lines).expect("the files have lines of duties");
    assert!(
        report.text.starts_with(&format!("holder: {holder}")),
        "{}",
        report.text
    );
    let terms = report.json["earlier_terms"].as_array().map(Vec::len);
    assert_eq!(terms, Some(earlier));
}

const FIXED: &str =
    r#""msg":"usage window fixed","window":20,"requests":70,"accounts":3,"nodes":2,"age_ms":900"#;
const NEXT_FIXED: &str =
    r#""msg":"usage window fixed","window":22,"requests":1,"accounts":1,"nodes":1,"age_ms":900"#;
const ACCEPTED: &str = r#""msg":"usage window reported","window":20,"outcome":"accepted","requests":70,"age_ms":950,"late":false"#;
const REPEATED: &str = r#""msg":"usage window reported","window":20,"outcome":"accepted","requests":70,"age_ms":9000,"late":true"#;
const UNANSWERED: &str = r#""msg":"usage window reported","window":20,"outcome":"unanswered","requests":70,"age_ms":950,"late":false"#;
const GIVEN_UP: &str = r#""msg":"usage window given up","window":20,"refusals":5"#;
const SKIPPED: &str =
    r#""msg":"usage windows not reported","first":2,"last":20,"cause":"no holder for too long""#;
const TOO_LATE: &str = r#""msg":"usage counts too late","window":20,"peer":"c","requests":4"#;

#[test_case("fixed", &[(1, "a", FIXED)], 20, "fixed, not reported", 0; "fixed only")]
#[test_case("accepted", &[(1, "a", FIXED), (2, "a", ACCEPTED), (9, "b", REPEATED)], 20, "accepted", 0; "a repeat by the next holder is not late")]
#[test_case("late", &[(1, "a", FIXED), (2, "a", UNANSWERED), (9, "b", REPEATED)], 20, "accepted late", 0; "accepted late from the next holder")]
#[test_case("silent", &[(1, "a", FIXED), (2, "a", UNANSWERED)], 20, "not accepted: unanswered, reports sent: 1", 0; "not accepted yet")]
#[test_case("given-up", &[(1, "a", FIXED), (2, "a", UNANSWERED), (3, "a", GIVEN_UP)], 20, "given up", 0; "given up after refusals")]
#[test_case("skipped", &[(1, "a", SKIPPED)], 20, "not reported: no holder for too long", 0; "left out for good")]
#[test_case("missing", &[(1, "a", FIXED), (3, "a", NEXT_FIXED)], 21, "missing: not fixed in these logs", 0; "without a line")]
#[test_case("counts", &[(1, "a", FIXED), (2, "a", TOO_LATE), (2, "b", TOO_LATE), (3, "a", TOO_LATE)], 20, "fixed, not reported", 8; "too late at two candidates counts once")]
fn window_has_its_state(
    name: &str,
    lines: &[(u32, &str, &str)],
    number: u64,
    state: &str,
    late: u64,
) {
    let report = run(name, lines).expect("the files have lines of duties");
    let windows = report.json["windows"].as_array().expect("a list");
    assert!(windows.len() <= 12, "{windows:?}");
    let is_wanted = |window: &&Value| window["window"] == number;
    let window = windows.iter().find(is_wanted).expect("the window is shown");
    assert_eq!(window["state"], state);
    assert_eq!(window["too_late_requests"], late);
}

#[test]
fn last_orders_are_shown_with_reason_and_outcome() {
    let fields: Vec<String> = (0..14)
        .map(|count| format!(r#""msg":"servers ordered","service":"s","data_centre":"z","count":{count},"listed":2,"reason":"low demand","outcome":"answered","fence":0"#))
        .collect();
    let lines: Vec<(u32, &str, &str)> = (0..)
        .zip(&fields)
        .map(|(n, text)| (n, "a", &**text))
        .collect();
    let report = run("orders", &lines).expect("the file has orders");
    let orders = report.json["orders"].as_array().expect("a list");
    assert_eq!((orders.len(), &orders[0]["count"]), (12, &Value::from(2)));
    assert!(report.text.contains("low demand"), "{}", report.text);
    assert_eq!(report.json["holder"], Value::Null);
}

#[test_case(&[], Code::Usage, "no log file"; "no file")]
#[test_case(&["/nonexistent"], Code::Refused, "/nonexistent can't be read"; "a missing file")]
#[test_case(&["/dev/null"], Code::Refused, "no log line of a duty"; "no duty lines")]
fn errors_are_clear(files: &[&str], code: Code, message: &str) {
    let files: Vec<PathBuf> = files.iter().map(PathBuf::from).collect();
    let err = duties(&files).expect_err("nothing can be shown");
    assert_eq!(err.code, code);
    assert!(err.message.contains(message), "{err}");
}
