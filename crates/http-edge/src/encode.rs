//! Answers as bytes.

use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;

use crate::message::Response;

/// The word that a client may wait for before it sends its body.
pub(crate) const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Bodies up to this size, in bytes, are sent in one piece with the head.
const JOINED_BODY: usize = 8 * 1024;

/// Room for a head, in bytes; it grows as needed.
const HEAD_SIZE: usize = 512;

/// What becomes of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyUse {
    /// It is sent.
    Sent,
    /// Only its length is told: the request was `HEAD`.
    Measured,
}

/// An answer as its first piece and what is left of the body.
pub(crate) fn response(res: Response, body_use: BodyUse) -> (Bytes, Bytes) {
    let mut buf = BytesMut::with_capacity(HEAD_SIZE);
    let reason = res.status.canonical_reason().unwrap_or_default();
    buf.put(format!("HTTP/1.1 {} {reason}\r\n", res.status.as_str()).as_bytes());
    if let Some(length) = length(&res, body_use) {
        buf.put(format!("content-length: {length}\r\n").as_bytes());
    }
    put_headers(&mut buf, &res.headers);
    buf.put_slice(b"\r\n");
    if body_use == BodyUse::Measured || is_bodiless(res.status) {
        return (buf.freeze(), Bytes::new());
    }
    if res.body.len() > JOINED_BODY {
        return (buf.freeze(), res.body);
    }
    buf.put(res.body);
    (buf.freeze(), Bytes::new())
}

/// Whether no body may follow the status.
pub(crate) fn is_bodiless(status: StatusCode) -> bool {
    status.is_informational()
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
}

/// Length that the head tells; `None` where it must not or cannot tell one.
fn length(res: &Response, body_use: BodyUse) -> Option<usize> {
    if is_bodiless(res.status) {
        return None;
    }
    if body_use == BodyUse::Sent || !res.body.is_empty() {
        return Some(res.body.len());
    }
    // An answer to `HEAD` that comes from further on tells the length without the body.
    res.header(CONTENT_LENGTH.as_str())?.parse().ok()
}

fn put_headers(buf: &mut BytesMut, headers: &HeaderMap) {
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
