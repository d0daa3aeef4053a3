//! Requests and responses with complete bodies.

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header::CONTENT_TYPE;

use crate::body::Body;
use crate::budget::AnswerCharge;

/// A request with its complete body.
#[derive(Debug, Clone)]
pub struct Request {
    /// Method; a response to `HEAD` is sent without its body.
    pub method: Method,
    /// Path and query, without scheme and authority.
    pub target: String,
    /// Headers. On sending, `Content-Length` and `Transfer-Encoding` are replaced.
    pub headers: HeaderMap,
    /// Complete body without chunk headers.
    pub body: Body,
}

impl Request {
    /// Creates a request without headers.
    #[must_use]
    pub fn new(method: Method, target: impl Into<String>, body: impl Into<Body>) -> Self {
        Self {
            method,
            target: target.into(),
            headers: HeaderMap::new(),
            body: body.into(),
        }
    }

    /// Creates a `GET` request without a body.
    #[must_use]
    pub fn get(target: impl Into<String>) -> Self {
        Self::new(Method::GET, target, Body::default())
    }

    /// Creates a `POST` request without headers.
    #[must_use]
    pub fn post(target: impl Into<String>, body: impl Into<Body>) -> Self {
        Self::new(Method::POST, target, body)
    }

    /// Sets a header; one with an invalid value is left out.
    #[must_use]
    pub fn with_header(mut self, name: &'static str, value: impl AsRef<str>) -> Self {
        if let Ok(value) = HeaderValue::from_str(value.as_ref()) {
            self.headers.insert(HeaderName::from_static(name), value);
        }
        self
    }

    /// Returns the path without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("/")
    }

    /// Returns the first value of a query parameter, not percent-decoded.
    #[must_use]
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find_map(|(key, value)| (key == name).then_some(value))
    }

    /// Returns the first value of a header if it is visible ASCII.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Approximate size of the request on a connection in bytes, without TCP overhead.
    #[must_use]
    pub fn wire_size(&self) -> u64 {
        let line = self.method.as_str().len() + self.target.len() + " HTTP/1.1\r\n ".len();
        (line + headers_size(&self.headers) + self.body.len()) as u64
    }
}

/// A response with its complete body.
#[derive(Debug, Clone)]
pub struct Response {
    /// Status code; 1xx, 204 and 304 are sent without a body.
    pub status: StatusCode,
    /// Headers. On sending, `Content-Length` and `Transfer-Encoding` are replaced.
    pub headers: HeaderMap,
    /// Complete body without chunk headers.
    pub body: Bytes,
    /// Memory that an answer from a connection takes until it is sent on; `None` if it is not charged.
    pub charge: Option<AnswerCharge>,
}

impl Response {
    /// Creates a response without headers.
    #[must_use]
    pub fn new(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            headers: HeaderMap::new(),
            body: body.into(),
            charge: None,
        }
    }

    /// Creates a plain-text response; a newline is added to the text.
    #[must_use]
    pub fn text(status: StatusCode, text: impl Into<String>) -> Self {
        let mut text: String = text.into();
        text.push('\n');
        Self::new(status, text).with_header(CONTENT_TYPE.as_str(), "text/plain; charset=utf-8")
    }

    /// Creates a response with JSON text.
    #[must_use]
    pub fn json(status: StatusCode, text: impl Into<Bytes>) -> Self {
        Self::new(status, text).with_header(CONTENT_TYPE.as_str(), "application/json")
    }

    /// Sets a header; one with an invalid name or value is left out.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: impl AsRef<str>) -> Self {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_str(value.as_ref());
        if let (Ok(name), Ok(value)) = (name, value) {
            self.headers.insert(name, value);
        }
        self
    }

    /// Returns the first value of a header if it is visible ASCII.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Approximate size of the response on a connection in bytes, without TCP overhead.
    #[must_use]
    pub fn wire_size(&self) -> u64 {
        let reason = self.status.canonical_reason().unwrap_or("").len();
        let line = "HTTP/1.1 200 \r\n".len() + reason;
        (line + headers_size(&self.headers) + self.body.len()) as u64
    }
}

/// Size of the headers in bytes, with the `Content-Length` that the encoder adds and the blank
/// line.
fn headers_size(headers: &HeaderMap) -> usize {
    let size = |name: &HeaderName, value: &HeaderValue| name.as_str().len() + value.len() + 4;
    let all: usize = headers.iter().map(|(name, value)| size(name, value)).sum();
    all + "content-length: 100\r\n\r\n".len()
}
