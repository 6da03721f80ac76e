//! Reads bodies piece by piece from a receive buffer.

use bytes::{Buf, Bytes, BytesMut};

use crate::{Framing, HttpError};

/// Maximum number of bytes of a chunk's size line, with its extensions.
const MAX_SIZE_LINE: usize = 256;
/// Maximum number of bytes of the fields after the last chunk.
const MAX_TRAILER: usize = 4 << 10;
/// Maximum number of data bytes of a chunk. The chunks of a response hold a few events; a larger size is a mistake or
/// an attack.
const MAX_CHUNK: u64 = 1 << 20;
/// Maximum number of digits of a chunk's size, so that the size fits into 32 bits.
const MAX_SIZE_DIGITS: usize = 8;

/// The part of a body that comes next.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum BodyState {
    /// The remaining bytes of a body with a known length.
    Plain(u64),
    /// All bytes up to the end of the connection.
    ToEnd,
    /// The size line of a chunk.
    ChunkSize,
    /// The remaining data bytes of a chunk.
    ChunkData(u64),
    /// The line break after a chunk.
    ChunkEnd,
    /// The fields after the last chunk, with the number of their bytes that have been read.
    Trailer(usize),
    /// Nothing: the body has been read in full.
    Complete,
}

/// A body that is being read.
#[derive(Clone, Debug)]
pub struct Body {
    state: BodyState,
    /// Bytes that may still follow without exceeding `max_length`.
    allowance: u64,
    max_length: u64,
}

/// A piece of a body or chunk, and what remains after it.
struct Piece {
    /// `None` if no bytes have arrived.
    bytes: Option<Bytes>,
    /// Bytes of the body or chunk that are still to be read.
    remaining: u64,
}

impl Body {
    /// Returns a body of which nothing has been read, and which may have at most `max_length` bytes.
    pub fn new(framing: Framing, max_length: u64) -> Body {
        let state = match framing {
            Framing::Length(0) => BodyState::Complete,
            Framing::Length(length) => BodyState::Plain(length),
            Framing::Chunked => BodyState::ChunkSize,
            Framing::ToEnd => BodyState::ToEnd,
        };
        Body { state, allowance: max_length, max_length }
    }

    /// Returns whether the body has been read in full.
    pub fn done(&self) -> bool {
        self.state == BodyState::Complete
    }

    /// Returns whether the body is complete if the connection ends now.
    pub fn may_end(&self) -> bool {
        matches!(self.state, BodyState::Complete | BodyState::ToEnd)
    }

    /// Removes the next piece of the body from the buffer; `None` if no further piece has arrived, or the body is
    /// complete. Bytes that follow the body stay in the buffer.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, HttpError> {
        loop {
            match self.state {
                BodyState::Complete => return Ok(None),
                BodyState::ToEnd => return Ok(self.piece(buffer, u64::MAX)?.bytes),
                BodyState::Plain(length) => {
                    let piece = self.piece(buffer, length)?;
                    self.state = match piece.remaining {
                        0 => BodyState::Complete,
                        remaining => BodyState::Plain(remaining),
                    };
                    return Ok(piece.bytes);
                }
                BodyState::ChunkData(length) => {
                    let piece = self.piece(buffer, length)?;
                    self.state = match piece.remaining {
                        0 => BodyState::ChunkEnd,
                        remaining => BodyState::ChunkData(remaining),
                    };
                    return Ok(piece.bytes);
                }
                BodyState::ChunkEnd | BodyState::ChunkSize | BodyState::Trailer(_) => {
                    match self.next_line(buffer)? {
                        Some(state) => self.state = state,
                        None => return Ok(None),
                    }
                }
            }
        }
    }

    /// Removes the next line and returns the state after it; `None` while the line is incomplete.
    fn next_line(&self, buffer: &mut BytesMut) -> Result<Option<BodyState>, HttpError> {
        match self.state {
            BodyState::ChunkEnd => Ok(take_chunk_end(buffer)?.then_some(BodyState::ChunkSize)),
            BodyState::ChunkSize => Ok(take_chunk_size(buffer)?.map(|size| match size {
                0 => BodyState::Trailer(0),
                size => BodyState::ChunkData(size),
            })),
            BodyState::Trailer(read) => {
                let line = take_line(buffer, MAX_TRAILER - read, HttpError::ChunkEnd)?;
                Ok(line.map(|line| match line.len() {
                    0 => BodyState::Complete,
                    length => BodyState::Trailer(read + length),
                }))
            }
            state => Ok(Some(state)),
        }
    }

    /// Removes as many bytes from the buffer as belong to a body or chunk of which `length` bytes remain.
    fn piece(&mut self, buffer: &mut BytesMut, length: u64) -> Result<Piece, HttpError> {
        let removed = length.min(buffer.len() as u64);
        self.allowance =
            self.allowance.checked_sub(removed).ok_or(HttpError::BodyTooLarge(self.max_length))?;
        let bytes = (removed > 0).then(|| buffer.split_to(removed as usize).freeze());
        Ok(Piece { bytes, remaining: length - removed })
    }
}

/// Removes the line break after a chunk; returns false while it is incomplete.
fn take_chunk_end(buffer: &mut BytesMut) -> Result<bool, HttpError> {
    match buffer.get(..2) {
        Some(b"\r\n") => {
            buffer.advance(2);
            Ok(true)
        }
        None if b"\r\n".starts_with(buffer) => Ok(false),
        _ => Err(HttpError::ChunkEnd),
    }
}

/// Removes a chunk's size line and returns the size; `None` while the line is incomplete. The line holds hexadecimal
/// digits, optionally followed by extensions, which are ignored (RFC 9112, 7.1.1).
fn take_chunk_size(buffer: &mut BytesMut) -> Result<Option<u64>, HttpError> {
    // A size line begins with a digit; other input is rejected at its first byte.
    let digits = buffer.iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
    let ends_badly = buffer.get(digits).is_some_and(|byte| !matches!(byte, b'\r' | b';' | b' ' | b'\t'));
    if digits > MAX_SIZE_DIGITS || ends_badly || (digits == 0 && !buffer.is_empty()) {
        return Err(HttpError::ChunkSize);
    }
    let Some(line) = take_line(buffer, MAX_SIZE_LINE, HttpError::ChunkSize)? else { return Ok(None) };
    let text = std::str::from_utf8(&line[..digits]).map_err(|_| HttpError::ChunkSize)?;
    let size = u64::from_str_radix(text, 16).map_err(|_| HttpError::ChunkSize)?;
    if size > MAX_CHUNK {
        return Err(HttpError::ChunkSize);
    }
    Ok(Some(size))
}

/// Removes a line with its CR LF and returns it without them; `None` while it is incomplete. Returns `error` if the
/// line is longer than `max_length` or ends in LF alone.
fn take_line(buffer: &mut BytesMut, max_length: usize, error: HttpError) -> Result<Option<Bytes>, HttpError> {
    match buffer.iter().take(max_length).position(|&byte| byte == b'\n') {
        Some(end) if end > 0 && buffer[end - 1] == b'\r' => {
            let mut line = buffer.split_to(end + 1);
            line.truncate(end - 1);
            Ok(Some(line.freeze()))
        }
        None if buffer.len() < max_length => Ok(None),
        _ => Err(error),
    }
}
