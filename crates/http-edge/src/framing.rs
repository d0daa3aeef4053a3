//! Body framing: where a message ends according to its headers.
//!
//! Two parsers that disagree on the end of a message allow request smuggling, so ambiguous
//! framing is rejected.

use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::Version;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;

/// Header in which a peer states how long it keeps an idle connection open.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// How the end of the body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    /// No header announces a body.
    Empty,
    /// `Content-Length`, in bytes.
    Length(usize),
    /// `Transfer-Encoding: chunked`.
    Chunked,
}

impl Framing {
    /// Length in bytes that the head declares; 0 if it declares none.
    pub(crate) fn declared_length(self) -> usize {
        match self {
            Self::Length(length) => length,
            Self::Empty | Self::Chunked => 0,
        }
    }
}

/// The headers do not determine uniquely where the body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct AmbiguousFraming;

/// Determines the framing of a message from its version and headers.
pub(crate) fn of_message(
    version: Version,
    headers: &HeaderMap,
) -> Result<Framing, AmbiguousFraming> {
    let length = single_value(headers, &CONTENT_LENGTH)?;
    let encoding = single_value(headers, &TRANSFER_ENCODING)?;
    match (length, encoding) {
        (None, None) => Ok(Framing::Empty),
        (Some(length), None) => parse_length(length).map(Framing::Length),
        (None, Some(encoding)) => {
            let is_chunked = encoding.eq_ignore_ascii_case(b"chunked");
            if !is_chunked || version != Version::HTTP_11 {
                return Err(AmbiguousFraming);
            }
            Ok(Framing::Chunked)
        }
        (Some(_), Some(_)) => Err(AmbiguousFraming),
    }
}

/// Whether a header with a comma-separated list contains the token.
pub(crate) fn has_token(headers: &HeaderMap, name: &HeaderName, token: &str) -> bool {
    let values = headers.get_all(name).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|item| item.trim().eq_ignore_ascii_case(token))
}

/// Returns the parameter `timeout` of the header `Keep-Alive`, in whole seconds; `None` if it is missing
/// or no number.
pub(crate) fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let secs = value.split(',').find_map(|parameter| {
        let (name, value) = parameter.split_once('=')?;
        let is_timeout = name.trim().eq_ignore_ascii_case("timeout");
        is_timeout.then(|| value.trim().parse().ok())?
    })?;
    Some(Duration::from_secs(secs))
}

/// Returns the value of a header that must not occur more than once.
fn single_value<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a [u8]>, AmbiguousFraming> {
    let mut values = headers.get_all(name).iter();
    let first = values.next().map(http::HeaderValue::as_bytes);
    match values.next() {
        Some(_) => Err(AmbiguousFraming),
        None => Ok(first),
    }
}

fn parse_length(value: &[u8]) -> Result<usize, AmbiguousFraming> {
    let text = std::str::from_utf8(value).map_err(|_| AmbiguousFraming)?;
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(AmbiguousFraming);
    }
    text.parse().map_err(|_| AmbiguousFraming)
}
