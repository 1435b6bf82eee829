//! Helpers of the stand-ins for requests and responses.

use std::time::Duration;

use cassiareel::wire::read_body;
use http_types::{mime, Body, Request, Response, StatusCode};
use percent_encoding::percent_decode_str;
use serde::{Deserialize, Serialize};

use crate::channel_body::{BodyPart, ChannelBody};

/// The maximum size of a control call's body.
const MAX_CONTROL_BODY_BYTES: usize = 1 << 20;

/// Returns a JSON response.
pub(crate) fn json_response<T>(status: StatusCode, value: &T) -> Response
where
    T: Serialize,
{
    let mut res = Response::new(status);
    res.set_body(serde_json::to_string(value).expect("the answer is serializable as JSON"));
    res.set_content_type(mime::JSON);
    res
}

/// Returns the decoded segments of a request's path.
pub(crate) fn path_segments(req: &Request) -> Vec<String> {
    req.url()
        .path()
        .split('/')
        .skip(1)
        .map(|part| percent_decode_str(part).decode_utf8_lossy().into_owned())
        .collect()
}

/// Returns the first query parameter with this name.
pub(crate) fn query_param(req: &Request, name: &str) -> Option<String> {
    req.url()
        .query_pairs()
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.into_owned())
}

/// Reads and parses a JSON body.
///
/// # Errors
///
/// Fails with a message for the client when the body cannot be read or parsed.
pub(crate) async fn read_json<T>(req: &mut Request) -> Result<T, String>
where
    T: for<'de> Deserialize<'de>,
{
    let body = read_body(req.take_body(), MAX_CONTROL_BODY_BYTES)
        .await
        .map_err(|err| err.to_string())?;
    serde_json::from_slice(&body).map_err(|err| err.to_string())
}

/// Changes a response so that its connection is reset after half of its body.
pub(crate) async fn reset_halfway(mut res: Response) -> Response {
    let whole = res.take_body().into_bytes().await.unwrap_or_default();
    let (sender, body) = ChannelBody::new(Duration::MAX);
    let half = whole[..whole.len() / 2].to_vec();
    let _ = sender.try_send(BodyPart::Bytes(half));
    let _ = sender.try_send(BodyPart::Reset);
    res.set_body(Body::from_reader(body, Some(whole.len().max(1))));
    res
}

/// Never returns, so that the call is not answered.
pub(crate) async fn never_respond() -> Response {
    std::future::pending().await
}
