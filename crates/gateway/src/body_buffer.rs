//! The body of a request while it is being received.

use crate::capacity::MAX_BODY_BYTES;

/// The received part of a body. Its allocation never exceeds the length that the client has stated.
pub struct BodyBuffer {
    bytes: Vec<u8>,
    /// Maximum length of the complete body.
    max_length: usize,
}

impl BodyBuffer {
    /// Creates the buffer of a body of `length` bytes; `None` if the length is not known in advance.
    pub fn new(length: Option<usize>) -> BodyBuffer {
        BodyBuffer { bytes: vec![], max_length: length.unwrap_or(MAX_BODY_BYTES) }
    }

    /// Appends a piece of the body.
    pub fn append(&mut self, piece: &[u8]) {
        let length = self.bytes.len() + piece.len();
        if length > self.bytes.capacity() {
            let grown = (2 * self.bytes.capacity()).min(self.max_length).max(length);
            self.bytes.reserve_exact(grown - self.bytes.len());
        }
        self.bytes.extend_from_slice(piece);
    }

    /// Returns the number of bytes allocated.
    pub fn allocated_bytes(&self) -> usize {
        self.bytes.capacity()
    }

    /// Returns the complete body without spare capacity.
    pub fn into_bytes(mut self) -> Vec<u8> {
        self.bytes.shrink_to_fit();
        self.bytes
    }
}
