//! Errors of the HTTP server and client.

use std::fmt;
use std::io;

/// Why a request could not be read. The server responds with [`RequestError::status`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestError {
    /// Not HTTP/1.x, ambiguous framing, or an invalid body.
    Malformed,
    /// The head or the body exceeds its limit.
    TooLarge,
    /// The `Expect` header asks for something other than `100-continue`.
    Expectation,
    /// No request arrived within the idle timeout.
    Idle,
    /// The request makes no progress.
    Stalled,
}

impl RequestError {
    /// Status of the response; `None` if the connection is closed without one.
    #[must_use]
    pub fn status(self) -> Option<http::StatusCode> {
        match self {
            Self::Malformed => Some(http::StatusCode::BAD_REQUEST),
            Self::TooLarge => Some(http::StatusCode::PAYLOAD_TOO_LARGE),
            Self::Expectation => Some(http::StatusCode::EXPECTATION_FAILED),
            Self::Stalled => Some(http::StatusCode::REQUEST_TIMEOUT),
            Self::Idle => None,
        }
    }
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "malformed request",
            Self::TooLarge => "request larger than the limit",
            Self::Expectation => "unknown expectation",
            Self::Idle => "connection idle for too long",
            Self::Stalled => "request without progress for too long",
        })
    }
}

/// Why no connection was established. No request has been sent.
#[derive(Debug)]
pub enum ConnectError {
    /// The operating system reported an error, such as a refused connection.
    Io(io::Error),
    /// The connection was not established in time.
    TimedOut,
}

impl fmt::Display for ConnectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(e) => write!(f, "cannot connect: {e}"),
            Self::TimedOut => f.write_str("cannot connect: timed out"),
        }
    }
}

impl std::error::Error for ConnectError {}

/// Why a request on an open connection has no response. The peer may have executed it.
#[derive(Debug)]
pub enum CallError {
    /// The connection ended or failed, or the response was invalid. Holds the reason.
    Broken(String),
    /// The response exceeds the size limits.
    TooLarge,
    /// No complete response was received in time.
    TimedOut,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken(e) => write!(f, "connection broken: {e}"),
            Self::TooLarge => f.write_str("response larger than the limit"),
            Self::TimedOut => f.write_str("timed out waiting for the response"),
        }
    }
}

impl std::error::Error for CallError {}
