//! Bodies, taken piece by piece out of what arrives.

use bytes::{Buf, Bytes, BytesMut};

use crate::{Framing, HttpError};

/// Bytes of one chunk's size line with its extensions.
const MAX_SIZE_LINE: usize = 256;
/// Bytes of the fields after the last chunk.
const MAX_TRAILER: usize = 4 << 10;
/// Bytes of one chunk: a response's chunks hold a few events. A larger size is a mistake or an attack.
const MAX_CHUNK: u64 = 1 << 20;
/// Digits of a chunk's size, which then fits into 32 bits.
const MAX_SIZE_DIGITS: usize = 8;

/// What comes next of a body.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum BodyState {
    /// So many bytes, and then the end.
    Plain(u64),
    /// Bytes up to the end of the connection.
    ToEnd,
    /// The size line of a chunk.
    ChunkSize,
    /// So many bytes of a chunk.
    ChunkData(u64),
    /// The line break after a chunk.
    ChunkEnd,
    /// The fields after the last chunk, of which so many bytes have been read.
    Trailer(usize),
    /// Nothing.
    Complete,
}

/// A body of which some may still be to come.
#[derive(Clone, Debug)]
pub struct Body {
    state: BodyState,
    /// Bytes that it may still have.
    allowance: u64,
    max_length: u64,
}

/// What a piece of a stretch leaves.
struct Piece {
    /// None if nothing has arrived.
    bytes: Option<Bytes>,
    /// Bytes of the stretch that are still to come.
    remaining: u64,
}

impl Body {
    /// A body of which nothing has been read, with at most so many bytes.
    pub fn new(framing: Framing, max_length: u64) -> Body {
        let state = match framing {
            Framing::Length(0) => BodyState::Complete,
            Framing::Length(length) => BodyState::Plain(length),
            Framing::Chunked => BodyState::ChunkSize,
            Framing::ToEnd => BodyState::ToEnd,
        };
        Body { state, allowance: max_length, max_length }
    }

    /// Whether all of it has been read.
    pub fn done(&self) -> bool {
        self.state == BodyState::Complete
    }

    /// Whether the body is complete if the connection ends now.
    pub fn may_end(&self) -> bool {
        matches!(self.state, BodyState::Complete | BodyState::ToEnd)
    }

    /// Takes the next piece of the body off what has arrived; None if there is none yet, or none any more. What
    /// follows the body is left there.
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

    /// The state after the line that comes next; None while the line is incomplete.
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

    /// As much of what has arrived as is part of a stretch of `length` bytes.
    fn piece(&mut self, buffer: &mut BytesMut, length: u64) -> Result<Piece, HttpError> {
        let taken = length.min(buffer.len() as u64);
        self.allowance = self.allowance.checked_sub(taken).ok_or(HttpError::BodyTooLarge(self.max_length))?;
        let bytes = (taken > 0).then(|| buffer.split_to(taken as usize).freeze());
        Ok(Piece { bytes, remaining: length - taken })
    }
}

/// Takes the line break after a chunk; false while it is incomplete.
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

/// Takes a chunk's size line: hexadecimal digits, then at most extensions, which are ignored (RFC 9112, 7.1.1).
fn take_chunk_size(buffer: &mut BytesMut) -> Result<Option<u64>, HttpError> {
    // A line can begin with a digit only: noise is refused at its first byte.
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

/// Takes a line up to CR LF, which is taken off too; None while it is incomplete, the error if it is longer than
/// `max_length` or ends otherwise.
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
