//! Reading of a response's head, with a body for each way in which its end can be known.

use futures_lite::{
    io::{BufReader, Cursor},
    AsyncBufReadExt, AsyncRead, AsyncReadExt,
};
use http_types::{headers, Body, Method, Response, StatusCode};
use snafu::Snafu;

use super::MAX_HEAD_BYTES;

/// The transfer encoding of a body in chunks.
const CHUNKED: &str = "chunked";

/// The start of a head's line with a transfer encoding.
const TRANSFER_ENCODING_FIELD: &[u8] = b"transfer-encoding:";

/// The start of an interim response's head.
const INTERIM_HEAD_START: &[u8] = b"HTTP/1.1 1";

/// The start of the head of a response that switches protocols.
const SWITCH_HEAD_START: &[u8] = b"HTTP/1.1 101";

/// The number of interim heads that may come before a response.
const MAX_INTERIM_HEADS: usize = 16;

/// Why no response could be read.
#[derive(Debug, Snafu)]
pub(super) enum ResponseError {
    /// Reading from the connection failed.
    #[snafu(display("the head could not be read: {source}"), context(false))]
    Io {
        /// The I/O error.
        source: std::io::Error,
    },
    /// The connection ended before the end of the head.
    #[snafu(display("closed after {read} bytes of the head"))]
    Truncated {
        /// Bytes of the head that arrived.
        read: usize,
    },
    /// The head is too long.
    #[snafu(display("the head is longer than {MAX_HEAD_BYTES} bytes"))]
    TooLong,
    /// The head is not that of a response.
    #[snafu(display("malformed head: {cause}"))]
    Malformed {
        /// What is malformed.
        cause: String,
    },
}

/// Reads the response to a request with `method`.
///
/// The HTTP library drops the body of a response that has neither a length nor chunks. Here it ends
/// with the connection (RFC 9112, section 6.3), and a reset is an error of its reader.
///
/// # Errors
///
/// Fails if the connection ends or fails before the end of the head, and if the head is malformed.
pub(super) async fn read_response<R>(stream: R, method: Method) -> Result<Response, ResponseError>
where
    R: AsyncRead + Send + Sync + Unpin + 'static,
{
    let mut reader = BufReader::new(stream);
    let head = read_final_head(&mut reader).await?;
    let mut res = decode(Cursor::new(head.clone())).await?;
    if let Some(encoding) = res.header(headers::TRANSFER_ENCODING) {
        if encoding.as_str() != CHUNKED {
            let cause = format!("{encoding} is no transfer encoding that is accepted");
            return MalformedSnafu { cause }.fail();
        }
        return decode(Cursor::new(head).chain(reader)).await;
    }
    let has_no_body = matches!(
        res.status(),
        StatusCode::NoContent | StatusCode::NotModified
    );
    if method == Method::Head || has_no_body {
        res.set_body(Body::empty());
    } else if res.header(headers::CONTENT_LENGTH).is_some() {
        let length = res.len();
        let limit = length.unwrap_or(0) as u64;
        res.set_body(Body::from_reader(reader.take(limit), length));
    } else {
        res.set_body(Body::from_reader(reader, None));
    }
    Ok(res)
}

/// Reads heads up to the first that is not an interim one (RFC 9110, section 15.2). No request asks
/// for another protocol, so the head of a switch is none of an answer.
async fn read_final_head<R>(reader: &mut BufReader<R>) -> Result<Vec<u8>, ResponseError>
where
    R: AsyncRead + Unpin,
{
    for _ in 0..=MAX_INTERIM_HEADS {
        let head = read_head(reader).await?;
        if !head.starts_with(INTERIM_HEAD_START) {
            return Ok(head);
        }
        if head.starts_with(SWITCH_HEAD_START) {
            let cause = "a switch of protocols";
            return MalformedSnafu { cause }.fail();
        }
    }
    let cause = format!("more than {MAX_INTERIM_HEADS} interim heads");
    MalformedSnafu { cause }.fail()
}

/// Reads the bytes of a head, up to its blank line.
async fn read_head<R>(reader: &mut BufReader<R>) -> Result<Vec<u8>, ResponseError>
where
    R: AsyncRead + Unpin,
{
    let mut head = Vec::new();
    loop {
        let line = read_line(reader, head.len()).await?;
        head.extend_from_slice(&line);
        if matches!(&line[..], b"\r\n" | b"\n") {
            return Ok(head);
        }
    }
}

/// Reads one line of a head of which `read` bytes were read. The name of a transfer encoding is
/// returned in lower case, since the HTTP library knows no other.
async fn read_line<R>(reader: &mut BufReader<R>, read: usize) -> Result<Vec<u8>, ResponseError>
where
    R: AsyncRead + Unpin,
{
    let left = MAX_HEAD_BYTES.saturating_sub(read);
    let mut line = Vec::new();
    reader
        .take(left as u64)
        .read_until(b'\n', &mut line)
        .await?;
    if line.last() != Some(&b'\n') {
        if line.len() == left {
            return TooLongSnafu.fail();
        }
        let read = read + line.len();
        return TruncatedSnafu { read }.fail();
    }
    let name = line.get(..TRANSFER_ENCODING_FIELD.len());
    if name.is_some_and(|name| name.eq_ignore_ascii_case(TRANSFER_ENCODING_FIELD)) {
        line.make_ascii_lowercase();
    }
    Ok(line)
}

/// Parses a head with the HTTP library.
async fn decode<R>(reader: R) -> Result<Response, ResponseError>
where
    R: AsyncRead + Send + Sync + Unpin + 'static,
{
    async_h1::client::decode(reader)
        .await
        .map_err(|err| ResponseError::Malformed {
            cause: err.to_string(),
        })
}
