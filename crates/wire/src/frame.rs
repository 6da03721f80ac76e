//! Framing: each frame is the length of its body as a varint of at most ten bytes, then the body.

use bytes::{Buf, BufMut, Bytes, BytesMut};

use crate::Malformed;

/// Largest length of a frame's body in bytes. A prompt of 200,000 tokens at four bytes each fits.
pub const MAX_LENGTH: usize = 1 << 20;

/// Largest length of a varint in bytes.
const MAX_VARINT_LENGTH: usize = 10;

/// Removes the first frame from the received bytes and returns its body, or `None` while the frame is incomplete.
pub fn next(buffer: &mut BytesMut) -> Result<Option<Bytes>, Malformed> {
    let mut length = 0u64;
    let mut used = 0;
    loop {
        let Some(&byte) = buffer.get(used) else { return Ok(None) };
        // Nine bytes hold 63 bits of a u64, so the tenth byte holds only one.
        if used == MAX_VARINT_LENGTH - 1 && byte > 1 {
            return Err(Malformed::Length);
        }
        length |= u64::from(byte & 0x7f) << (7 * used);
        used += 1;
        if byte & 0x80 == 0 {
            break;
        }
    }
    if length > MAX_LENGTH as u64 {
        return Err(Malformed::Oversized(length, MAX_LENGTH));
    }
    if buffer.len() < used + length as usize {
        return Ok(None);
    }
    buffer.advance(used);
    Ok(Some(buffer.split_to(length as usize).freeze()))
}

/// Appends a frame with this body to the bytes to be sent.
pub fn put(output: &mut BytesMut, body: &[u8]) {
    let mut length = body.len() as u64;
    output.reserve(body.len() + MAX_VARINT_LENGTH);
    while length >= 0x80 {
        output.put_u8(length as u8 | 0x80);
        length >>= 7;
    }
    output.put_u8(length as u8);
    output.put_slice(body);
}
