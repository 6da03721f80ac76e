//! The framing of every message.

use bytes::{Bytes, BytesMut};
use tideroute_wire::frame;

use crate::{from_hex, to_hex};

#[test]
fn a_frame_is_a_varint_length_and_the_body() {
    let mut stream = BytesMut::new();
    frame::put(&mut stream, b"abc");
    assert_eq!(to_hex(&stream), "03616263");
    stream.clear();
    frame::put(&mut stream, &[7; 300]);
    assert_eq!(to_hex(&stream[..4]), "ac020707");
    let mut buffer = BytesMut::from(&from_hex("0361626300")[..]);
    assert_eq!(frame::next(&mut buffer), Ok(Some(Bytes::from_static(b"abc"))));
    assert_eq!(frame::next(&mut buffer), Ok(Some(Bytes::new())));
    assert_eq!(frame::next(&mut buffer), Ok(None));
}
