//! Configurations, compressed for the way between daemons: one with hundreds of routes would fill the
//! links of the daemons that pass it on.

use std::fmt;

use bytes::Bytes;

/// Largest configuration that is unpacked, in bytes; the store takes records of 256 KiB.
const MAX_UNPACKED: usize = 4 * 1024 * 1024;

/// Length of the size before the compressed bytes.
const SIZE_LENGTH: usize = 4;

/// Bytes that cannot be unpacked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PackError {
    /// They are too few to hold a size.
    Short,
    /// They claim to hold this many bytes.
    TooLarge(usize),
    /// They are damaged.
    Damaged,
}

impl fmt::Display for PackError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Short => f.write_str("no size"),
            Self::TooLarge(size) => write!(f, "{size} bytes are more than {MAX_UNPACKED}"),
            Self::Damaged => f.write_str("damaged bytes"),
        }
    }
}

/// Compresses bytes; their size comes first, in four bytes, the smallest first.
pub fn pack(bytes: &[u8]) -> Bytes {
    lz4_flex::block::compress_prepend_size(bytes).into()
}

/// Gives the bytes that were packed.
///
/// # Errors
/// When they were not packed here, or are too many.
pub fn unpack(packed: &[u8]) -> Result<Bytes, PackError> {
    let (size, packed) = packed
        .split_first_chunk::<SIZE_LENGTH>()
        .ok_or(PackError::Short)?;
    let size = usize::try_from(u32::from_le_bytes(*size)).unwrap_or(usize::MAX);
    if size > MAX_UNPACKED {
        return Err(PackError::TooLarge(size));
    }
    let unpacked = lz4_flex::block::decompress(packed, size).map_err(|_| PackError::Damaged)?;
    Ok(unpacked.into())
}
