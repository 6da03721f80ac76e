//! Splits a byte stream into JSON objects, however it is divided into pieces and lines. Each byte is scanned once.

use bytes::{Buf, Bytes, BytesMut};

/// The error for anything but white space between two objects.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
#[error("unexpected byte outside of a JSON object")]
pub struct NotJson;

/// The received bytes that are not yet taken, and the scan state of the object at their start.
#[derive(Debug, Default)]
pub struct JsonSplitter {
    received: BytesMut,
    /// Number of bytes of the object that have been scanned.
    scanned: usize,
    /// Number of open brackets and braces.
    depth: usize,
    in_string: bool,
    escaped: bool,
}

impl JsonSplitter {
    /// Appends bytes as they were received.
    pub fn push(&mut self, piece: &[u8]) {
        self.received.extend_from_slice(piece);
    }

    /// Returns the number of received bytes that are not yet taken.
    pub fn len(&self) -> usize {
        self.received.len()
    }

    /// Returns whether no received bytes are left.
    pub fn is_empty(&self) -> bool {
        self.received.is_empty()
    }

    /// Takes the next object that is complete, without the white space before it.
    pub fn next_object(&mut self) -> Result<Option<Bytes>, NotJson> {
        if self.depth == 0 {
            let space = self.received.iter().take_while(|byte| byte.is_ascii_whitespace()).count();
            self.received.advance(space);
            self.scanned = 0;
        }
        while let Some(&byte) = self.received.get(self.scanned) {
            self.scanned += 1;
            self.scan(byte)?;
            if self.depth == 0 {
                let object = self.received.split_to(self.scanned).freeze();
                self.scanned = 0;
                return Ok(Some(object));
            }
        }
        Ok(None)
    }

    fn scan(&mut self, byte: u8) -> Result<(), NotJson> {
        if self.in_string {
            self.in_string = self.escaped || byte != b'"';
            self.escaped = !self.escaped && byte == b'\\';
            return Ok(());
        }
        match byte {
            b'{' | b'[' => self.depth += 1,
            _ if self.depth == 0 => return Err(NotJson),
            b'}' | b']' => self.depth -= 1,
            b'"' => self.in_string = true,
            _ => {}
        }
        Ok(())
    }
}
