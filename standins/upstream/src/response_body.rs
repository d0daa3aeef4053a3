//! Body of an answer: says whose call it answers and how long it is, so that a caller can check
//! that it got the whole answer to its own call.

use std::fmt;

use base::VersionName;
use bytes::Bytes;
use smol_str::SmolStr;

/// Bytes behind the first line, unless the call asks for another size.
pub const DEFAULT_SIZE: usize = 256;

/// Largest size that a call may ask for, in bytes.
pub const MAX_SIZE: usize = 512 * 1024;

/// First line of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseBody {
    /// Id of the call that it answers.
    pub call_id: SmolStr,
    /// Version that ran the call.
    pub version: VersionName,
    /// Bytes behind the first line.
    pub size: usize,
}

/// Why a body is not the whole answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ResponseBodyError {
    /// The first line has another form.
    Form,
    /// It answers another call, whose id it holds.
    OtherCall(SmolStr),
    /// It has another length: bytes expected and got.
    Length(usize, usize),
    /// A byte differs, at this position.
    Byte(usize),
}

impl fmt::Display for ResponseBodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Form => f.write_str("the answer has no known first line"),
            Self::OtherCall(id) => write!(f, "the answer is one to call {id}"),
            Self::Length(want, got) => write!(f, "expected {want} bytes, got {got}"),
            Self::Byte(at) => write!(f, "byte {at} differs"),
        }
    }
}

impl std::error::Error for ResponseBodyError {}

impl ResponseBody {
    /// Writes the body.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        let mut body = format!("{} {} {}\n", self.call_id, self.version, self.size).into_bytes();
        let seed = seed_of(&self.call_id);
        body.extend((0..self.size).map(|at| filler(seed, at)));
        body.into()
    }

    /// Reads a body and checks that it is the whole answer to `call`.
    ///
    /// # Errors
    /// When the body answers another call, is cut, or holds other bytes.
    pub fn verify(body: &[u8], call: &str) -> Result<Self, ResponseBodyError> {
        let end = body.iter().position(|byte| *byte == b'\n');
        let end = end.ok_or(ResponseBodyError::Form)?;
        let answer = parse_line(&body[..end]).ok_or(ResponseBodyError::Form)?;
        if answer.call_id != call {
            return Err(ResponseBodyError::OtherCall(answer.call_id));
        }
        let rest = &body[end + 1..];
        if rest.len() != answer.size {
            return Err(ResponseBodyError::Length(answer.size, rest.len()));
        }
        let seed = seed_of(call);
        let differs = |(at, byte): (usize, &u8)| (*byte != filler(seed, at)).then_some(at);
        match rest.iter().enumerate().find_map(differs) {
            Some(at) => Err(ResponseBodyError::Byte(at)),
            None => Ok(answer),
        }
    }
}

fn parse_line(line: &[u8]) -> Option<ResponseBody> {
    let line = std::str::from_utf8(line).ok()?;
    let mut words = line.split(' ');
    let answer = ResponseBody {
        call_id: words.next()?.into(),
        version: words.next()?.into(),
        size: words.next()?.parse().ok()?,
    };
    words.next().is_none().then_some(answer)
}

fn seed_of(call: &str) -> usize {
    usize::from(base::hash::stable(&[call.as_bytes()]).to_le_bytes()[0])
}

/// Differs between calls and between positions, so that mixed-up parts are noticed.
fn filler(seed: usize, at: usize) -> u8 {
    const LETTERS: &[u8] = b"abcdefghijklmnopqrstuvwxyz0123456789-";
    LETTERS[(seed + at) % LETTERS.len()]
}
