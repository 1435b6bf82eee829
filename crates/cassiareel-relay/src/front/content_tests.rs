//! Attempts at the same work share a digest; other work and other accounts have different digests.

use http::{Method, Uri};
use test_case::test_case;

use super::content::digest;
use crate::model::{Prompt, RequestHead};

struct Case {
    id: &'static str,
    host: &'static str,
    account: Option<&'static str>,
    method: Method,
    target: &'static str,
    body: &'static [u8],
}

const FIRST: Case = Case {
    id: "r-1",
    host: "h.example",
    account: Some("acme"),
    method: Method::POST,
    target: "/work/7?x=1",
    body: b"text",
};

fn digest_of(case: &Case) -> [u8; 16] {
    let ask = RequestHead {
        id: case.id.into(),
        host: case.host.to_owned(),
        path: "/work/7".to_owned(),
        key: None,
        deadline: None,
        last_event: None,
        prompt: Prompt::default(),
    };
    let target: Uri = case.target.parse().expect("a path");
    digest(&ask, case.account, &case.method, &target, case.body)
}

#[test_case(&Case { id: "r-2", ..FIRST }, true; "another attempt")]
#[test_case(&Case { host: "g.example", ..FIRST }, false; "another host")]
#[test_case(&Case { account: Some("other"), ..FIRST }, false; "another account")]
#[test_case(&Case { account: None, ..FIRST }, false; "no account")]
#[test_case(&Case { method: Method::PUT, ..FIRST }, false; "another method")]
#[test_case(&Case { target: "/work/7?x=2", ..FIRST }, false; "another query")]
#[test_case(&Case { body: b"texts", ..FIRST }, false; "another body")]
#[test_case(&Case { target: "/work/7?x=1t", body: b"ext", ..FIRST }, false; "bytes moved between parts")]
fn digest_identifies_work_but_not_attempts(case: &Case, same: bool) {
    assert_eq!(digest_of(case) == digest_of(&FIRST), same);
}
