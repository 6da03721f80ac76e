//! Checks the lines of an event stream as they pass through. A stream whose framing is wrong continues with bytes that are
//! no events, such as the sizes of the chunks that follow; they must not reach the client.
//!
//! Format: HTML Living Standard, 9.2.5, "Parsing an event stream".

use bytes::{Bytes, BytesMut};

/// Maximum number of bytes of an event: no more than a body may have by the protocol.
const MAX_EVENT_BYTES: usize = 256 << 10;
/// What a line begins with that is not empty: a field's name, or the colon of a comment.
const LINE_STARTS: [&[u8]; 5] = [b":", b"data:", b"event:", b"id:", b"retry:"];
/// The lines that end a response, with and without the blank behind the colon.
const TERMINATORS: [&[u8]; 2] = [b"data: [DONE]", b"data:[DONE]"];
/// Number of bytes kept of a line, which tell a terminator from longer lines.
const KEPT_LINE_BYTES: usize = 13;
/// Maximum number of bytes of empty lines between two events that are held back until the next line is known. The line
/// break behind a chunk, taken for data, is such an empty line.
const MAX_HELD_LINE_BREAKS: usize = 64;

/// Where in the stream the next byte belongs.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
enum Position {
    /// In the first bytes of a line, of which the kind is not known yet, or in empty lines between events.
    #[default]
    LineStart,
    /// In a field or a comment.
    InLine,
    /// Behind a CR that has ended a line; a LF belongs to it.
    AfterCarriageReturn,
}

/// A stream of which some bytes have been checked.
#[derive(Clone, Debug, Default)]
pub struct EventStream {
    position: Position,
    /// The first bytes of the line that is being received.
    line: BytesMut,
    /// Bytes of the event that is being received.
    event_bytes: usize,
    has_complete_event: bool,
    /// Whether the last field that was received is the terminator.
    is_terminated: bool,
}

/// The result of checking a piece of a stream.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct CheckedPiece {
    /// The bytes that can be forwarded: all up to the start of a line that is invalid or not yet known to be valid, without
    /// empty lines before it.
    pub valid: Bytes,
    /// Whether an invalid line follows, after which the stream cannot be used.
    pub is_invalid: bool,
}

impl EventStream {
    /// Returns whether an event, or a comment, is complete.
    pub fn has_complete_event(&self) -> bool {
        self.has_complete_event
    }

    /// Returns whether the stream can end here: not within the start of a line.
    pub fn is_between_lines(&self) -> bool {
        self.position != Position::LineStart || self.line.iter().all(|&byte| is_line_break(byte))
    }

    /// Returns whether the event that ends a response is complete, and no other event has begun.
    pub fn is_terminated(&self) -> bool {
        self.is_terminated && self.event_bytes == 0
    }

    /// Checks the next piece of the stream. After an invalid one, the stream must not be used any more.
    pub fn check(&mut self, piece: Bytes) -> CheckedPiece {
        let unchecked = match self.position {
            Position::LineStart if !self.line.is_empty() => [&self.line[..], &piece].concat().into(),
            _ => piece,
        };
        if self.position == Position::LineStart {
            self.line.clear();
        }
        let mut checked = 0;
        let mut is_invalid = false;
        while checked < unchecked.len() && !is_invalid {
            match self.next_part(&unchecked[checked..]) {
                Part::Valid(length) => {
                    checked += length;
                    is_invalid = self.event_bytes > MAX_EVENT_BYTES;
                }
                Part::Undecided => break,
                Part::Invalid => is_invalid = true,
            }
        }
        CheckedPiece { valid: unchecked.slice(..checked), is_invalid }
    }

    /// Checks the bytes up to the next change of the position.
    fn next_part(&mut self, bytes: &[u8]) -> Part {
        match (self.position, bytes.first()) {
            (Position::AfterCarriageReturn, Some(b'\n')) => {
                self.position = Position::LineStart;
                Part::Valid(1)
            }
            (Position::InLine, _) => self.rest_of_line(bytes),
            (_, Some(&end)) if is_line_break(end) && self.event_bytes > 0 => {
                // An empty line ends the event.
                self.event_bytes = 0;
                self.has_complete_event = true;
                self.after_line_end(end);
                Part::Valid(1)
            }
            _ => self.line_start(bytes),
        }
    }

    fn line_start(&mut self, bytes: &[u8]) -> Part {
        self.position = Position::LineStart;
        let line_breaks = bytes.iter().take_while(|&&byte| is_line_break(byte)).count();
        if line_breaks > MAX_HELD_LINE_BREAKS {
            return Part::Valid(line_breaks);
        }
        let line = &bytes[line_breaks..];
        if let Some(start) = LINE_STARTS.iter().find(|start| line.starts_with(start)) {
            self.position = Position::InLine;
            self.event_bytes += start.len();
            self.line.extend_from_slice(start);
            return Part::Valid(line_breaks + start.len());
        }
        if LINE_STARTS.iter().any(|start| start.starts_with(line)) {
            self.line.extend_from_slice(bytes);
            return Part::Undecided;
        }
        Part::Invalid
    }

    fn rest_of_line(&mut self, bytes: &[u8]) -> Part {
        let line_end = bytes.iter().position(|&byte| is_line_break(byte));
        let text = &bytes[..line_end.unwrap_or(bytes.len())];
        let kept = text.len().min(KEPT_LINE_BYTES - self.line.len());
        self.line.extend_from_slice(&text[..kept]);
        self.event_bytes += text.len();
        let Some(line_end) = line_end else { return Part::Valid(text.len()) };
        if !self.line.starts_with(b":") {
            self.is_terminated = TERMINATORS.contains(&&self.line[..]);
        }
        self.line.clear();
        self.after_line_end(bytes[line_end]);
        Part::Valid(text.len() + 1)
    }

    fn after_line_end(&mut self, end: u8) {
        self.position = match end {
            b'\r' => Position::AfterCarriageReturn,
            _ => Position::LineStart,
        };
    }
}

fn is_line_break(byte: u8) -> bool {
    matches!(byte, b'\r' | b'\n')
}

/// What the next bytes of a stream are.
enum Part {
    /// This number of bytes is valid.
    Valid(usize),
    /// The bytes are the start of a line, and more have to arrive before its kind is known.
    Undecided,
    Invalid,
}

#[cfg(test)]
mod tests;
