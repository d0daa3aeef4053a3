//! Body of a successful response: names the call that it answers and its own length, so that a
//! caller detects responses that were truncated, altered or delivered to the wrong call.

use std::fmt;

use base::VersionName;
use bytes::Bytes;
use smol_str::SmolStr;

/// Filler bytes after the header line, unless the call asks for another number.
pub const DEFAULT_FILLER_BYTES: usize = 256;

/// Largest number of filler bytes that a call may ask for.
pub const MAX_FILLER_BYTES: usize = 512 * 1024;

/// A response body: its fields form the header line, and filler bytes follow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseBody {
    /// Id of the call that the response answers.
    pub call_id: SmolStr,
    /// Version of the upstream that ran the call.
    pub version: VersionName,
    /// Number of filler bytes after the header line.
    pub size: usize,
}

/// Why a body is not the complete response to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ResponseBodyError {
    /// The header line is missing or malformed.
    MalformedHeader,
    /// The body answers another call, with this id.
    CallIdMismatch(SmolStr),
    /// The number of filler bytes differs: expected and received.
    LengthMismatch(usize, usize),
    /// The filler byte at this position differs.
    ContentMismatch(usize),
}

impl fmt::Display for ResponseBodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::MalformedHeader => f.write_str("response body has no valid header line"),
            Self::CallIdMismatch(id) => write!(f, "response body belongs to call {id}"),
            Self::LengthMismatch(want, got) => write!(f, "expected {want} bytes, got {got}"),
            Self::ContentMismatch(at) => write!(f, "filler byte {at} differs"),
        }
    }
}

impl std::error::Error for ResponseBodyError {}

impl ResponseBody {
    /// Encodes the header line and the filler bytes.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        let mut body = format!("{} {} {}\n", self.call_id, self.version, self.size).into_bytes();
        let seed = filler_seed(&self.call_id);
        body.extend((0..self.size).map(|at| filler_byte(seed, at)));
        body.into()
    }

    /// Decodes a body and checks that it is the complete response to the call `call_id`.
    ///
    /// # Errors
    /// When the body is malformed, answers another call, or differs in length or content.
    pub fn verify(body: &[u8], call_id: &str) -> Result<Self, ResponseBodyError> {
        let header_end = body.iter().position(|byte| *byte == b'\n');
        let header_end = header_end.ok_or(ResponseBodyError::MalformedHeader)?;
        let decoded =
            parse_header(&body[..header_end]).ok_or(ResponseBodyError::MalformedHeader)?;
        if decoded.call_id != call_id {
            return Err(ResponseBodyError::CallIdMismatch(decoded.call_id));
        }
        let rest = &body[header_end + 1..];
        if rest.len() != decoded.size {
            return Err(ResponseBodyError::LengthMismatch(decoded.size, rest.len()));
        }
        let seed = filler_seed(call_id);
        let differs = |(at, byte): (usize, &u8)| (*byte != filler_byte(seed, at)).then_some(at);
        match rest.iter().enumerate().find_map(differs) {
            Some(at) => Err(ResponseBodyError::ContentMismatch(at)),
            None => Ok(decoded),
        }
    }
}

fn parse_header(line: &[u8]) -> Option<ResponseBody> {
    let line = std::str::from_utf8(line).ok()?;
    let mut fields = line.split(' ');
    let header = ResponseBody {
        call_id: fields.next()?.into(),
        version: fields.next()?.into(),
        size: fields.next()?.parse().ok()?,
    };
    fields.next().is_none().then_some(header)
}

fn filler_seed(call_id: &str) -> usize {
    usize::from(base::hash::stable(&[call_id.as_bytes()]).to_le_bytes()[0])
}

/// Returns the filler byte at a position. It depends on the call and on the position, so that
/// bytes of another call and reordered parts are detected.
fn filler_byte(seed: usize, at: usize) -> u8 {
    const ALPHABET: &[u8] = b"abcdefghijklmnopqrstuvwxyz0123456789-";
    ALPHABET[(seed + at) % ALPHABET.len()]
}
