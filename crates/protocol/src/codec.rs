//! Encodes messages as `MessagePack`, in bodies as bytes and in headers as URL-safe base64.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Failure to decode a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CodecError {
    /// The bytes are not an encoding of the expected type; holds the reason of the decoder.
    Decode(String),
    /// The header value is not URL-safe base64 without padding.
    InvalidBase64,
}

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Decode(e) => write!(f, "unreadable message: {e}"),
            Self::InvalidBase64 => f.write_str("unreadable header text"),
        }
    }
}

impl std::error::Error for CodecError {}

/// Encodes a message as `MessagePack`, with struct fields by position.
///
/// # Panics
/// When `message` cannot be serialized. Messages of this crate always can: the keys of their
/// maps are text.
#[must_use]
pub fn encode(message: &impl Serialize) -> Bytes {
    Bytes::from(rmp_serde::to_vec(message).expect("messages of this crate always encode"))
}

/// Decodes a message from `MessagePack`.
///
/// # Errors
/// When the bytes are not an encoding of a `T`.
pub fn decode<T: DeserializeOwned>(buf: &[u8]) -> Result<T, CodecError> {
    rmp_serde::from_slice(buf).map_err(|e| CodecError::Decode(e.to_string()))
}

/// Encodes a message as a header value.
///
/// # Panics
/// As [`encode`].
#[must_use]
pub fn encode_header_value(message: &impl Serialize) -> String {
    URL_SAFE_NO_PAD.encode(encode(message))
}

/// Decodes a message from a header value.
///
/// # Errors
/// When the text is not base64, or the decoded bytes are not an encoding of a `T`.
pub fn decode_header_value<T: DeserializeOwned>(text: &str) -> Result<T, CodecError> {
    let buf = URL_SAFE_NO_PAD
        .decode(text)
        .map_err(|_| CodecError::InvalidBase64)?;
    decode(&buf)
}
