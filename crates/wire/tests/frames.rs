//! Splitting of a byte stream into frames.

use bytes::{BufMut, Bytes, BytesMut};
use tideroute_wire::frame::{next, put};
use tideroute_wire::Malformed;

#[test]
fn a_frame_is_complete_however_the_stream_is_split() {
    for size in [0, 1, 127, 128, 300, 20_000] {
        let body: Vec<u8> = (0..size).map(|index| index as u8).collect();
        let mut stream = BytesMut::new();
        put(&mut stream, &body);
        put(&mut stream, b"next");
        let (mut buffer, mut frames) = (BytesMut::new(), vec![]);
        for byte in stream {
            buffer.put_u8(byte);
            frames.extend(next(&mut buffer).unwrap());
        }
        assert_eq!(frames, [Bytes::from(body), Bytes::from_static(b"next")]);
    }
}

#[test]
fn invalid_and_too_large_frame_lengths_are_refused() {
    let mut stream = BytesMut::from(&[0xff; 12][..]);
    assert_eq!(next(&mut stream), Err(Malformed::Length));
    let mut stream = BytesMut::from(&[0xff, 0xff, 0xff, 0x7f][..]);
    assert!(matches!(next(&mut stream), Err(Malformed::Oversized(..))));
}
