//! Requests and responses with their whole body.

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header::CONTENT_TYPE;

/// A request with its whole body.
#[derive(Debug, Clone)]
pub struct Request {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

impl Request {
    /// A request without headers.
    #[must_use]
    pub fn new(method: Method, target: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self {
            method,
            target: target.into(),
            headers: HeaderMap::new(),
            body: body.into(),
        }
    }

    /// A `GET` request.
    #[must_use]
    pub fn get(target: impl Into<String>) -> Self {
        Self::new(Method::GET, target, Bytes::new())
    }

    /// A `POST` request.
    #[must_use]
    pub fn post(target: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self::new(Method::POST, target, body)
    }

    /// Adds a header; a value that no header may hold is left out.
    #[must_use]
    pub fn with_header(mut self, name: &'static str, value: impl AsRef<str>) -> Self {
        if let Ok(value) = HeaderValue::from_str(value.as_ref()) {
            self.headers.insert(HeaderName::from_static(name), value);
        }
        self
    }

    /// The path without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("/")
    }

    /// The first value of a query parameter, as it stands in the target.
    #[must_use]
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find_map(|(key, value)| (key == name).then_some(value))
    }

    /// The first value of a header, when it is text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Bytes that the request takes on a connection, without those of TCP.
    #[must_use]
    pub fn wire_size(&self) -> u64 {
        let line = self.method.as_str().len() + self.target.len() + " HTTP/1.1\r\n ".len();
        (line + headers_size(&self.headers) + self.body.len()) as u64
    }
}

/// A response with its whole body.
#[derive(Debug, Clone)]
pub struct Response {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

impl Response {
    /// A response without headers.
    #[must_use]
    pub fn new(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            headers: HeaderMap::new(),
            body: body.into(),
        }
    }

    /// A response that holds one line of text.
    #[must_use]
    pub fn text(status: StatusCode, text: impl Into<String>) -> Self {
        let mut text: String = text.into();
        text.push('\n');
        Self::new(status, text).with_header(CONTENT_TYPE.as_str(), "text/plain; charset=utf-8")
    }

    /// A response that holds JSON text.
    #[must_use]
    pub fn json(status: StatusCode, text: impl Into<Bytes>) -> Self {
        Self::new(status, text).with_header(CONTENT_TYPE.as_str(), "application/json")
    }

    /// Adds a header; a value that no header may hold is left out.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: impl AsRef<str>) -> Self {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_str(value.as_ref());
        if let (Ok(name), Ok(value)) = (name, value) {
            self.headers.insert(name, value);
        }
        self
    }

    /// The first value of a header, when it is text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Bytes that the response takes on a connection, without those of TCP.
    #[must_use]
    pub fn wire_size(&self) -> u64 {
        let reason = self.status.canonical_reason().unwrap_or("").len();
        let line = "HTTP/1.1 200 \r\n".len() + reason;
        (line + headers_size(&self.headers) + self.body.len()) as u64
    }
}

/// Bytes of the headers, with the length that the encoder adds and the blank line.
fn headers_size(headers: &HeaderMap) -> usize {
    let size = |name: &HeaderName, value: &HeaderValue| name.as_str().len() + value.len() + 4;
    let all: usize = headers.iter().map(|(name, value)| size(name, value)).sum();
    all + "content-length: 100\r\n\r\n".len()
}
