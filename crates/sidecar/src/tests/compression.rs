//! Round trip of compressed configurations, and rejection of malformed input.

use std::fmt::Write;

use crate::compression::DecompressError;
use crate::compression::compress_config;
use crate::compression::decompress_config;

#[test]
fn configurations_round_trip_and_shrink_to_less_than_a_third() {
    let mut routes = String::new();
    for route in 0..800 {
        let kind = r#""Kind":"idempotent""#;
        write!(
            routes,
            r#""route-{route}":{{"PathPrefix":"/x/{route}/",{kind}}},"#
        )
        .unwrap();
    }
    for text in ["", "x", routes.as_str()] {
        let compressed = compress_config(text.as_bytes());
        assert_eq!(
            decompress_config(&compressed).as_deref(),
            Ok(text.as_bytes())
        );
    }
    assert!(compress_config(routes.as_bytes()).len() * 3 < routes.len());
}

#[test]
fn malformed_compressed_configurations_are_rejected() {
    let check = |compressed: &[u8], expected: DecompressError| {
        assert_eq!(
            decompress_config(compressed),
            Err(expected),
            "{compressed:?}"
        );
    };
    check(&[], DecompressError::MissingSize);
    check(&[1, 0, 0], DecompressError::MissingSize);
    check(
        &[255, 255, 255, 255, 1],
        DecompressError::TooLarge(u32::MAX as usize),
    );
    check(&[9, 0, 0, 0, 0xf0], DecompressError::Corrupt);
}
