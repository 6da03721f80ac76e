//! A stream of JSON objects, however it is cut into pieces and lines: each byte is looked at once.

use bytes::{Buf, Bytes, BytesMut};

/// What comes between objects is none.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
#[error("what it brings is no JSON")]
pub struct NoObject;

/// The objects that have arrived, and how far the one that has begun was looked at.
#[derive(Debug, Default)]
pub struct Objects {
    arrived: BytesMut,
    scanned: usize,
    /// Brackets that are open.
    depth: usize,
    in_string: bool,
    escaped: bool,
}

impl Objects {
    pub fn push(&mut self, piece: &[u8]) {
        self.arrived.extend_from_slice(piece);
    }

    /// Bytes of an object that has begun.
    pub fn len(&self) -> usize {
        self.arrived.len()
    }

    pub fn is_empty(&self) -> bool {
        self.arrived.is_empty()
    }

    /// Takes the next object that is whole, and the space before it.
    pub fn next(&mut self) -> Result<Option<Bytes>, NoObject> {
        if self.depth == 0 {
            let space = self.arrived.iter().take_while(|byte| byte.is_ascii_whitespace()).count();
            self.arrived.advance(space);
            self.scanned = 0;
        }
        while let Some(&byte) = self.arrived.get(self.scanned) {
            self.scanned += 1;
            self.look_at(byte)?;
            if self.depth == 0 {
                let object = self.arrived.split_to(self.scanned).freeze();
                self.scanned = 0;
                return Ok(Some(object));
            }
        }
        Ok(None)
    }

    fn look_at(&mut self, byte: u8) -> Result<(), NoObject> {
        if self.in_string {
            self.in_string = self.escaped || byte != b'"';
            self.escaped = !self.escaped && byte == b'\\';
            return Ok(());
        }
        match byte {
            b'{' | b'[' => self.depth += 1,
            _ if self.depth == 0 => return Err(NoObject),
            b'}' | b']' => self.depth -= 1,
            b'"' => self.in_string = true,
            _ => {}
        }
        Ok(())
    }
}
