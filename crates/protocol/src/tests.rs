//! Round trips of messages.

use std::time::Duration;

use crate::call::AttemptId;
use crate::call::Resolve;
use crate::codec;

#[test]
fn header_text_survives_a_round_trip() {
    let resolve = Resolve {
        attempt: AttemptId {
            caller: "suva-a-1".into(),
            incarnation: 7,
            sequence: 9,
        },
        incarnation: 3,
        remaining: Duration::from_millis(250),
    };
    let text = codec::encode_text(&resolve);
    assert_eq!(codec::decode_text::<Resolve>(&text), Ok(resolve));
    assert!(codec::decode_text::<Resolve>("%").is_err());
}
