//! Bodies, taken out of what arrives piece by piece.

use bytes::{Buf, Bytes, BytesMut};

use crate::{Framing, Problem};

/// Bytes of one chunk's size line, its extensions with it; and of the fields after the last chunk.
const SIZE_LINE: usize = 256;
const TRAILER: usize = 4 << 10;
/// Bytes of one chunk: an answer's chunks hold a few events. A larger size is a mistake or a trap.
const CHUNK: u64 = 1 << 20;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum At {
    Plain(u64),
    ToEnd,
    Size,
    Data(u64),
    DataEnd,
    Trailer(usize),
    Done,
}

/// A body of which some may still be to come.
#[derive(Clone, Debug)]
pub struct Body {
    at: At,
    /// Bytes that it may still have.
    left: u64,
    most: u64,
}

impl Body {
    pub fn new(framing: Framing, most: u64) -> Body {
        let at = match framing {
            Framing::Length(0) => At::Done,
            Framing::Length(length) => At::Plain(length),
            Framing::Chunked => At::Size,
            Framing::ToEnd => At::ToEnd,
        };
        Body { at, left: most, most }
    }

    pub fn done(&self) -> bool {
        self.at == At::Done
    }

    /// Whether the end of the connection now ends the body well.
    pub fn may_end(&self) -> bool {
        matches!(self.at, At::Done | At::ToEnd)
    }

    /// Takes the next piece of the body off what has arrived; None if there is none yet, or none any more. What
    /// comes behind the body is left there.
    pub fn next(&mut self, arrived: &mut BytesMut) -> Result<Option<Bytes>, Problem> {
        loop {
            match self.at {
                At::Done => return Ok(None),
                At::ToEnd => return self.piece(arrived, u64::MAX).map(|(piece, _)| piece),
                At::Plain(length) => {
                    let (piece, left) = self.piece(arrived, length)?;
                    self.at = if left == 0 { At::Done } else { At::Plain(left) };
                    return Ok(piece);
                }
                At::Data(length) => {
                    let (piece, left) = self.piece(arrived, length)?;
                    self.at = if left == 0 { At::DataEnd } else { At::Data(left) };
                    return Ok(piece);
                }
                At::DataEnd => {
                    let Some(end) = arrived.get(..2) else {
                        let fits = b"\r\n".starts_with(arrived);
                        return if fits { Ok(None) } else { Err(Problem::ChunkEnd) };
                    };
                    if end != b"\r\n" {
                        return Err(Problem::ChunkEnd);
                    }
                    arrived.advance(2);
                    self.at = At::Size;
                }
                At::Size => {
                    let Some(size) = size(arrived)? else { return Ok(None) };
                    self.at = if size == 0 { At::Trailer(0) } else { At::Data(size) };
                }
                At::Trailer(seen) => {
                    let Some(line) = line(arrived, TRAILER - seen, Problem::ChunkEnd)? else {
                        return Ok(None);
                    };
                    self.at = if line.is_empty() { At::Done } else { At::Trailer(seen + line.len()) };
                }
            }
        }
    }

    /// So much of what has arrived as is part of a stretch of `length` bytes, and what is left of that.
    fn piece(&mut self, arrived: &mut BytesMut, length: u64) -> Result<(Option<Bytes>, u64), Problem> {
        let take = length.min(arrived.len() as u64);
        self.left = self.left.checked_sub(take).ok_or(Problem::BodyTooLarge(self.most))?;
        let piece = (take > 0).then(|| arrived.split_to(take as usize).freeze());
        Ok((piece, length - take))
    }
}

/// A chunk's size line: hexadecimal digits, then at most extensions, which are passed over (RFC 9112, 7.1.1).
fn size(arrived: &mut BytesMut) -> Result<Option<u64>, Problem> {
    // Nothing but a digit can begin one: noise is known at its first byte.
    let digits = arrived.iter().take_while(|b| b.is_ascii_hexdigit()).count();
    let bad = arrived.get(digits).is_some_and(|b| !matches!(b, b'\r' | b';' | b' ' | b'\t'));
    if digits > 8 || bad || (digits == 0 && !arrived.is_empty()) {
        return Err(Problem::ChunkSize);
    }
    let Some(line) = line(arrived, SIZE_LINE, Problem::ChunkSize)? else { return Ok(None) };
    let text = std::str::from_utf8(&line[..digits]).map_err(|_| Problem::ChunkSize)?;
    let size = u64::from_str_radix(text, 16).map_err(|_| Problem::ChunkSize)?;
    if size > CHUNK {
        return Err(Problem::ChunkSize);
    }
    Ok(Some(size))
}

/// A line up to CR LF, which is taken off too; None while it is incomplete.
fn line(arrived: &mut BytesMut, most: usize, problem: Problem) -> Result<Option<Bytes>, Problem> {
    match arrived.iter().take(most).position(|&b| b == b'\n') {
        Some(end) if end > 0 && arrived[end - 1] == b'\r' => {
            let mut line = arrived.split_to(end + 1);
            line.truncate(end - 1);
            Ok(Some(line.freeze()))
        }
        None if arrived.len() < most => Ok(None),
        _ => Err(problem),
    }
}
