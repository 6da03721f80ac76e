//! Frames: a length as a varint (at most ten bytes), then so many bytes.

use bytes::{Buf, BufMut, Bytes, BytesMut};

use crate::Malformed;

/// Bytes of the largest frame that is accepted or sent. A prompt of 200,000 tokens at four bytes each fits.
pub const LARGEST: usize = 1 << 20;

/// Bytes of the longest varint.
const MAX_VARINT: usize = 10;

/// Takes the next complete frame off the front of what has arrived; None while it is incomplete.
pub fn next(buffer: &mut BytesMut) -> Result<Option<Bytes>, Malformed> {
    let mut length = 0u64;
    let mut used = 0;
    loop {
        let Some(&byte) = buffer.get(used) else { return Ok(None) };
        // The tenth byte has room for one bit of a u64.
        if used == MAX_VARINT - 1 && byte > 1 {
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
    if buffer.len() < used + length as usize {
        return Ok(None);
    }
    buffer.advance(used);
    Ok(Some(buffer.split_to(length as usize).freeze()))
}

/// Appends a frame to what is to be sent.
pub fn put(output: &mut BytesMut, body: &[u8]) {
    let mut length = body.len() as u64;
    output.reserve(body.len() + MAX_VARINT);
    while length >= 0x80 {
        output.put_u8(length as u8 | 0x80);
        length >>= 7;
    }
    output.put_u8(length as u8);
    output.put_slice(body);
}
