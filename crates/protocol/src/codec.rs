//! Encoding of messages as bytes and as header text.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// A message that could not be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CodecError {
    /// The bytes are not the expected message.
    Decode(String),
    /// The header text is not base64.
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

/// Encodes a message.
///
/// # Panics
/// Never for the messages of this crate: they hold no map with keys that are not text.
#[must_use]
pub fn encode(message: &impl Serialize) -> Bytes {
    Bytes::from(rmp_serde::to_vec(message).expect("messages of this crate always encode"))
}

/// Decodes a message.
///
/// # Errors
/// When the bytes are not a `T`.
pub fn decode<T: DeserializeOwned>(buf: &[u8]) -> Result<T, CodecError> {
    rmp_serde::from_slice(buf).map_err(|e| CodecError::Decode(e.to_string()))
}

/// Encodes a message as the value of a header.
#[must_use]
pub fn encode_header_value(message: &impl Serialize) -> String {
    URL_SAFE_NO_PAD.encode(encode(message))
}

/// Decodes a message from the value of a header.
///
/// # Errors
/// When the text is not base64 of a `T`.
pub fn decode_header_value<T: DeserializeOwned>(text: &str) -> Result<T, CodecError> {
    let buf = URL_SAFE_NO_PAD
        .decode(text)
        .map_err(|_| CodecError::InvalidBase64)?;
    decode(&buf)
}
