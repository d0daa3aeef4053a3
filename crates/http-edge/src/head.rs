//! Heads of messages: kept as received until the message is whole, since their parsed form takes many
//! times the memory.

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::Uri;
use http::Version;
use http::header::CONNECTION;
use http::header::CONTENT_LENGTH;
use http::header::EXPECT;
use http::header::TRANSFER_ENCODING;
use httparse::EMPTY_HEADER;
use httparse::Header;
use httparse::Status;

/// Bytes that end a head.
const END: &[u8] = b"\r\n\r\n";

/// The head of a message as received.
#[derive(Debug, Clone)]
pub struct RawHead {
    bytes: Bytes,
    /// Lines, with the first one and the blank one.
    lines: usize,
}

/// The head is no head of HTTP/1.x.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct MalformedHead;

/// The parsed head of a request.
pub(crate) struct RequestHead {
    pub(crate) method: Method,
    pub(crate) target: String,
    pub(crate) headers: HeaderMap,
}

impl RawHead {
    pub(crate) fn new(bytes: Bytes) -> Self {
        let lines = bytes.split(|byte| *byte == b'\n').count();
        Self { bytes, lines }
    }

    /// Number of lines, at least that of the headers.
    pub(crate) fn lines(&self) -> usize {
        self.lines
    }

    /// Returns the first value of a header of a request if it is visible ASCII.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<String> {
        let found = self.parse_request(|req| {
            let mut headers = req.headers.iter();
            let header = headers.find(|header| header.name.eq_ignore_ascii_case(name));
            let value = header.and_then(|header| std::str::from_utf8(header.value).ok());
            Ok(value.map(ToOwned::to_owned))
        });
        found.ok().flatten()
    }

    /// Parses a request's version and the headers that tell how it is read.
    pub(crate) fn request_transport(&self) -> Result<(Version, HeaderMap), MalformedHead> {
        self.parse_request(|req| {
            parse_method(req.method)?;
            parse_target(req.path)?;
            Ok((version(req.version), transport_headers(req.headers)?))
        })
    }

    /// Parses the whole head of a request.
    pub(crate) fn request(&self) -> Result<RequestHead, MalformedHead> {
        self.parse_request(|req| {
            Ok(RequestHead {
                method: parse_method(req.method)?,
                target: parse_target(req.path)?,
                headers: self.all_headers(req.headers)?,
            })
        })
    }

    /// Parses the whole head of a response.
    pub(crate) fn response(&self) -> Result<(Version, StatusCode, HeaderMap), MalformedHead> {
        let mut table = vec![EMPTY_HEADER; self.lines];
        let mut res = httparse::Response::new(&mut table);
        let parsed = res.parse(&self.bytes);
        self.check_whole(parsed)?;
        let status = StatusCode::from_u16(res.code.ok_or(MalformedHead)?);
        let status = status.map_err(|_| MalformedHead)?;
        let headers = self.all_headers(res.headers)?;
        Ok((version(res.version), status, headers))
    }

    fn parse_request<T>(
        &self,
        read: impl FnOnce(&httparse::Request<'_, '_>) -> Result<T, MalformedHead>,
    ) -> Result<T, MalformedHead> {
        let mut table = vec![EMPTY_HEADER; self.lines];
        let mut req = httparse::Request::new(&mut table);
        let parsed = req.parse(&self.bytes);
        self.check_whole(parsed)?;
        read(&req)
    }

    /// A parser that accepts single line feeds may find an earlier end.
    fn check_whole(&self, parsed: httparse::Result<usize>) -> Result<(), MalformedHead> {
        match parsed {
            Ok(Status::Complete(len)) if len == self.bytes.len() => Ok(()),
            _ => Err(MalformedHead),
        }
    }

    /// Builds the map of all headers; their values share the bytes of the head.
    fn all_headers(&self, parsed: &[Header<'_>]) -> Result<HeaderMap, MalformedHead> {
        let mut headers = HeaderMap::with_capacity(parsed.len());
        for header in parsed {
            let name = HeaderName::from_bytes(header.name.as_bytes()).map_err(|_| MalformedHead)?;
            let value = HeaderValue::from_maybe_shared(self.bytes.slice_ref(header.value))
                .map_err(|_| MalformedHead)?;
            headers.try_append(name, value).map_err(|_| MalformedHead)?;
        }
        Ok(headers)
    }
}

/// Looks for the end of a head while it arrives; no byte is looked at again.
#[derive(Debug, Default)]
pub(crate) struct EndSearch {
    at: usize,
    /// Whether a byte other than those of empty lines has come.
    has_begun: bool,
}

impl EndSearch {
    /// Returns the length of the head at the start of the buffer; `None` if it has no end yet.
    pub(crate) fn find(&mut self, buf: &[u8]) -> Option<usize> {
        while !self.has_begun && self.at < buf.len() {
            // Empty lines before a message belong to no head.
            self.has_begun = !matches!(buf[self.at], b'\r' | b'\n');
            self.at += usize::from(!self.has_begun);
        }
        let mut rest = buf[self.at..].windows(END.len());
        if let Some(found) = rest.position(|bytes| bytes == END) {
            return Some(self.at + found + END.len());
        }
        self.at = self.at.max(buf.len().saturating_sub(END.len() - 1));
        None
    }
}

fn version(minor: Option<u8>) -> Version {
    match minor {
        Some(1) => Version::HTTP_11,
        _ => Version::HTTP_10,
    }
}

fn parse_method(method: Option<&str>) -> Result<Method, MalformedHead> {
    let method = method.ok_or(MalformedHead)?;
    Method::from_bytes(method.as_bytes()).map_err(|_| MalformedHead)
}

/// Returns path and query.
fn parse_target(target: Option<&str>) -> Result<String, MalformedHead> {
    let target = target.ok_or(MalformedHead)?;
    let uri = Uri::try_from(target).map_err(|_| MalformedHead)?;
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    Ok(path.to_owned())
}

/// Returns the headers that tell how a message is read.
fn transport_headers(parsed: &[Header<'_>]) -> Result<HeaderMap, MalformedHead> {
    let names = [CONTENT_LENGTH, TRANSFER_ENCODING, EXPECT, CONNECTION];
    let mut headers = HeaderMap::new();
    for header in parsed {
        let mut names = names.iter();
        let found = names.find(|name| header.name.eq_ignore_ascii_case(name.as_str()));
        let Some(name) = found else { continue };
        let value = HeaderValue::from_bytes(header.value).map_err(|_| MalformedHead)?;
        headers.append(name, value);
    }
    Ok(headers)
}
