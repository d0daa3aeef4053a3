//! Configurations survive the way, and odd bytes are refused.

use std::fmt::Write;

use crate::packed::PackError;
use crate::packed::pack;
use crate::packed::unpack;

#[test]
fn what_is_packed_is_unpacked_and_many_routes_take_little() {
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
        let packed = pack(text.as_bytes());
        assert_eq!(unpack(&packed).as_deref(), Ok(text.as_bytes()));
    }
    assert!(pack(routes.as_bytes()).len() * 3 < routes.len());
}

#[test]
fn odd_bytes_are_refused() {
    let check = |packed: &[u8], expected: PackError| {
        assert_eq!(unpack(packed), Err(expected), "{packed:?}");
    };
    check(&[], PackError::Short);
    check(&[1, 0, 0], PackError::Short);
    check(
        &[255, 255, 255, 255, 1],
        PackError::TooLarge(u32::MAX as usize),
    );
    check(&[9, 0, 0, 0, 0xf0], PackError::Damaged);
}
