//! Decodes chunked bodies in the buffer that receives them, so that memory does not depend on the size
//! of the chunks.

/// Most digits of a chunk's size: those of the largest integer.
const MAX_SIZE_DIGITS: u8 = 16;

/// What a decoder expects next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// A digit of a chunk's size, or the end of its line.
    Size {
        digits: u8,
        size: usize,
    },
    SizeLf {
        size: usize,
    },
    Data {
        left: usize,
    },
    DataCr,
    DataLf,
    EndCr,
    EndLf,
    Done,
}

/// Start of a line with the size of a chunk.
const SIZE_LINE: State = State::Size { digits: 0, size: 0 };

/// Decoder of one chunked body. It accepts neither extensions nor trailers.
pub(crate) struct ChunkDecoder {
    state: State,
    /// Bytes that the body may still have.
    left: usize,
}

/// Why a chunked body was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ChunkError {
    Malformed,
    TooLarge,
}

/// Result of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Decoded {
    /// Bytes of the body, at the front of the buffer.
    pub(crate) body: usize,
    /// Bytes of the buffer that were decoded.
    pub(crate) used: usize,
    /// Whether the body ends with them.
    pub(crate) is_done: bool,
}

impl ChunkDecoder {
    /// Creates a decoder for a body of at most this length.
    pub(crate) fn new(max_body_bytes: usize) -> Self {
        Self {
            state: SIZE_LINE,
            left: max_body_bytes,
        }
    }

    /// Decodes bytes as they came, and moves those of the body to the front.
    pub(crate) fn decode(&mut self, buf: &mut [u8]) -> Result<Decoded, ChunkError> {
        let (mut body, mut used) = (0, 0);
        while used < buf.len() && self.state != State::Done {
            if let State::Data { left } = self.state {
                let count = left.min(buf.len() - used);
                buf.copy_within(used..used + count, body);
                body += count;
                used += count;
                self.state = match left - count {
                    0 => State::DataCr,
                    left => State::Data { left },
                };
                continue;
            }
            self.state = self.after(buf[used])?;
            used += 1;
        }
        let is_done = self.state == State::Done;
        Ok(Decoded {
            body,
            used,
            is_done,
        })
    }

    /// Returns the state after a byte that is not part of the body.
    fn after(&mut self, byte: u8) -> Result<State, ChunkError> {
        match (self.state, byte) {
            (State::Size { digits, size }, b'\r') if digits > 0 => Ok(State::SizeLf { size }),
            (State::Size { digits, size }, _) if digits < MAX_SIZE_DIGITS => {
                let digit = char::from(byte).to_digit(16).ok_or(ChunkError::Malformed)?;
                Ok(State::Size {
                    digits: digits + 1,
                    size: size << 4 | digit as usize,
                })
            }
            (State::SizeLf { size: 0 }, b'\n') => Ok(State::EndCr),
            (State::SizeLf { size }, b'\n') => {
                self.left = self.left.checked_sub(size).ok_or(ChunkError::TooLarge)?;
                Ok(State::Data { left: size })
            }
            (State::DataCr, b'\r') => Ok(State::DataLf),
            (State::DataLf, b'\n') => Ok(SIZE_LINE),
            (State::EndCr, b'\r') => Ok(State::EndLf),
            (State::EndLf, b'\n') => Ok(State::Done),
            _ => Err(ChunkError::Malformed),
        }
    }
}
