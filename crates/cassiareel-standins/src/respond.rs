//! Responses that the stand-ins share.

use http_types::{mime, Request, Response, StatusCode};
use percent_encoding::percent_decode_str;
use serde::Serialize;

/// A JSON response.
pub(crate) fn json<T>(status: StatusCode, value: &T) -> Response
where
    T: Serialize,
{
    let mut res = Response::new(status);
    res.set_body(serde_json::to_string(value).expect("a stand-in's answer is valid JSON"));
    res.set_content_type(mime::JSON);
    res
}

/// The decoded segments of a request's path.
pub(crate) fn segments(req: &Request) -> Vec<String> {
    req.url()
        .path()
        .split('/')
        .skip(1)
        .map(|part| percent_decode_str(part).decode_utf8_lossy().into_owned())
        .collect()
}

/// A parameter of a request's query.
pub(crate) fn param(req: &Request, name: &str) -> Option<String> {
    req.url()
        .query_pairs()
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.into_owned())
}
