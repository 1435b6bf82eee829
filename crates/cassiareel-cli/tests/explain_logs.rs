//! Tests of `explain --logs`: a request is described from the log files of several nodes, by time.

use std::{fs, path::PathBuf};

use cassiareel_cli::{explain_logs, Code};

/// A temporary file of one test, removed when it is dropped.
struct TempFile(PathBuf);

impl TempFile {
    fn new(name: &str, text: &str) -> TempFile {
        let name = format!("cassiareel-explain-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::write(&path, text).expect("the file can be written");
        TempFile(path)
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

const FIRST: &str = r#"
   0.5 n-1 {"msg":"sent","ts":"2026-07-09T11:26:16.045510506Z","node":"n-1","took_ms":26,"after":null,"from_copy":false,"backup":"e-2","detail":"connection closed","outcome":"lost","data_centre":"z-a","backend":"e-1","request":"r-1"}
not a line of ours
{"msg":"run lost","ts":"2026-07-09T11:26:16.0459Z","node":"n-1","events":0,"cause":"connection lost","backend":"e-1","request":"r-1"}
{"msg":"request","ts":"2026-07-09T11:26:17.1Z","node":"n-1","outcome":"broken","age_ms":1100,"request":"r-1"}
{"msg":"request","ts":"2026-07-09T11:26:17.1Z","node":"n-1","outcome":"served","age_ms":3,"request":"r-2"}
"#;

const SECOND: &str = r#"{"msg":"prompt searched","ts":"2026-07-09T11:26:16.5Z","node":"n-2","asked":8,"told":8,"backend":"e-3","tokens":5000,"request":"r-1"}"#;

#[test]
fn lines_of_all_files_are_described_in_time_order() {
    let files = [
        TempFile::new("second", SECOND),
        TempFile::new("first", FIRST),
    ];
    let paths: Vec<PathBuf> = files.iter().map(|file| file.0.clone()).collect();
    let report = explain_logs(&paths, "r-1").expect("the files have lines of the request");
    let lines: Vec<&str> = report.text.lines().collect();
    assert_eq!(
        lines,
        [
            "request r-1",
            "      0 ms  n-1  sent to e-1 in z-a: no valid answer, the request may have run (26 ms, connection closed)",
            "      0 ms  n-1  the run on e-1 was abandoned after 0 events: connection lost",
            "    454 ms  n-2  e-3 holds 5000 tokens of the prompt",
            "   1054 ms  n-1  the stream was cut: it could not continue on another server, 1100 ms after the request arrived",
        ]
    );
}

#[test]
fn request_without_log_lines_is_an_error() {
    let file = TempFile::new("none", FIRST);
    let err = explain_logs(std::slice::from_ref(&file.0), "r-9")
        .expect_err("the file has no line of the request");
    assert_eq!(err.code, Code::Refused);
    assert!(err.to_string().contains("r-9"), "{err}");
}
