//! Frames: a length as a varint (at most ten bytes), then so many bytes.

use bytes::{Buf, BufMut, Bytes, BytesMut};

use crate::Malformed;

/// Bytes: the largest frame taken or sent. A prompt of 200,000 tokens at four bytes each fits.
pub const LARGEST: usize = 1 << 20;

/// Takes the next whole frame off the front of what has arrived; None while it is incomplete.
pub fn next(arrived: &mut BytesMut) -> Result<Option<Bytes>, Malformed> {
    let (mut length, mut used) = (0u64, 0);
    loop {
        let Some(&byte) = arrived.get(used) else { return Ok(None) };
        if used == 9 && byte > 1 {
            return Err(Malformed::Length);
        }
        length |= u64::from(byte & 0x7f) << (7 * used);
        used += 1;
        if byte & 0x80 == 0 {
            break;
        }
    }
    if length > LARGEST as u64 {
        return Err(Malformed::Oversized(length, LARGEST));
    }
    if arrived.len() < used + length as usize {
        return Ok(None);
    }
    arrived.advance(used);
    Ok(Some(arrived.split_to(length as usize).freeze()))
}

/// Puts a frame behind what is to be sent.
pub fn put(out: &mut BytesMut, body: &[u8]) {
    let mut length = body.len() as u64;
    out.reserve(body.len() + 10);
    while length >= 0x80 {
        out.put_u8(length as u8 | 0x80);
        length >>= 7;
    }
    out.put_u8(length as u8);
    out.put_slice(body);
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_frame_comes_whole_however_it_was_cut() {
        for size in [0, 1, 127, 128, 300, 20_000] {
            let body: Vec<u8> = (0..size).map(|i| i as u8).collect();
            let mut wire = BytesMut::new();
            put(&mut wire, &body);
            put(&mut wire, b"next");
            let (mut arrived, mut frames) = (BytesMut::new(), vec![]);
            for byte in wire {
                arrived.put_u8(byte);
                frames.extend(next(&mut arrived).unwrap());
            }
            assert_eq!(frames, [Bytes::from(body), Bytes::from_static(b"next")]);
        }
    }

    #[test]
    fn lengths_that_lie_are_refused() {
        let mut wire = BytesMut::from(&[0xff; 12][..]);
        assert_eq!(next(&mut wire), Err(Malformed::Length));
        let mut wire = BytesMut::from(&[0xff, 0xff, 0xff, 0x7f][..]);
        assert!(matches!(next(&mut wire), Err(Malformed::Oversized(..))));
    }
}
