//! Encodes heads and responses.

use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;

use crate::message::Response;

/// Interim response that a client with `Expect: 100-continue` awaits before it sends its body.
pub(crate) const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Bodies up to this size are sent in one buffer with the head.
pub(crate) const MAX_INLINE_BODY_BYTES: usize = 8 * 1024;

/// Initial capacity for a head; the buffer grows as needed.
pub(crate) const INITIAL_HEAD_BYTES: usize = 512;

/// Whether the body is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyMode {
    /// The body is sent.
    Full,
    /// Only `Content-Length` is sent: the request was `HEAD`.
    LengthOnly,
}

/// Encodes a response. Returns the first buffer, and the body unless the first buffer holds it.
pub(crate) fn encode_response(res: Response, body_mode: BodyMode) -> (Bytes, Bytes) {
    let mut buf = BytesMut::with_capacity(INITIAL_HEAD_BYTES);
    let reason = res.status.canonical_reason().unwrap_or_default();
    buf.put(format!("HTTP/1.1 {} {reason}\r\n", res.status.as_str()).as_bytes());
    if let Some(length) = content_length(&res, body_mode) {
        buf.put(format!("content-length: {length}\r\n").as_bytes());
    }
    put_headers(&mut buf, &res.headers);
    buf.put_slice(b"\r\n");
    if body_mode == BodyMode::LengthOnly || is_bodiless(res.status) {
        return (buf.freeze(), Bytes::new());
    }
    if res.body.len() > MAX_INLINE_BODY_BYTES {
        return (buf.freeze(), res.body);
    }
    buf.put(res.body);
    (buf.freeze(), Bytes::new())
}

/// Whether a response with this status has no body.
pub(crate) fn is_bodiless(status: StatusCode) -> bool {
    status.is_informational()
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
}

/// Value of `Content-Length`; `None` if the status forbids it or the length is unknown.
fn content_length(res: &Response, body_mode: BodyMode) -> Option<usize> {
    if is_bodiless(res.status) {
        return None;
    }
    if body_mode == BodyMode::Full || !res.body.is_empty() {
        return Some(res.body.len());
    }
    // A proxied response to `HEAD` declares the length without the body.
    res.header(CONTENT_LENGTH.as_str())?.parse().ok()
}

/// Writes header lines, without those that state the length of the body.
pub(crate) fn put_headers(buf: &mut BytesMut, headers: &HeaderMap) {
    for (name, value) in headers {
        if name == CONTENT_LENGTH || name == TRANSFER_ENCODING {
            continue;
        }
        buf.put_slice(name.as_str().as_bytes());
        buf.put_slice(b": ");
        buf.put_slice(value.as_bytes());
        buf.put_slice(b"\r\n");
    }
}
