//! Reads bodies piece by piece from a receive buffer.

use bytes::{Buf, Bytes, BytesMut};

use crate::{Framing, HttpError};

/// Maximum number of bytes of a chunk's extensions. They are ignored (RFC 9112, 7.1.1).
const MAX_EXTENSIONS: usize = 16 << 10;
/// Maximum number of bytes of the fields after the last chunk, which are ignored.
const MAX_TRAILER: usize = 64 << 10;
/// Maximum number of data bytes of a chunk. The chunks of a response hold a few events; a larger size is a mistake or
/// an attack.
const MAX_CHUNK: u64 = 1 << 20;
/// Maximum number of digits of a chunk's size behind leading zeros, so that the size fits into 32 bits.
const MAX_SIZE_DIGITS: usize = 8;
/// Maximum number of digits of a chunk's size with leading zeros.
const MAX_PADDED_SIZE_DIGITS: usize = 256;

/// The part of a body that comes next.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum BodyState {
    /// The remaining bytes of a body with a known length.
    Plain(u64),
    /// All bytes up to the end of the connection.
    ToEnd,
    /// The size of a chunk.
    ChunkSize,
    /// The rest of a size line, after this size, with the number of its bytes that have been read.
    Extensions(u64, usize),
    /// The remaining data bytes of a chunk.
    ChunkData(u64),
    /// The line break after a chunk.
    ChunkEnd,
    /// The fields after the last chunk: the number of bytes read of complete lines, and of the line that is being read.
    Trailer(usize, usize),
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
                state => match Self::after_framing(state, buffer)? {
                    next if next == state => return Ok(None),
                    next => self.state = next,
                },
            }
        }
    }

    /// Removes received bytes that frame the chunks, and returns the state after them: the same state if more have to
    /// arrive first.
    fn after_framing(state: BodyState, buffer: &mut BytesMut) -> Result<BodyState, HttpError> {
        match state {
            BodyState::ChunkEnd if take_chunk_end(buffer)? => Ok(BodyState::ChunkSize),
            BodyState::ChunkSize => {
                Ok(take_chunk_size(buffer)?.map_or(state, |size| BodyState::Extensions(size, 0)))
            }
            BodyState::Extensions(size, read) => {
                let line = discard_line(buffer, read, MAX_EXTENSIONS, HttpError::ChunkSize)?;
                Ok(match line {
                    DiscardedLine::Incomplete(read) => BodyState::Extensions(size, read),
                    DiscardedLine::Complete(_) if size == 0 => BodyState::Trailer(0, 0),
                    DiscardedLine::Complete(_) => BodyState::ChunkData(size),
                })
            }
            BodyState::Trailer(lines, read) => {
                let line = discard_line(buffer, read, MAX_TRAILER - lines, HttpError::ChunkEnd)?;
                Ok(match line {
                    DiscardedLine::Incomplete(read) => BodyState::Trailer(lines, read),
                    DiscardedLine::Complete(0) => BodyState::Complete,
                    DiscardedLine::Complete(length) => BodyState::Trailer(lines + length, 0),
                })
            }
            state => Ok(state),
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

/// Removes a chunk's size, which is hexadecimal digits, and returns it; `None` while it is incomplete.
fn take_chunk_size(buffer: &mut BytesMut) -> Result<Option<u64>, HttpError> {
    let digits = buffer.iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
    let zeros = buffer[..digits].iter().take_while(|&&byte| byte == b'0').count();
    let is_too_long = digits - zeros > MAX_SIZE_DIGITS || digits > MAX_PADDED_SIZE_DIGITS;
    match buffer.get(digits) {
        _ if is_too_long => return Err(HttpError::ChunkSize),
        None => return Ok(None),
        Some(b'\r' | b';' | b' ' | b'\t') if digits > 0 => {}
        Some(_) => return Err(HttpError::ChunkSize),
    }
    let text = std::str::from_utf8(&buffer[zeros..digits]).map_err(|_| HttpError::ChunkSize)?;
    let size = if text.is_empty() { 0 } else { u64::from_str_radix(text, 16).unwrap_or(u64::MAX) };
    if size > MAX_CHUNK {
        return Err(HttpError::ChunkSize);
    }
    buffer.advance(digits);
    Ok(Some(size))
}

/// What [`discard_line`] has discarded, with the number of bytes of the line, its CR LF not counted.
enum DiscardedLine {
    Incomplete(usize),
    Complete(usize),
}

/// Removes the received part of a line of which `read` bytes were removed before. Returns `error` if the line is longer
/// than `max_length` or ends in LF alone. Of an incomplete line, only a CR stays in the buffer.
fn discard_line(
    buffer: &mut BytesMut,
    read: usize,
    max_length: usize,
    error: HttpError,
) -> Result<DiscardedLine, HttpError> {
    let line = match buffer.iter().position(|&byte| byte == b'\n') {
        Some(end) if end == 0 || buffer[end - 1] != b'\r' => return Err(error),
        Some(end) => {
            buffer.advance(end + 1);
            DiscardedLine::Complete(read + end - 1)
        }
        None => {
            let discarded = buffer.len() - usize::from(buffer.ends_with(b"\r"));
            buffer.advance(discarded);
            DiscardedLine::Incomplete(read + discarded)
        }
    };
    match line {
        DiscardedLine::Incomplete(length) | DiscardedLine::Complete(length) if length > max_length => {
            Err(error)
        }
        line => Ok(line),
    }
}
