//! Where a message ends, by its headers.
//!
//! Two readers that find different ends in the same bytes take one message for two, so whatever
//! leaves room for two readings is refused.

use http::HeaderMap;
use http::HeaderName;
use http::Version;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;

/// How the body is bounded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    /// No header tells of a body.
    Empty,
    /// A body of this length, in bytes.
    Length(usize),
    /// A body in chunks.
    Chunked,
}

impl Framing {
    /// Length in bytes that the head tells; 0 where it tells none.
    pub(crate) fn length(self) -> usize {
        match self {
            Self::Length(length) => length,
            Self::Empty | Self::Chunked => 0,
        }
    }
}

/// The headers leave room for two readings of where the body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Ambiguous;

/// How the body of a message is bounded.
pub(crate) fn check(version: Version, headers: &HeaderMap) -> Result<Framing, Ambiguous> {
    let length = only(headers, &CONTENT_LENGTH)?;
    let encoding = only(headers, &TRANSFER_ENCODING)?;
    match (length, encoding) {
        (None, None) => Ok(Framing::Empty),
        (Some(length), None) => parse_length(length).map(Framing::Length),
        (None, Some(encoding)) => {
            let is_chunked = encoding.eq_ignore_ascii_case(b"chunked");
            if !is_chunked || version != Version::HTTP_11 {
                return Err(Ambiguous);
            }
            Ok(Framing::Chunked)
        }
        (Some(_), Some(_)) => Err(Ambiguous),
    }
}

/// Whether a header that lists words holds this one.
pub(crate) fn has_word(headers: &HeaderMap, name: &HeaderName, word: &str) -> bool {
    let values = headers.get_all(name).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|one| one.trim().eq_ignore_ascii_case(word))
}

/// The only value of a header.
fn only<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a [u8]>, Ambiguous> {
    let mut values = headers.get_all(name).iter();
    let first = values.next().map(http::HeaderValue::as_bytes);
    match values.next() {
        Some(_) => Err(Ambiguous),
        None => Ok(first),
    }
}

fn parse_length(value: &[u8]) -> Result<usize, Ambiguous> {
    let text = std::str::from_utf8(value).map_err(|_| Ambiguous)?;
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(Ambiguous);
    }
    text.parse().map_err(|_| Ambiguous)
}
