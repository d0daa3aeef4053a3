//! Tests of the decoder of chunked bodies.

use crate::chunks::ChunkDecoder;
use crate::chunks::ChunkError;

const MAX_BODY_BYTES: usize = 1000;

/// A body, and the bytes after it.
type Whole = (Vec<u8>, Vec<u8>);

/// Decodes bytes that come in pieces; `None` if the body has no end.
fn decode(bytes: &[u8], piece: usize) -> Result<Option<Whole>, ChunkError> {
    let mut decoder = ChunkDecoder::new(MAX_BODY_BYTES);
    let mut body = Vec::new();
    for start in (0..bytes.len()).step_by(piece) {
        let mut buf = bytes[start..bytes.len().min(start + piece)].to_vec();
        let step = decoder.decode(&mut buf)?;
        body.extend_from_slice(&buf[..step.body]);
        if step.is_done {
            return Ok(Some((body, bytes[start + step.used..].to_vec())));
        }
        assert_eq!(step.used, buf.len());
    }
    Ok(None)
}

#[test]
fn chunks_are_joined_wherever_their_bytes_are_split() {
    let check = |text: &str, body: &str, rest: &str| {
        for piece in 1..=text.len() {
            let (got, left) = decode(text.as_bytes(), piece).unwrap().unwrap();
            assert_eq!(got, body.as_bytes(), "{text:?} by {piece}");
            assert_eq!(left, rest.as_bytes(), "{text:?} by {piece}");
        }
    };
    check("0\r\n\r\n", "", "");
    check("5\r\nhello\r\n0\r\n\r\n", "hello", "");
    check(
        "00A\r\n0123456789\r\n1\r\n\n\r\n0\r\n\r\n",
        "0123456789\n",
        "",
    );
    check(
        "1\r\na\r\n1\r\nb\r\n1\r\nc\r\n0\r\n\r\nGET /",
        "abc",
        "GET /",
    );
}

#[test]
fn what_is_no_chunk_is_refused() {
    let check = |text: &str, want: ChunkError| {
        for piece in 1..=text.len() {
            assert_eq!(decode(text.as_bytes(), piece), Err(want), "{text:?}");
        }
    };
    check("\r\n", ChunkError::Malformed);
    check("+5\r\nhello\r\n", ChunkError::Malformed);
    check("5;a=b\r\nhello\r\n", ChunkError::Malformed);
    check("5\nhello\r\n", ChunkError::Malformed);
    check("5\r\nhello!\r\n", ChunkError::Malformed);
    check("5\r\nhello0\r\n", ChunkError::Malformed);
    check("0\r\na: b\r\n\r\n", ChunkError::Malformed);
    check("00000000000000001\r\n", ChunkError::Malformed);
    check("3e9\r\n", ChunkError::TooLarge);
    check("ffffffffffffffff\r\n", ChunkError::TooLarge);
}

#[test]
fn a_body_of_the_largest_size_is_complete() {
    let text = format!("3e8\r\n{}\r\n0\r\n\r\n", "x".repeat(MAX_BODY_BYTES));
    let (body, _) = decode(text.as_bytes(), 7).unwrap().unwrap();
    assert_eq!(body.len(), MAX_BODY_BYTES);
    let more = format!(
        "3e8\r\n{}\r\n1\r\nx\r\n0\r\n\r\n",
        "x".repeat(MAX_BODY_BYTES)
    );
    assert_eq!(decode(more.as_bytes(), 7), Err(ChunkError::TooLarge));
    assert_eq!(decode(b"5\r\nhell", 7), Ok(None));
}
