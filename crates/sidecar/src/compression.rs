//! Compression of configurations that daemons send to each other.
//!
//! An uncompressed configuration with hundreds of routes would saturate the links of the daemons
//! that relay it.

use std::fmt;

use bytes::Bytes;

/// Largest size in bytes of a configuration after decompression; the store accepts records of up to
/// 256 KiB.
const MAX_CONFIG_SIZE: usize = 4 * 1024 * 1024;

/// Length in bytes of the size that precedes the compressed bytes.
const SIZE_PREFIX_LEN: usize = 4;

/// Why compressed bytes were rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DecompressError {
    /// The input is shorter than the size prefix.
    MissingSize,
    /// The size prefix, in bytes, exceeds the limit.
    TooLarge(usize),
    /// The bytes are not valid LZ4, or do not decompress to the announced size.
    Corrupt,
}

impl fmt::Display for DecompressError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::MissingSize => f.write_str("size prefix is missing"),
            Self::TooLarge(size) => write!(
                f,
                "size of {size} bytes exceeds the limit of {MAX_CONFIG_SIZE}"
            ),
            Self::Corrupt => f.write_str("compressed bytes are corrupt"),
        }
    }
}

/// Compresses bytes with LZ4 and prepends their original size as a little-endian `u32`.
pub fn compress_config(bytes: &[u8]) -> Bytes {
    lz4_flex::block::compress_prepend_size(bytes).into()
}

/// Decompresses the output of [`compress_config`].
///
/// # Errors
/// When the size prefix is missing or above the limit, or the bytes are corrupt.
pub fn decompress_config(compressed: &[u8]) -> Result<Bytes, DecompressError> {
    let (size, compressed) = compressed
        .split_first_chunk::<SIZE_PREFIX_LEN>()
        .ok_or(DecompressError::MissingSize)?;
    let size = usize::try_from(u32::from_le_bytes(*size)).unwrap_or(usize::MAX);
    if size > MAX_CONFIG_SIZE {
        return Err(DecompressError::TooLarge(size));
    }
    let decompressed =
        lz4_flex::block::decompress(compressed, size).map_err(|_| DecompressError::Corrupt)?;
    Ok(decompressed.into())
}
