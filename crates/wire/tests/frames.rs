//! Frames in a stream of bytes.

use bytes::{BufMut, Bytes, BytesMut};
use tideroute_wire::frame::{next, put};
use tideroute_wire::Malformed;

#[test]
fn a_frame_arrives_complete_however_the_stream_is_cut() {
    for size in [0, 1, 127, 128, 300, 20_000] {
        let body: Vec<u8> = (0..size).map(|i| i as u8).collect();
        let mut wire = BytesMut::new();
        put(&mut wire, &body);
        put(&mut wire, b"next");
        let (mut buffer, mut frames) = (BytesMut::new(), vec![]);
        for byte in wire {
            buffer.put_u8(byte);
            frames.extend(next(&mut buffer).unwrap());
        }
        assert_eq!(frames, [Bytes::from(body), Bytes::from_static(b"next")]);
    }
}

#[test]
fn lengths_out_of_range_are_refused() {
    let mut wire = BytesMut::from(&[0xff; 12][..]);
    assert_eq!(next(&mut wire), Err(Malformed::Length));
    let mut wire = BytesMut::from(&[0xff, 0xff, 0xff, 0x7f][..]);
    assert!(matches!(next(&mut wire), Err(Malformed::Oversized(..))));
}
