//! Tests of the header codec.

use std::time::Duration;

use crate::call::AttemptId;
use crate::call::ResolveRequest;
use crate::codec;

#[test]
fn header_value_round_trips_and_rejects_invalid_base64() {
    let resolve = ResolveRequest {
        attempt: AttemptId {
            caller: "suva-a-1".into(),
            incarnation: 7,
            sequence: 9,
        },
        incarnation: 3,
        remaining: Duration::from_millis(250),
    };
    let text = codec::encode_header_value(&resolve);
    assert_eq!(
        codec::decode_header_value::<ResolveRequest>(&text),
        Ok(resolve)
    );
    assert!(codec::decode_header_value::<ResolveRequest>("%").is_err());
}
